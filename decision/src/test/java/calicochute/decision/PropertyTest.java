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

/** Runs thousands of legal event orders and checks each action against an independent statement of the rules. */
class PropertyTest {
    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;

    private static final long DRAIN_GRACE_MICROS = SECOND;
    private static final int STEPS = 6000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldInEveryOrder(long seed) {
        new Host(seed).run();
    }

    /** The host's record of a request. */
    private static final class HostRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<HostAttempt> attempts = new ArrayList<>();
        boolean answered;
        boolean gone;

        HostRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }
    }

    /** One attempt; the arrays of one element can be changed. */
    private record HostAttempt(
            long request,
            int number,
            Backend to,
            long sentAt,
            long expires,
            boolean[] pending,
            boolean[] provenNotRun) {}

    private static final class Host implements Actions {
        final Random random;
        final Limits limits;
        final List<RequestClass> classes = new ArrayList<>();
        final Map<String, Backend> backends = new HashMap<>();
        /** Since when a backend has been draining or gone. */
        final Map<String, Long> notReadySince = new HashMap<>();

        final Map<Long, HostRequest> requests = new HashMap<>();
        final List<HostAttempt> pending = new ArrayList<>();
        final List<Fixture.PendingTimer> timers = new ArrayList<>();
        final DefaultBalancer balancer;
        long now = 77 * SECOND;
        long nextRequest = 1;
        int sends;

        Host(long seed) {
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
            balancer = DefaultBalancer.of(Fixture.settings(classes, limits));
        }

        void run() {
            changeList(ListKind.FULL);
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            assertTrue(sends > STEPS / 10);
            while (!pending.isEmpty()
                    || requests.values().stream().anyMatch(request -> !request.answered && !request.gone)) {
                advanceTo(now + SECOND / 10);
            }
        }

        private void step() {
            int draw = random.nextInt(100);
            if (draw < 40) {
                arrive();
            } else if (draw < 70 && !pending.isEmpty()) {
                end(pending.get(random.nextInt(pending.size())), anyOutcome());
            } else if (draw < 73) {
                changeList(random.nextBoolean() ? ListKind.FULL : ListKind.CHANGES);
            } else if (draw < 75 && !pending.isEmpty()) {
                stream(pending.get(random.nextInt(pending.size())));
            } else if (draw < 78 && !requests.isEmpty()) {
                long id = 1 + (long) (random.nextDouble() * (nextRequest - 1));
                HostRequest request = requests.get(id);
                request.gone |= !request.answered;
                deliver(new ClientGone(id));
            } else {
                advanceTo(now + random.nextInt(60_000));
            }
        }

        private Outcome anyOutcome() {
            Outcome[] all = Outcome.values();
            return random.nextInt(3) == 0 ? Outcome.OK : all[random.nextInt(all.length)];
        }

        private void arrive() {
            int classIndex = random.nextInt(classes.size());
            long timeLeft = 1 + random.nextInt(3_000_000);
            requests.put(nextRequest, new HostRequest(classes.get(classIndex), now + timeLeft));
            deliver(new Arrival(nextRequest++, classIndex, -1, null, timeLeft, false));
        }

        private void end(HostAttempt attempt, Outcome outcome) {
            HostRequest request = requests.get(attempt.request);
            pending.remove(attempt);
            attempt.pending[0] = false;
            attempt.provenNotRun[0] = outcome.provesNotRun();
            boolean finished = request.answered || request.gone || outcome == Outcome.OK;
            request.answered |= outcome == Outcome.OK && !request.gone;
            deliver(new AttemptEnded(
                    attempt.request, attempt.number, attempt.to.id(), finished, outcome, now - attempt.sentAt, null));
        }

        private void stream(HostAttempt attempt) {
            HostRequest request = requests.get(attempt.request);
            if (!request.answered && !request.gone) {
                request.answered = true;
                deliver(new StreamStarted(attempt.request, attempt.number, attempt.to.id(), now - attempt.sentAt));
            }
        }

        private void changeList(ListKind kind) {
            List<Backend> entries = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                String id = "b" + i;
                int draw = random.nextInt(10);
                if (kind == ListKind.CHANGES && draw < 7) {
                    continue;
                }
                BackendState state =
                        draw == 9 ? BackendState.GONE : draw == 8 ? BackendState.DRAINING : BackendState.READY;
                Backend entry = new Backend(id, "z" + i / 6, i / 3, 1, state, 0, "k");
                if (kind == ListKind.FULL && state == BackendState.GONE) {
                    notReadySince.putIfAbsent(id, now);
                } else {
                    entries.add(entry);
                    backends.put(id, entry);
                    if (state == BackendState.READY) {
                        notReadySince.remove(id);
                    } else {
                        notReadySince.putIfAbsent(id, now);
                    }
                }
            }
            deliver(new BackendList(kind, entries));
        }

        /** Advances the time and delivers time-outs and timers in the order in which they are due. */
        private void advanceTo(long until) {
            while (true) {
                long at = until;
                HostAttempt late = null;
                Fixture.PendingTimer due = null;
                for (HostAttempt attempt : pending) {
                    if (attempt.expires < at) {
                        at = attempt.expires;
                        late = attempt;
                    }
                }
                for (Fixture.PendingTimer timer : timers) {
                    if (timer.at() < at) {
                        at = timer.at();
                        due = timer;
                    }
                }
                now = Math.max(now, at);
                if (due != null) {
                    timers.remove(due);
                    deliver(due.timer());
                } else if (late != null) {
                    end(late, Outcome.TIMED_OUT);
                } else {
                    return;
                }
            }
        }

        private void deliver(Balancer.Event event) {
            balancer.on(now, event, this);
            requests.forEach((id, request) -> assertTrue(
                    request.answered || request.gone || now <= request.deadline + Fixture.RULES.answerSlack(),
                    () -> "request " + id + " is overdue"));
        }

        @Override
        public void send(long request, String backend, long timeout) {
            HostRequest hostRequest = requests.get(request);
            sends++;
            assertFalse(hostRequest.answered || hostRequest.gone, "sent after the request had ended");
            assertTrue(hostRequest.attempts.size() < limits.maxAttempts(), "more attempts than allowed");
            Long since = notReadySince.get(backend);
            assertTrue(since == null || now <= since + DRAIN_GRACE_MICROS, "sent to a draining or gone backend");
            Backend to = backends.get(backend);
            boolean another = hostRequest.attempts.stream().anyMatch(sent -> sent.pending[0]);
            assertTrue(limits.secondCopies() || !another, "two copies");
            hostRequest.attempts.stream()
                    .filter(sent -> !sent.provenNotRun[0])
                    .findFirst()
                    .ifPresent(first -> checkRepeat(hostRequest, first, to));
            long expires = Math.min(hostRequest.deadline, timeout <= 0 ? Long.MAX_VALUE : now + timeout);
            HostAttempt attempt = new HostAttempt(
                    request, hostRequest.attempts.size(), to, now, expires, new boolean[] {true}, new boolean[1]);
            hostRequest.attempts.add(attempt);
            pending.add(attempt);
        }

        private void checkRepeat(HostRequest request, HostAttempt first, Backend to) {
            switch (request.requestClass.effect()) {
                case REPEATABLE -> {}
                case ONCE -> throw new AssertionError("sent twice, although it may run only once");
                case KEYED -> {
                    assertTrue(now - first.sentAt < request.requestClass.window(), "sent after the key window");
                    assertTrue(
                            switch (request.requestClass.scope()) {
                                case ALL -> true;
                                case ZONE -> first.to.zone().equals(to.zone());
                                case CELL -> first.to.cell() == to.cell();
                            },
                            "sent outside the key scope");
                }
            }
        }

        @Override
        public void refuse(long request, long retryAfter) {
            HostRequest hostRequest = answer(request);
            boolean mayHaveRun = hostRequest.attempts.stream().anyMatch(attempt -> !attempt.provenNotRun[0]);
            assertTrue(
                    !mayHaveRun
                            || hostRequest.requestClass.effect() == Effect.REPEATABLE
                            || hostRequest.requestClass.effect() == Effect.KEYED
                                    && hostRequest.requestClass.scope() == KeyScope.ALL,
                    "refused, although an attempt may have run");
        }

        @Override
        public void fail(long request) {
            answer(request);
        }

        private HostRequest answer(long request) {
            HostRequest hostRequest = requests.get(request);
            assertFalse(hostRequest.answered || hostRequest.gone, "two answers");
            hostRequest.answered = true;
            return hostRequest;
        }

        @Override
        public void cancel(long request, int attempt) {
            assertTrue(attempt < requests.get(request).attempts.size(), "cancelled an attempt that was never sent");
        }

        @Override
        public void startTimer(long delay, int purpose, long subject) {
            assertTrue(delay > 0);
            timers.add(new Fixture.PendingTimer(now + delay, new Timer(purpose, subject)));
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
        public void closeIdleConnections(String backend) {
            assertTrue(backends.containsKey(backend));
        }

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            throw new AssertionError("messages are not allowed here");
        }

        @Override
        public void log(String text) {
            // permitted everywhere
        }
    }
}
