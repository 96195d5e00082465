package calicochute.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ClientGone;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.StreamStarted;
import calicochute.decision.Balancer.Timer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Thousands of legal event orders, each action checked against the rules as stated here and nowhere else. */
class PropertyTest {
    private static final long SECOND = 1_000_000;
    private static final long GRACE = SECOND;
    private static final int STEPS = 6000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldInEveryOrder(long seed) {
        new World(seed).run();
    }

    /** A request as the world knows it. */
    private static final class Known {
        final RequestClass cls;
        final long deadline;
        final List<Try> tries = new ArrayList<>();
        boolean answered;
        boolean gone;

        Known(RequestClass cls, long deadline) {
            this.cls = cls;
            this.deadline = deadline;
        }
    }

    private record Try(
            long request, int number, Backend to, long sentAt, long expires, boolean[] out, boolean[] neverRan) {}

    private static final class World implements Actions {
        final Random random;
        final Limits limits;
        final List<RequestClass> classes = new ArrayList<>();
        final Map<String, Backend> backends = new HashMap<>();
        final Map<String, Long> unfitSince = new HashMap<>();
        final Map<Long, Known> known = new HashMap<>();
        final List<Try> out = new ArrayList<>();
        final List<Fixture.Set> timers = new ArrayList<>();
        final Choice choice;
        long now = 77 * SECOND;
        long nextRequest = 1;
        int sends;

        World(long seed) {
            random = new Random(seed);
            limits = new Limits(true, seed % 2 == 0, false, false, false, 2 + (int) (seed % 4), 1000, 1, 0, 0);
            for (Effect effect : Effect.values()) {
                for (KeyScope scope : KeyScope.values()) {
                    classes.add(new RequestClass(
                            effect + "-" + scope,
                            effect,
                            scope,
                            SECOND / 2,
                            SECOND,
                            4 * SECOND,
                            1,
                            seed % 3 == 0 ? 0 : 0.3,
                            true));
                }
            }
            choice = Choice.of(Fixture.settings(classes, limits));
        }

        void run() {
            relist(ListKind.FULL);
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            assertTrue(sends > STEPS / 10);
            while (!out.isEmpty() || known.values().stream().anyMatch(k -> !k.answered && !k.gone)) {
                pass(now + SECOND / 10);
            }
        }

        private void step() {
            int dice = random.nextInt(100);
            if (dice < 40) {
                arrive();
            } else if (dice < 70 && !out.isEmpty()) {
                end(out.get(random.nextInt(out.size())), anyOutcome());
            } else if (dice < 73) {
                relist(random.nextBoolean() ? ListKind.FULL : ListKind.CHANGES);
            } else if (dice < 75 && !out.isEmpty()) {
                stream(out.get(random.nextInt(out.size())));
            } else if (dice < 78 && !known.isEmpty()) {
                long id = 1 + (long) (random.nextDouble() * (nextRequest - 1));
                Known k = known.get(id);
                k.gone |= !k.answered;
                tell(new ClientGone(id));
            } else {
                pass(now + random.nextInt(60_000));
            }
        }

        private Outcome anyOutcome() {
            Outcome[] all = Outcome.values();
            return random.nextInt(3) == 0 ? Outcome.OK : all[random.nextInt(all.length)];
        }

        private void arrive() {
            int cls = random.nextInt(classes.size());
            long left = 1 + random.nextInt(3_000_000);
            known.put(nextRequest, new Known(classes.get(cls), now + left));
            tell(new Arrival(nextRequest++, cls, -1, null, left, false));
        }

        private void end(Try t, Outcome outcome) {
            Known k = known.get(t.request);
            out.remove(t);
            t.out[0] = false;
            t.neverRan[0] = outcome.provesNotRun();
            boolean finished = k.answered || k.gone || outcome == Outcome.OK;
            k.answered |= outcome == Outcome.OK && !k.gone;
            tell(new AttemptEnded(t.request, t.number, t.to.id(), finished, outcome, now - t.sentAt, null));
        }

        private void stream(Try t) {
            Known k = known.get(t.request);
            if (!k.answered && !k.gone) {
                k.answered = true;
                tell(new StreamStarted(t.request, t.number, t.to.id(), now - t.sentAt));
            }
        }

        private void relist(ListKind kind) {
            List<Backend> entries = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String id = "b" + i;
                int dice = random.nextInt(10);
                if (kind == ListKind.CHANGES && dice < 7) {
                    continue;
                }
                BackendState state =
                        dice == 9 ? BackendState.GONE : dice == 8 ? BackendState.DRAINING : BackendState.READY;
                Backend b = new Backend(id, "z" + i / 6, i / 3, 1, state, 0, "k");
                if (kind == ListKind.FULL && state == BackendState.GONE) {
                    unfitSince.putIfAbsent(id, now);
                } else {
                    entries.add(b);
                    backends.put(id, b);
                    if (state == BackendState.READY) {
                        unfitSince.remove(id);
                    } else {
                        unfitSince.putIfAbsent(id, now);
                    }
                }
            }
            tell(new BackendList(kind, entries));
        }

        /** Lets time pass: time-outs and timers come due in their order. */
        private void pass(long until) {
            while (true) {
                long at = until;
                Try late = null;
                Fixture.Set due = null;
                for (Try t : out) {
                    if (t.expires < at) {
                        at = t.expires;
                        late = t;
                    }
                }
                for (Fixture.Set t : timers) {
                    if (t.at() < at) {
                        at = t.at();
                        due = t;
                    }
                }
                now = Math.max(now, at);
                if (due != null) {
                    timers.remove(due);
                    tell(due.timer());
                } else if (late != null) {
                    end(late, Outcome.TIMED_OUT);
                } else {
                    return;
                }
            }
        }

        private void tell(Balancer.Event event) {
            choice.on(now, event, this);
            known.forEach((id, k) -> assertTrue(
                    k.answered || k.gone || now <= k.deadline + Fixture.RULES.answerSlack(),
                    () -> "request " + id + " is overdue"));
        }

        @Override
        public void send(long request, String backend, long timeout) {
            Known k = known.get(request);
            sends++;
            assertFalse(k.answered || k.gone, "sent after its end");
            assertTrue(k.tries.size() < limits.maxAttempts(), "over the cap");
            Long unfit = unfitSince.get(backend);
            assertTrue(unfit == null || now <= unfit + GRACE, "sent to a draining or gone backend");
            Backend to = backends.get(backend);
            boolean another = k.tries.stream().anyMatch(t -> t.out[0]);
            assertTrue(limits.secondCopies() || !another, "two copies");
            k.tries.stream().filter(t -> !t.neverRan[0]).findFirst().ifPresent(first -> mayRepeat(k, first, to));
            long expires = Math.min(k.deadline, timeout <= 0 ? Long.MAX_VALUE : now + timeout);
            Try t = new Try(request, k.tries.size(), to, now, expires, new boolean[] {true}, new boolean[1]);
            k.tries.add(t);
            out.add(t);
        }

        private void mayRepeat(Known k, Try first, Backend to) {
            switch (k.cls.effect()) {
                case REPEATABLE -> {}
                case ONCE -> throw new AssertionError("once sent twice");
                case KEYED -> {
                    assertTrue(now - first.sentAt < k.cls.window(), "after the window");
                    assertTrue(
                            switch (k.cls.scope()) {
                                case ALL -> true;
                                case ZONE -> first.to.zone().equals(to.zone());
                                case CELL -> first.to.cell() == to.cell();
                            },
                            "outside the group");
                }
            }
        }

        @Override
        public void refuse(long request, long retryAfter) {
            Known k = answer(request);
            boolean mayHaveRun = k.tries.stream().anyMatch(t -> !t.neverRan[0]);
            assertTrue(
                    !mayHaveRun
                            || k.cls.effect() == Effect.REPEATABLE
                            || k.cls.effect() == Effect.KEYED && k.cls.scope() == KeyScope.ALL,
                    "harmful refusal");
        }

        @Override
        public void fail(long request) {
            answer(request);
        }

        private Known answer(long request) {
            Known k = known.get(request);
            assertFalse(k.answered || k.gone, "two answers");
            k.answered = true;
            return k;
        }

        @Override
        public void cancel(long request, int attempt) {
            assertTrue(attempt < known.get(request).tries.size(), "cancelled an attempt never made");
        }

        @Override
        public void timer(long delay, int purpose, long subject) {
            assertTrue(delay > 0);
            timers.add(new Fixture.Set(now + delay, new Timer(purpose, subject)));
        }

        @Override
        public void subscribe(boolean on) {
            assertEquals("pushed", "subscribe");
        }

        @Override
        public void fetchList() {
            // permitted everywhere
        }

        @Override
        public void probe(String backend) {
            throw new AssertionError("probes are not allowed here");
        }

        @Override
        public void closeIdle(String backend) {
            assertTrue(backends.containsKey(backend));
        }

        @Override
        public void tell(int peer, byte[] bytes) {
            throw new AssertionError("messages are not allowed here");
        }

        @Override
        public void log(String text) {
            // permitted everywhere
        }
    }
}
