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

/** Runs all short sequences of list changes, ends of attempts, arrivals and pauses: no send or answer breaks a rule. */
class ListChangeTest {
    private static final long KEY_WINDOW_MICROS = 2 * Fixture.SECOND;
    /** Steps in a sequence. */
    private static final int LENGTH = 4;

    /** What happens to backend a, which has two requests at first (none if time is short), or to the oldest attempt. */
    private enum Step {
        DRAINS,
        IS_GONE,
        RESTARTS,
        MOVES,
        RETURNS,
        NOT_LISTED,
        ALL_LISTED,
        NOT_RUN,
        MAY_HAVE_RUN,
        ARRIVAL,
        PAUSE
    }

    /** One attempt: the backend's list entry at that time, when it was sent, and whether it may have run. */
    private static final class SentAttempt {
        final Backend to;
        final long at;
        boolean pending = true;
        boolean mayHaveRun = true;

        SentAttempt(Backend to, long at) {
            this.to = to;
            this.at = at;
        }
    }

    /** Runs one sequence and checks the rules on records of its own, apart from the module's state. */
    private final class Run {
        private final Effect effect;
        private final KeyScope scope;
        private final boolean shortTime;
        private final Fixture fixture;
        private final Map<String, Backend> listed = new HashMap<>();
        private final Map<Long, List<SentAttempt>> attempts = new HashMap<>();
        private final Map<Long, Integer> answers = new HashMap<>();
        private Backend backendA = Fixture.backend("a", "z", 0);
        private long requests;
        private long restartListedAt = -1;
        /** Actions checked so far. */
        private int checked;

        Run(Effect effect, KeyScope scope, boolean shortTime) {
            this.effect = effect;
            this.scope = scope;
            this.shortTime = shortTime;
            fixture = Fixture.of(effect, scope);
            list(ListKind.FULL, backendA);
            if (shortTime) {
                prepareWalk();
            } else {
                step(Step.ARRIVAL);
            }
            step(Step.ARRIVAL);
            step(Step.ALL_LISTED);
        }

        /** Prepares the ordered walk, which little time left selects: its order is b, then a. */
        private void prepareWalk() {
            step(Step.ALL_LISTED);
            BalancerState state = fixture.balancer.state();
            state.classStats[0].answers = 10;
            state.classStats[0].latency = Fixture.SECOND;
            state.backends.values().forEach(backend -> {
                backend.called = true;
                backend.speed = backend.id.equals("b") ? 1.1 : backend.id.equals("a") ? 1.05 : 1;
                backend.sampledAt = fixture.now;
            });
        }

        void step(Step step) {
            switch (step) {
                case DRAINS ->
                    list(ListKind.CHANGES, Fixture.with(backendA, BackendState.DRAINING, backendA.startedAt()));
                case IS_GONE -> list(ListKind.CHANGES, Fixture.with(backendA, BackendState.GONE, backendA.startedAt()));
                case RESTARTS -> restart(backendA.cell(), backendA.zone());
                case MOVES -> restart(backendA.cell() + 1, backendA.zone().equals("z") ? "y" : "z");
                case RETURNS -> list(ListKind.CHANGES, backendA);
                case NOT_LISTED -> list(ListKind.FULL, others());
                case ALL_LISTED -> list(ListKind.FULL, backendA, others()[0], others()[1], others()[2]);
                case NOT_RUN -> end(Outcome.CONNECT_FAILED);
                case MAY_HAVE_RUN -> end(Outcome.RESET);
                case ARRIVAL -> {
                    attempts.put(++requests, new ArrayList<>());
                    fixture.arrive(requests, shortTime ? 1_300_000 : 4 * Fixture.SECOND);
                }
                case PAUSE -> fixture.advanceTo(fixture.now + 50_000);
            }
            checkActions();
        }

        private Backend[] others() {
            return new Backend[] {
                Fixture.backend("b", "z", 0), Fixture.backend("c", "z", 1), Fixture.backend("d", "y", 2)
            };
        }

        private void restart(int cell, String zone) {
            restartListedAt = fixture.now;
            backendA = new Backend(
                    "a", zone, cell, 1, BackendState.READY, Math.max(fixture.now, backendA.startedAt() + 1), "k");
            list(ListKind.CHANGES, backendA);
        }

        private void list(ListKind kind, Backend... entries) {
            if (kind == ListKind.FULL) {
                listed.clear();
            }
            for (Backend entry : entries) {
                listed.put(entry.id(), entry);
            }
            fixture.list(kind, entries);
        }

        private void end(Outcome outcome) {
            for (long request = 1; request <= requests; request++) {
                List<SentAttempt> ofRequest = attempts.get(request);
                SentAttempt last = ofRequest.isEmpty() ? null : ofRequest.get(ofRequest.size() - 1);
                if (last != null && last.pending) {
                    last.pending = false;
                    last.mayHaveRun = !outcome.provesNotRun();
                    answers.merge(request, outcome == Outcome.OK ? 1 : 0, Integer::sum);
                    fixture.on(new AttemptEnded(
                            request,
                            ofRequest.size() - 1,
                            last.to.id(),
                            outcome == Outcome.OK,
                            outcome,
                            fixture.now - last.at,
                            null));
                    return;
                }
            }
        }

        /** Checks the module's actions since the last check against the rules. */
        private void checkActions() {
            for (; checked < fixture.actions.size(); checked++) {
                String[] action = fixture.actions.get(checked).split(" ");
                if (action[0].equals("close")) {
                    continue;
                }
                long request = Long.parseLong(action[1]);
                assertEquals(0, answers.getOrDefault(request, 0), "one final answer, and nothing after it");
                if (action[0].equals("send")) {
                    sent(attempts.get(request), listed.get(action[2]));
                } else {
                    answers.put(request, 1);
                    boolean may = effect == Effect.REPEATABLE || effect == Effect.KEYED && scope == KeyScope.ALL;
                    assertTrue(
                            may || action[0].equals("fail") || firstThatMayHaveRun(attempts.get(request)) == null,
                            "refused, although an attempt may have run");
                }
            }
        }

        private void sent(List<SentAttempt> before, Backend to) {
            assertTrue(
                    to != null && to.state() == BackendState.READY, "sent to a backend that drains or is not listed");
            assertFalse(to == backendA && restartListedAt == fixture.now, "sent at the moment of a restart");
            assertTrue(before.stream().noneMatch(attempt -> attempt.pending), "two attempts at once");
            SentAttempt first = firstThatMayHaveRun(before);
            if (first != null && effect != Effect.REPEATABLE) {
                assertEquals(Effect.KEYED, effect, "sent twice, although it may run only once");
                assertTrue(fixture.now - first.at < KEY_WINDOW_MICROS, "sent after the key window");
                boolean same = scope == KeyScope.ALL
                        || (scope == KeyScope.ZONE ? first.to.zone().equals(to.zone()) : first.to.cell() == to.cell());
                assertTrue(same, "sent outside the key scope");
            }
            before.add(new SentAttempt(to, fixture.now));
        }

        private SentAttempt firstThatMayHaveRun(List<SentAttempt> sent) {
            return sent.stream()
                    .filter(attempt -> attempt.mayHaveRun)
                    .findFirst()
                    .orElse(null);
        }

        /** Answers all pending attempts and lets timers expire: each request then has one answer. */
        void finish() {
            for (int i = 0;
                    i < 200 && answers.values().stream().filter(n -> n > 0).count() < requests;
                    i++) {
                end(Outcome.OK);
                fixture.advanceTo(fixture.now + 50_000);
                checkActions();
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
    void noSequenceOfListChangesAndRetriesBreaksARule(Effect effect, KeyScope scope, boolean shortTime) {
        int steps = Step.values().length;
        int sequences = (int) Math.pow(steps, LENGTH);
        for (int number = 0; number < sequences; number++) {
            List<Step> sequence = new ArrayList<>();
            for (int i = 0, rest = number; i < LENGTH; i++, rest /= steps) {
                sequence.add(Step.values()[rest % steps]);
            }
            try {
                Run run = new Run(effect, scope, shortTime);
                sequence.forEach(run::step);
                run.finish();
            } catch (AssertionError e) {
                throw new AssertionError(sequence + ": " + e.getMessage(), e);
            }
        }
    }
}
