package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer;
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
import calicochute.decision.Balancer.SettingsChanged;
import calicochute.decision.Balancer.StreamStarted;
import calicochute.decision.Balancer.Timer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against combinations of valid settings, mostly boundary values, for which the decision module breaks a rule.
 * Configuration files are read as the process reads them, passed to the decision module and replaced under load; every
 * action of the module is checked against the rules, which are stated here once more.
 */
class SettingsCombinationsTest {
    /** Microseconds. */
    private static final long MS = 1_000;

    private static final long SECOND = 1_000_000;
    private static final long MAX_MICROS = Long.MAX_VALUE / 16;
    private static final int PROCESSES = 40;
    private static final int STEPS = 400;
    /** Purpose of the module's timer for a session that waits for a backend. */
    private static final int WAIT_FOR_BACKEND_TIMER = 1;

    @TempDir
    private Path folder;

    /** Random boundary settings, each in force for a while, in new processes and after reloads. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void rulesHoldUnderAnySettings(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < PROCESSES; i++) {
            Configuration first = read(random, 0);
            Simulation simulation = new Simulation(random.split(), first);
            simulation.run();
            for (int reload = 1; reload <= 2; reload++) {
                simulation.reload(read(random, first.settings().tier()));
                simulation.run();
            }
            simulation.finish();
        }
    }

    /**
     * With a warm-up time of 0, a server whose start time is ahead of this clock is used at once and not only when this
     * clock has reached the start time.
     */
    @Test
    void serverWithStartTimeInTheFutureIsUsedIfThereIsNoWarmUp() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        Path file = folder.resolve("plain.json");
        Files.writeString(
                file,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                        + "\"settings\":{\"classes\":[{\"name\":\"c0\","
                        + "\"deadline\":1000000}],\"obligations\":{\"warm_up\":0,\"fall\":3000000,\"fall_multiple\":3}}}");
        Simulation simulation = new Simulation(random, Configuration.read(file));
        simulation.list(new Backend("b0", "", 0, 1, BackendState.READY, 0, "k"));
        for (int i = 0; i < 50; i++) {
            simulation.arrive(0, SECOND, false);
            simulation.end(simulation.pending.get(0), Outcome.OK);
            simulation.pass(100 * MS);
        }
        simulation.list(new Backend("b1", "", 0, 1, BackendState.READY, simulation.now + 5 * SECOND, "k"));
        int before = simulation.sendCount;
        for (int i = 0; i < 40; i++) {
            simulation.arrive(0, SECOND, false);
            if (!simulation.pending.isEmpty()) {
                simulation.end(simulation.pending.get(0), Outcome.OK);
            }
            simulation.pass(100 * MS);
        }
        assertTrue(simulation.sendCount > before);
    }

    private static long pick(SplittableRandom random, long... values) {
        return values[random.nextInt(values.length)];
    }

    private static String pick(SplittableRandom random, String... values) {
        return values[random.nextInt(values.length)];
    }

    private Configuration read(SplittableRandom random, int tier) throws Exception {
        StringBuilder classes = new StringBuilder();
        int count = (int) pick(random, 1, 1, 2, 30);
        for (int i = 0; i < count; i++) {
            long deadline = pick(random, 1, MS, 16 * MS, 40 * MS, 99 * MS, SECOND, 60 * SECOND, 86_400 * SECOND);
            classes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"c")
                    .append(i)
                    .append("\",\"deadline\":")
                    .append(deadline)
                    .append(",\"effect\":\"")
                    .append(pick(random, "repeatable", "once", "by_key"))
                    .append("\",\"key_scope\":\"")
                    .append(pick(random, "all", "zone", "cell"))
                    .append('"');
            if (random.nextBoolean()) {
                classes.append(",\"objective\":").append(Math.max(1, deadline / pick(random, 1, 2, 1000)));
            }
            if (random.nextBoolean()) {
                classes.append(",\"window\":").append(pick(random, 0, 1, 9 * MS, 20 * MS, SECOND, MAX_MICROS));
            }
            classes.append(",\"points\":")
                    .append(pick(random, "0", "1", "1e300"))
                    .append(",\"late_worth\":")
                    .append(pick(random, "0", "0.5", "1e300"))
                    .append('}');
        }
        StringBuilder tenants = new StringBuilder();
        int tenantCount = (int) pick(random, 0, 1, 20);
        for (int i = 0; i < tenantCount; i++) {
            tenants.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"t")
                    .append(i)
                    .append("\",\"portion\":")
                    .append(pick(random, "0", "0.05", "1"))
                    .append(random.nextBoolean() ? "" : ",\"allowance_per_s\":" + pick(random, "0", "0.1", "1e308"))
                    .append('}');
        }
        String settings = "{\"balancers\":" + pick(random, 0, 1, 100, Integer.MAX_VALUE) + ",\"me\":"
                + pick(random, 0, 99, Integer.MAX_VALUE)
                + ",\"layer\":" + tier + ",\"zone\":\"" + pick(random, "", "z0", "z9") + "\",\"discovery\":\""
                + pick(random, "on_request", "pushed")
                + "\",\"tick\":" + pick(random, 1, 5 * MS, SECOND, MAX_MICROS) + ",\"accounts\":[" + tenants
                + "],\"classes\":[" + classes + "],\"caps\":{"
                + "\"cancel\":" + random.nextBoolean() + ",\"retry_after\":" + random.nextBoolean()
                + ",\"max_attempts\":"
                + pick(random, 1, 1, 2, 3, 1000) + ",\"max_open\":" + pick(random, 0, 1, 5, Integer.MAX_VALUE)
                + ",\"connect_timeout\":"
                + pick(random, 0, 1, 200 * MS, MAX_MICROS) + ",\"conn_idle\":" + pick(random, 1, 50 * MS, MAX_MICROS)
                + ",\"max_retry_after\":" + pick(random, 0, 1, MAX_MICROS)
                + "},\"obligations\":{"
                + (random.nextInt(3) == 0
                        ? ""
                        : "\"ask_every\":" + pick(random, 0, 1, 10 * MS, 3600 * SECOND, MAX_MICROS) + ",")
                + "\"cold_from\":" + pick(random, "0", "0.3", "1", "1e300") + ",\"warm_up\":"
                + pick(random, 0, 1, SECOND, MAX_MICROS)
                + ",\"fall\":" + pick(random, 0, 1, SECOND, MAX_MICROS) + ",\"fall_multiple\":"
                + pick(random, "0", "1", "3", "1e300") + ",\"drain_grace\":0},"
                + "\"goal\":{\"whole\":" + pick(random, "0", "1") + "},\"prices\":{\"cross_zone\":"
                + pick(random, "0", "0.2", "1e300") + "}}";
        String limits = random.nextInt(3) == 0
                ? ""
                : "\"limits\":{\"sockets\":" + pick(random, 1, 256, 1 << 20) + ",\"memory_mb\":"
                        + pick(random, 1, 32, 4096) + "},";
        Path file = folder.resolve("balancer.json");
        Files.writeString(
                file,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\""
                        + Long.toHexString(random.nextLong())
                        + "\"," + limits + "\"settings\":" + settings + "}");
        Configuration read = Configuration.read(file);
        Bounds bounds = read.bounds();
        assertTrue(bounds.clientConnections() >= 16
                && bounds.serverConnections() >= 16
                && bounds.windowBytes() >= 8192
                && bounds.windowBytes() <= Bounds.MAX_BUFFERED_BODY_BYTES);
        assertEquals(count, read.settings().classes().size());
        assertEquals(tenantCount, read.settings().tenants().size());
        return read;
    }

    private record ScheduledEvent(long at, long number, Runnable action) {}

    private static final class Session {
        final RequestClass requestClass;
        final long deadline;
        final int maxAttempts;
        final List<Attempt> attempts = new ArrayList<>();
        boolean ended;
        /** Short wait timers so far; one is allowed, the last one before the deadline. */
        int shortWaits;

        Session(RequestClass requestClass, long deadline, int maxAttempts) {
            this.requestClass = requestClass;
            this.deadline = deadline;
            this.maxAttempts = maxAttempts;
        }
    }

    private static final class Attempt {
        final Session session;
        final long request;
        final int number;
        final Backend backend;
        final long sentAt;
        boolean pending = true;
        boolean provenNotRun;

        Attempt(Session session, long request, int number, Backend backend, long sentAt) {
            this.session = session;
            this.request = request;
            this.number = number;
            this.backend = backend;
            this.sentAt = sentAt;
        }
    }

    /** The host of the decision module, with simulated time, backends and clients. */
    private static final class Simulation implements Actions {
        final SplittableRandom random;
        final Balancer module;
        final Map<Long, Session> sessions = new TreeMap<>();
        final Map<String, Backend> listed = new HashMap<>();
        final List<Attempt> pending = new ArrayList<>();
        final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::number));
        SettingsHistory history;
        long now = 1_700_000_000L * SECOND;
        long number;
        long nextId = 1;
        int sendCount;

        Simulation(SplittableRandom random, Configuration first) {
            this.random = random;
            history = SettingsHistory.of(first.settings());
            module = Balancer.create(first.settings());
            tell(new BackendList(ListKind.RESTORED, List.of()));
        }

        void reload(Configuration changed) throws SettingsException {
            history = history.next(changed.settings(), now);
            tell(new SettingsChanged(history.forDecisionModule()));
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                int roll = random.nextInt(100);
                if (roll < 45) {
                    arrive();
                } else if (roll < 75 && !pending.isEmpty()) {
                    end(
                            pending.get(random.nextInt(pending.size())),
                            random.nextInt(3) > 0
                                    ? Outcome.OK
                                    : Outcome.values()[random.nextInt(Outcome.values().length)]);
                } else if (roll < 80) {
                    changeList();
                } else if (roll < 82 && !pending.isEmpty()) {
                    begin(pending.get(random.nextInt(pending.size())));
                } else if (roll < 84 && nextId > 1) {
                    long id = 1 + random.nextLong(nextId - 1);
                    sessions.get(id).ended = true;
                    tell(new ClientGone(id));
                } else {
                    pass(pick(random, 1, MS, 20 * MS, 300 * MS, 3 * SECOND));
                }
            }
        }

        /**
         * Ends everything. After that, whatever happened before, a single session with time left must be sent to a
         * healthy backend.
         */
        void finish() {
            for (Attempt attempt : List.copyOf(pending)) {
                end(attempt, Outcome.OK);
            }
            pass(70 * SECOND);
            while (!pending.isEmpty()) {
                end(pending.get(0), Outcome.OK);
            }
            sessions.values()
                    .forEach(session ->
                            assertTrue(session.ended || session.deadline > now, "a session without an answer"));
            sessions.forEach((id, session) -> {
                if (!session.ended) {
                    session.ended = true;
                    tell(new ClientGone(id));
                }
            });
            list(
                    new Backend("b0", "z0", 0, 1, BackendState.READY, 0, "k"),
                    new Backend("b1", "z1", 1, 1, BackendState.READY, 0, "k"));
            for (int i = 0; i < history.current().classes().size(); i++) {
                pass(11 * SECOND);
                int before = sendCount;
                arrive(i, 60 * SECOND, false);
                assertEquals(before + 1, sendCount, "a single session is sent to a server");
                end(pending.get(0), Outcome.OK);
            }
        }

        private void arrive() {
            List<RequestClass> classes = history.current().classes();
            long deadline = Math.min(classes.get(random.nextInt(classes.size())).deadline(), 60 * SECOND);
            arrive(
                    random.nextInt(classes.size()),
                    Math.max(0, deadline - pick(random, 0, 0, 0, 15 * MS, SECOND)),
                    random.nextInt(5) == 0);
        }

        private void arrive(int current, long timeLeft, boolean retry) {
            RequestClass requestClass = history.current().classes().get(current);
            int index = history.classIndex(requestClass.name(), now);
            assertEquals(requestClass, history.classes().get(index));
            int tenants = history.current().tenants().size();
            int tenant = tenants == 0 ? -1 : history.tenantIndex("t" + random.nextInt(tenants), now);
            assertTrue(tenants == 0 || tenant >= 0);
            long id = nextId++;
            Session session = new Session(
                    requestClass, now + timeLeft, history.current().limits().maxAttempts());
            sessions.put(id, session);
            tell(new Arrival(id, index, tenant, null, timeLeft, retry));
            if (timeLeft == 0) {
                assertTrue(session.ended, "waits without time left");
            }
            at(session.deadline + 1, () -> assertTrue(session.ended, "no answer by the deadline"));
        }

        private void end(Attempt attempt, Outcome outcome) {
            assertTrue(attempt.pending);
            attempt.pending = false;
            pending.remove(attempt);
            attempt.provenNotRun = outcome.provesNotRun();
            boolean finished = attempt.session.ended || outcome == Outcome.OK;
            attempt.session.ended = finished;
            tell(new AttemptEnded(
                    attempt.request,
                    attempt.number,
                    attempt.backend.id(),
                    finished,
                    outcome,
                    now - attempt.sentAt,
                    null));
        }

        private void begin(Attempt attempt) {
            if (!attempt.session.ended) {
                attempt.session.ended = true;
                tell(new StreamStarted(attempt.request, attempt.number, attempt.backend.id(), now - attempt.sentAt));
            }
        }

        private void changeList() {
            ListKind kind = ListKind.values()[random.nextInt(4)];
            List<Backend> entries = new ArrayList<>();
            int servers = kind == ListKind.UNAVAILABLE ? 0 : (int) pick(random, 0, 1, 3, 40);
            for (int i = 0; i < servers; i++) {
                long started = pick(random, 0, 0, now - SECOND, now, now + SECOND, -SECOND, now + MAX_MICROS / 100);
                entries.add(new Backend(
                        "b" + i,
                        "z" + i % 3,
                        i / 2,
                        pick(random, 1, 1, 0, -1, 1000),
                        BackendState.values()[random.nextInt(3)],
                        started,
                        "k"));
            }
            if (kind == ListKind.FULL || kind == ListKind.RESTORED) {
                listed.clear();
            }
            entries.forEach(b -> listed.put(b.id(), b));
            tell(new BackendList(kind, entries));
        }

        private void list(Backend... backends) {
            listed.clear();
            for (Backend backend : backends) {
                listed.put(backend.id(), backend);
            }
            tell(new BackendList(ListKind.FULL, List.of(backends)));
        }

        private void at(long time, Runnable action) {
            events.add(new ScheduledEvent(time, number++, action));
        }

        private void pass(long time) {
            long until = now + time;
            while (!events.isEmpty() && events.peek().at <= until) {
                ScheduledEvent event = events.poll();
                now = Math.max(now, event.at);
                event.action.run();
            }
            now = until;
        }

        private void tell(Balancer.Event event) {
            module.on(now, event, this);
        }

        @Override
        public void send(long request, String id, long timeout) {
            Session session = sessions.get(request);
            Backend backend = listed.get(id);
            assertFalse(session.ended, "sent after the session ended");
            assertTrue(
                    now < session.deadline && timeout > 0 && timeout <= session.deadline - now,
                    "timeout exceeds the time left");
            assertTrue(
                    backend != null && backend.state() == BackendState.READY,
                    "sent to a backend that is draining or gone");
            assertTrue(session.attempts.size() < session.maxAttempts, "more attempts than allowed");
            assertTrue(
                    session.attempts.stream().noneMatch(attempt -> attempt.pending), "two attempts at the same time");
            Attempt first = session.attempts.stream()
                    .filter(attempt -> !attempt.provenNotRun)
                    .findFirst()
                    .orElse(null);
            if (first != null) {
                assertTrue(session.requestClass.effect() != Effect.ONCE, "a non-repeatable request was sent again");
                assertTrue(
                        session.requestClass.effect() == Effect.REPEATABLE
                                || now - first.sentAt < session.requestClass.window(),
                        "sent again after the deduplication window");
                assertTrue(
                        session.requestClass.effect() == Effect.REPEATABLE
                                || session.requestClass.scope() == KeyScope.ALL
                                || (session.requestClass.scope() == KeyScope.ZONE
                                        ? first.backend.zone().equals(backend.zone())
                                        : first.backend.cell() == backend.cell()),
                        "sent again outside the deduplication scope");
            }
            sendCount++;
            Attempt attempt = new Attempt(session, request, session.attempts.size(), backend, now);
            session.attempts.add(attempt);
            pending.add(attempt);
            at(now + timeout, () -> {
                if (attempt.pending) {
                    end(attempt, Outcome.TIMED_OUT);
                }
            });
        }

        @Override
        public void refuse(long request, long retryAfter) {
            Session session = answered(request);
            Limits limits = history.current().limits();
            assertTrue(retryAfter == (limits.retryAfter() ? limits.maxRetryAfter() : 0), "wrong Retry-After");
            assertTrue(
                    session.requestClass.effect() == Effect.REPEATABLE
                            || session.attempts.stream().allMatch(attempt -> attempt.provenNotRun)
                            || session.requestClass.effect() == Effect.KEYED
                                    && session.requestClass.scope() == KeyScope.ALL,
                    "refused though an attempt may have run");
        }

        @Override
        public void fail(long request) {
            answered(request);
        }

        private Session answered(long request) {
            Session session = sessions.get(request);
            assertFalse(session.ended, "answered twice");
            session.ended = true;
            return session;
        }

        @Override
        public void cancel(long request, int number) {
            assertTrue(history.current().limits().cancel(), "cancelled though the settings do not allow it");
            Attempt attempt = sessions.get(request).attempts.get(number);
            at(now, () -> {
                if (attempt.pending) {
                    end(attempt, Outcome.CANCELLED);
                }
            });
        }

        @Override
        public void startTimer(long delay, int purpose, long subject) {
            assertTrue(delay > 0, "a timer without delay could fire forever");
            if (purpose == WAIT_FOR_BACKEND_TIMER) {
                assertTrue(
                        delay >= 10 * MS || sessions.get(subject).shortWaits++ == 0,
                        "waiting sessions are reconsidered too often");
                assertTrue(delay <= 100 * MS, "a waiting session is reconsidered too late");
            }
            at(now + delay, () -> tell(new Timer(purpose, subject)));
        }

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {
            throw new AssertionError("unexpected request for a full list");
        }

        @Override
        public void probe(String backend) {
            throw new AssertionError("unexpected probe");
        }

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            throw new AssertionError("unexpected message to a peer");
        }

        @Override
        public void log(String text) {}
    }
}
