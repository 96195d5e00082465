package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * All short rows of list changes, ends of attempts, arrivals and moments that pass: no send or answer breaks a rule.
 */
class ListChangeTest {
    private static final long WINDOW = 2 * Fixture.SECOND;
    private static final int LENGTH = 4;

    /**
     * What befalls server a, which holds two requests at first (none where time is short), or the oldest attempt out.
     */
    private enum Step {
        DRAINS,
        GOES,
        STARTS_ANEW,
        MOVES,
        IS_BACK,
        NOT_LISTED,
        ALL_LISTED,
        NOT_RUN,
        MAY_HAVE_RUN,
        ARRIVAL,
        MOMENT
    }

    /** Whom an attempt went to, as listed then, and when; what may have become of it. */
    private static final class Try {
        final Backend to;
        final long at;
        boolean out = true;
        boolean mayHaveRun = true;

        Try(Backend to, long at) {
            this.to = to;
            this.at = at;
        }
    }

    /** One row, and what the rules say of it, told apart from the module's own state. */
    private final class Play {
        private final Effect effect;
        private final KeyScope scope;
        private final boolean hurried;
        private final Fixture f;
        private final Map<String, Backend> listed = new HashMap<>();
        private final Map<Long, List<Try>> tries = new HashMap<>();
        private final Map<Long, Integer> answers = new HashMap<>();
        private Backend a = Fixture.backend("a", "z", 0);
        private long requests;
        private long startHeardAt = -1;
        private int read;

        Play(Effect effect, KeyScope scope, boolean hurried) {
            this.effect = effect;
            this.scope = scope;
            this.hurried = hurried;
            f = Fixture.of(effect, scope);
            list(ListKind.FULL, a);
            if (hurried) {
                walk();
            } else {
                step(Step.ARRIVAL);
            }
            step(Step.ARRIVAL);
            step(Step.ALL_LISTED);
        }

        /** Little time, so that the walk decides, which has its order from before the change: b first, then a. */
        private void walk() {
            step(Step.ALL_LISTED);
            Known known = f.choice.known();
            known.seen[0].answers = 10;
            known.seen[0].latency = Fixture.SECOND;
            known.servers.values().forEach(s -> {
                s.polled = true;
                s.speed = s.id.equals("b") ? 1.1 : s.id.equals("a") ? 1.05 : 1;
                s.sampledAt = f.now;
            });
        }

        void step(Step step) {
            switch (step) {
                case DRAINS -> list(ListKind.CHANGES, Fixture.with(a, BackendState.DRAINING, a.startedAt()));
                case GOES -> list(ListKind.CHANGES, Fixture.with(a, BackendState.GONE, a.startedAt()));
                case STARTS_ANEW -> startAnew(a.cell(), a.zone());
                case MOVES -> startAnew(a.cell() + 1, a.zone().equals("z") ? "y" : "z");
                case IS_BACK -> list(ListKind.CHANGES, a);
                case NOT_LISTED -> list(ListKind.FULL, others());
                case ALL_LISTED -> list(ListKind.FULL, a, others()[0], others()[1], others()[2]);
                case NOT_RUN -> end(Outcome.CONNECT_FAILED);
                case MAY_HAVE_RUN -> end(Outcome.RESET);
                case ARRIVAL -> {
                    tries.put(++requests, new ArrayList<>());
                    f.arrive(requests, hurried ? 1_300_000 : 4 * Fixture.SECOND);
                }
                case MOMENT -> f.pass(f.now + 50_000);
            }
            readOn();
        }

        private Backend[] others() {
            return new Backend[] {
                Fixture.backend("b", "z", 0), Fixture.backend("c", "z", 1), Fixture.backend("d", "y", 2)
            };
        }

        private void startAnew(int cell, String zone) {
            startHeardAt = f.now;
            a = new Backend("a", zone, cell, 1, BackendState.READY, Math.max(f.now, a.startedAt() + 1), "k");
            list(ListKind.CHANGES, a);
        }

        private void list(ListKind kind, Backend... entries) {
            if (kind == ListKind.FULL) {
                listed.clear();
            }
            for (Backend b : entries) {
                listed.put(b.id(), b);
            }
            f.list(kind, entries);
        }

        private void end(Outcome how) {
            for (long r = 1; r <= requests; r++) {
                List<Try> of = tries.get(r);
                Try last = of.isEmpty() ? null : of.get(of.size() - 1);
                if (last != null && last.out) {
                    last.out = false;
                    last.mayHaveRun = !how.provesNotRun();
                    answers.merge(r, how == Outcome.OK ? 1 : 0, Integer::sum);
                    f.on(new AttemptEnded(
                            r, of.size() - 1, last.to.id(), how == Outcome.OK, how, f.now - last.at, null));
                    return;
                }
            }
        }

        /** Holds what the module has asked for since to the rules. */
        private void readOn() {
            for (; read < f.said.size(); read++) {
                String[] said = f.said.get(read).split(" ");
                if (said[0].equals("close")) {
                    continue;
                }
                long request = Long.parseLong(said[1]);
                assertEquals(0, answers.getOrDefault(request, 0), "one final answer, and nothing after it");
                if (said[0].equals("send")) {
                    sent(tries.get(request), listed.get(said[2]));
                } else {
                    answers.put(request, 1);
                    boolean may = effect == Effect.REPEATABLE || effect == Effect.KEYED && scope == KeyScope.ALL;
                    assertTrue(
                            may || said[0].equals("fail") || first(tries.get(request)) == null,
                            "refused, and may have run");
                }
            }
        }

        private void sent(List<Try> before, Backend to) {
            assertTrue(to != null && to.state() == BackendState.READY, "sent to one draining or not listed");
            assertFalse(to == a && startHeardAt == f.now, "sent in the moment of a start");
            assertTrue(before.stream().noneMatch(t -> t.out), "two at once");
            Try first = first(before);
            if (first != null && effect != Effect.REPEATABLE) {
                assertEquals(Effect.KEYED, effect, "sent twice what may run once");
                assertTrue(f.now - first.at < WINDOW, "after the window");
                boolean same = scope == KeyScope.ALL
                        || (scope == KeyScope.ZONE ? first.to.zone().equals(to.zone()) : first.to.cell() == to.cell());
                assertTrue(same, "to a group that knows nothing of the key");
            }
            before.add(new Try(to, f.now));
        }

        private Try first(List<Try> of) {
            return of.stream().filter(t -> t.mayHaveRun).findFirst().orElse(null);
        }

        /** All that is out is answered, what is held has its timers: none is left without an answer. */
        void finish() {
            for (int i = 0;
                    i < 200 && answers.values().stream().filter(n -> n > 0).count() < requests;
                    i++) {
                end(Outcome.OK);
                f.pass(f.now + 50_000);
                readOn();
            }
            assertEquals(requests, answers.values().stream().filter(n -> n == 1).count(), "requests answered once");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "REPEATABLE, ALL, false",
        "REPEATABLE, ALL, true",
        "ONCE, ALL, false",
        "KEYED, ALL, false",
        "KEYED, ZONE, true",
        "KEYED, CELL, false"
    })
    void noOrderOfListChangesAndRetriesBreaksARule(Effect effect, KeyScope scope, boolean hurried) {
        int steps = Step.values().length;
        int rows = (int) Math.pow(steps, LENGTH);
        for (int row = 0; row < rows; row++) {
            List<Step> of = new ArrayList<>();
            for (int i = 0, rest = row; i < LENGTH; i++, rest /= steps) {
                of.add(Step.values()[rest % steps]);
            }
            try {
                Play p = new Play(effect, scope, hurried);
                of.forEach(p::step);
                p.finish();
            } catch (AssertionError e) {
                throw new AssertionError(of + ": " + e.getMessage(), e);
            }
        }
    }
}
