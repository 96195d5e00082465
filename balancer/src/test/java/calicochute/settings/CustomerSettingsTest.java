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
 * Settings of customers who are not alike: legal ones from the edges, in files as a customer writes them, read as the
 * program reads them, handed to the real module, changed under load. Each action is held against the rules as stated
 * here.
 */
class CustomerSettingsTest {
    private static final long MS = 1_000, SECOND = 1_000_000, EVER = Long.MAX_VALUE / 16;
    private static final int FILES = 40, STEPS = 400;
    /** The module's timer of a session that no server may have yet. */
    private static final int HELD = 1;

    @TempDir
    private Path folder;

    /** Sets of settings from the edges, each in force for a while, one process after another and by reload. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void rulesHoldUnderAnySettings(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < FILES; i++) {
            Configuration first = read(random, 0);
            World world = new World(random.split(), first);
            world.run();
            for (int reload = 1; reload <= 2; reload++) {
                world.reload(read(random, first.settings().tier()));
                world.run();
            }
            world.rest();
        }
    }

    /**
     * A server that started by a clock a little ahead of this one: with no time to warm up it is not left out until
     * this clock is there.
     */
    @Test
    void aStartAheadOfThisClockIsNoReasonToWaitWhereNothingWarmsUp() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        Path file = folder.resolve("plain.json");
        Files.writeString(
                file,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                        + "\"settings\":{\"classes\":[{\"name\":\"c0\","
                        + "\"deadline\":1000000}],\"obligations\":{\"warm_up\":0,\"fall\":3000000,\"fall_multiple\":3}}}");
        World world = new World(random, Configuration.read(file));
        world.list(new Backend("b0", "", 0, 1, BackendState.READY, 0, "k"));
        for (int i = 0; i < 50; i++) {
            world.arrive(0, SECOND, false);
            world.end(world.out.get(0), Outcome.OK);
            world.pass(100 * MS);
        }
        world.list(new Backend("b1", "", 0, 1, BackendState.READY, world.now + 5 * SECOND, "k"));
        int before = world.sends;
        for (int i = 0; i < 40; i++) {
            world.arrive(0, SECOND, false);
            if (!world.out.isEmpty()) {
                world.end(world.out.get(0), Outcome.OK);
            }
            world.pass(100 * MS);
        }
        assertTrue(world.sends > before);
    }

    private static long one(SplittableRandom random, long... of) {
        return of[random.nextInt(of.length)];
    }

    private static String one(SplittableRandom random, String... of) {
        return of[random.nextInt(of.length)];
    }

    private Configuration read(SplittableRandom random, int tier) throws Exception {
        StringBuilder classes = new StringBuilder();
        int count = (int) one(random, 1, 1, 2, 30);
        for (int i = 0; i < count; i++) {
            long deadline = one(random, 1, MS, 16 * MS, 40 * MS, 99 * MS, SECOND, 60 * SECOND, 86_400 * SECOND);
            classes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"c")
                    .append(i)
                    .append("\",\"deadline\":")
                    .append(deadline)
                    .append(",\"effect\":\"")
                    .append(one(random, "repeatable", "once", "by_key"))
                    .append("\",\"key_scope\":\"")
                    .append(one(random, "all", "zone", "cell"))
                    .append('"');
            if (random.nextBoolean()) {
                classes.append(",\"objective\":").append(Math.max(1, deadline / one(random, 1, 2, 1000)));
            }
            if (random.nextBoolean()) {
                classes.append(",\"window\":").append(one(random, 0, 1, 9 * MS, 20 * MS, SECOND, EVER));
            }
            classes.append(",\"points\":")
                    .append(one(random, "0", "1", "1e300"))
                    .append(",\"late_worth\":")
                    .append(one(random, "0", "0.5", "1e300"))
                    .append('}');
        }
        StringBuilder tenants = new StringBuilder();
        int orgs = (int) one(random, 0, 1, 20);
        for (int i = 0; i < orgs; i++) {
            tenants.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"t")
                    .append(i)
                    .append("\",\"portion\":")
                    .append(one(random, "0", "0.05", "1"))
                    .append(random.nextBoolean() ? "" : ",\"allowance_per_s\":" + one(random, "0", "0.1", "1e308"))
                    .append('}');
        }
        String settings = "{\"balancers\":" + one(random, 0, 1, 100, Integer.MAX_VALUE) + ",\"me\":"
                + one(random, 0, 99, Integer.MAX_VALUE)
                + ",\"layer\":" + tier + ",\"zone\":\"" + one(random, "", "z0", "z9") + "\",\"discovery\":\""
                + one(random, "on_request", "pushed")
                + "\",\"tick\":" + one(random, 1, 5 * MS, SECOND, EVER) + ",\"accounts\":[" + tenants
                + "],\"classes\":[" + classes + "],\"caps\":{"
                + "\"cancel\":" + random.nextBoolean() + ",\"retry_after\":" + random.nextBoolean()
                + ",\"max_attempts\":"
                + one(random, 1, 1, 2, 3, 1000) + ",\"max_open\":" + one(random, 0, 1, 5, Integer.MAX_VALUE)
                + ",\"connect_timeout\":"
                + one(random, 0, 1, 200 * MS, EVER) + ",\"conn_idle\":" + one(random, 1, 50 * MS, EVER)
                + ",\"max_retry_after\":" + one(random, 0, 1, EVER)
                + "},\"obligations\":{"
                + (random.nextInt(3) == 0
                        ? ""
                        : "\"ask_every\":" + one(random, 0, 1, 10 * MS, 3600 * SECOND, EVER) + ",")
                + "\"cold_from\":" + one(random, "0", "0.3", "1", "1e300") + ",\"warm_up\":"
                + one(random, 0, 1, SECOND, EVER)
                + ",\"fall\":" + one(random, 0, 1, SECOND, EVER) + ",\"fall_multiple\":"
                + one(random, "0", "1", "3", "1e300") + ",\"drain_grace\":0},"
                + "\"goal\":{\"whole\":" + one(random, "0", "1") + "},\"prices\":{\"cross_zone\":"
                + one(random, "0", "0.2", "1e300") + "}}";
        String limits = random.nextInt(3) == 0
                ? ""
                : "\"limits\":{\"sockets\":" + one(random, 1, 256, 1 << 20) + ",\"memory_mb\":"
                        + one(random, 1, 32, 4096) + "},";
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
                && bounds.window() >= 8192
                && bounds.window() <= Bounds.BODY);
        assertEquals(count, read.settings().classes().size());
        assertEquals(orgs, read.settings().tenants().size());
        return read;
    }

    private record Due(long at, long number, Runnable what) {}

    private static final class Session {
        final RequestClass of;
        final long deadline;
        final int most;
        final List<Try> tries = new ArrayList<>();
        boolean over;
        /** Looks at it that come soon: the last, at its end, may. */
        int shortHolds;

        Session(RequestClass of, long deadline, int most) {
            this.of = of;
            this.deadline = deadline;
            this.most = most;
        }
    }

    private static final class Try {
        final Session session;
        final long request;
        final int number;
        final Backend to;
        final long sentAt;
        boolean out = true;
        boolean neverRan;

        Try(Session session, long request, int number, Backend to, long sentAt) {
            this.session = session;
            this.request = request;
            this.number = number;
            this.to = to;
            this.sentAt = sentAt;
        }
    }

    /** One balancer's process, with the servers and clients that it meets. */
    private static final class World implements Actions {
        final SplittableRandom random;
        final Balancer module;
        final Map<Long, Session> sessions = new TreeMap<>();
        final Map<String, Backend> listed = new HashMap<>();
        final List<Try> out = new ArrayList<>();
        final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
        Succession succession;
        long now = 1_700_000_000L * SECOND;
        long number;
        long next = 1;
        int sends;

        World(SplittableRandom random, Configuration first) {
            this.random = random;
            succession = Succession.of(first.settings());
            module = Balancer.create(first.settings());
            tell(new BackendList(ListKind.RESTORED, List.of()));
        }

        void reload(Configuration changed) throws SettingsException {
            succession = succession.next(changed.settings(), now);
            tell(new SettingsChanged(succession.forModule()));
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                int dice = random.nextInt(100);
                if (dice < 45) {
                    arrive();
                } else if (dice < 75 && !out.isEmpty()) {
                    end(
                            out.get(random.nextInt(out.size())),
                            random.nextInt(3) > 0
                                    ? Outcome.OK
                                    : Outcome.values()[random.nextInt(Outcome.values().length)]);
                } else if (dice < 80) {
                    relist();
                } else if (dice < 82 && !out.isEmpty()) {
                    begin(out.get(random.nextInt(out.size())));
                } else if (dice < 84 && next > 1) {
                    long id = 1 + random.nextLong(next - 1);
                    sessions.get(id).over = true;
                    tell(new ClientGone(id));
                } else {
                    pass(one(random, 1, MS, 20 * MS, 300 * MS, 3 * SECOND));
                }
            }
        }

        /** All comes to an end; and whatever was met, a lone session with time is taken to a server that is well. */
        void rest() {
            for (Try t : List.copyOf(out)) {
                end(t, Outcome.OK);
            }
            pass(70 * SECOND);
            while (!out.isEmpty()) {
                end(out.get(0), Outcome.OK);
            }
            sessions.values().forEach(s -> assertTrue(s.over || s.deadline > now, "a session without an answer"));
            sessions.forEach((id, s) -> {
                if (!s.over) {
                    s.over = true;
                    tell(new ClientGone(id));
                }
            });
            list(
                    new Backend("b0", "z0", 0, 1, BackendState.READY, 0, "k"),
                    new Backend("b1", "z1", 1, 1, BackendState.READY, 0, "k"));
            for (int i = 0; i < succession.current().classes().size(); i++) {
                pass(11 * SECOND);
                int before = sends;
                arrive(i, 60 * SECOND, false);
                assertEquals(before + 1, sends, "a lone session finds a server");
                end(out.get(0), Outcome.OK);
            }
        }

        private void arrive() {
            List<RequestClass> classes = succession.current().classes();
            long deadline = Math.min(classes.get(random.nextInt(classes.size())).deadline(), 60 * SECOND);
            arrive(
                    random.nextInt(classes.size()),
                    Math.max(0, deadline - one(random, 0, 0, 0, 15 * MS, SECOND)),
                    random.nextInt(5) == 0);
        }

        private void arrive(int current, long left, boolean again) {
            RequestClass of = succession.current().classes().get(current);
            int index = succession.classIndex(of.name(), now);
            assertEquals(of, succession.classes().get(index));
            int tenants = succession.current().tenants().size();
            int tenant = tenants == 0 ? -1 : succession.tenantIndex("t" + random.nextInt(tenants), now);
            assertTrue(tenants == 0 || tenant >= 0);
            long id = next++;
            Session s =
                    new Session(of, now + left, succession.current().limits().maxAttempts());
            sessions.put(id, s);
            tell(new Arrival(id, index, tenant, null, left, again));
            if (left == 0) {
                assertTrue(s.over, "no time, no waiting");
            }
            at(s.deadline + 1, () -> assertTrue(s.over, "no answer by its deadline"));
        }

        private void end(Try t, Outcome outcome) {
            assertTrue(t.out);
            t.out = false;
            out.remove(t);
            t.neverRan = outcome.provesNotRun();
            boolean finished = t.session.over || outcome == Outcome.OK;
            t.session.over = finished;
            tell(new AttemptEnded(t.request, t.number, t.to.id(), finished, outcome, now - t.sentAt, null));
        }

        private void begin(Try t) {
            if (!t.session.over) {
                t.session.over = true;
                tell(new StreamStarted(t.request, t.number, t.to.id(), now - t.sentAt));
            }
        }

        private void relist() {
            ListKind kind = ListKind.values()[random.nextInt(4)];
            List<Backend> entries = new ArrayList<>();
            int servers = kind == ListKind.UNAVAILABLE ? 0 : (int) one(random, 0, 1, 3, 40);
            for (int i = 0; i < servers; i++) {
                long started = one(random, 0, 0, now - SECOND, now, now + SECOND, -SECOND, now + EVER / 100);
                entries.add(new Backend(
                        "b" + i,
                        "z" + i % 3,
                        i / 2,
                        one(random, 1, 1, 0, -1, 1000),
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

        private void list(Backend... well) {
            listed.clear();
            for (Backend b : well) {
                listed.put(b.id(), b);
            }
            tell(new BackendList(ListKind.FULL, List.of(well)));
        }

        private void at(long time, Runnable what) {
            due.add(new Due(time, number++, what));
        }

        private void pass(long time) {
            long until = now + time;
            while (!due.isEmpty() && due.peek().at <= until) {
                Due d = due.poll();
                now = Math.max(now, d.at);
                d.what.run();
            }
            now = until;
        }

        private void tell(Balancer.Event event) {
            module.on(now, event, this);
        }

        @Override
        public void send(long request, String backend, long timeout) {
            Session s = sessions.get(request);
            Backend to = listed.get(backend);
            assertFalse(s.over, "sent after its end");
            assertTrue(now < s.deadline && timeout > 0 && timeout <= s.deadline - now, "time that it does not have");
            assertTrue(to != null && to.state() == BackendState.READY, "sent to one that drains or is gone");
            assertTrue(s.tries.size() < s.most, "over the cap");
            assertTrue(s.tries.stream().noneMatch(t -> t.out), "two copies");
            Try first = s.tries.stream().filter(t -> !t.neverRan).findFirst().orElse(null);
            if (first != null) {
                assertTrue(s.of.effect() != Effect.ONCE, "once sent twice");
                assertTrue(s.of.effect() == Effect.REPEATABLE || now - first.sentAt < s.of.window(), "past the window");
                assertTrue(
                        s.of.effect() == Effect.REPEATABLE
                                || s.of.scope() == KeyScope.ALL
                                || (s.of.scope() == KeyScope.ZONE
                                        ? first.to.zone().equals(to.zone())
                                        : first.to.cell() == to.cell()),
                        "outside the group");
            }
            sends++;
            Try t = new Try(s, request, s.tries.size(), to, now);
            s.tries.add(t);
            out.add(t);
            at(now + timeout, () -> {
                if (t.out) {
                    end(t, Outcome.TIMED_OUT);
                }
            });
        }

        @Override
        public void refuse(long request, long retryAfter) {
            Session s = answered(request);
            Limits limits = succession.current().limits();
            assertTrue(
                    retryAfter == (limits.retryAfter() ? limits.maxRetryAfter() : 0),
                    "told to stay away though nothing may be told");
            assertTrue(
                    s.of.effect() == Effect.REPEATABLE
                            || s.tries.stream().allMatch(t -> t.neverRan)
                            || s.of.effect() == Effect.KEYED && s.of.scope() == KeyScope.ALL,
                    "harmful refusal");
        }

        @Override
        public void fail(long request) {
            answered(request);
        }

        private Session answered(long request) {
            Session s = sessions.get(request);
            assertFalse(s.over, "two answers");
            s.over = true;
            return s;
        }

        @Override
        public void cancel(long request, int attempt) {
            assertTrue(succession.current().limits().cancel(), "withdrawn though that is not allowed");
            Try t = sessions.get(request).tries.get(attempt);
            at(now, () -> {
                if (t.out) {
                    end(t, Outcome.CANCELLED);
                }
            });
        }

        @Override
        public void startTimer(long delay, int purpose, long subject) {
            assertTrue(delay > 0, "a timer that is due at once, for ever");
            if (purpose == HELD) {
                assertTrue(
                        delay >= 10 * MS || sessions.get(subject).shortHolds++ == 0,
                        "the decision thread does nothing but look at what it holds");
                assertTrue(delay <= 100 * MS, "held though a server may have come");
            }
            at(now + delay, () -> tell(new Timer(purpose, subject)));
        }

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {
            throw new AssertionError("whole lists are not asked for");
        }

        @Override
        public void probe(String backend) {
            throw new AssertionError("probes");
        }

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            throw new AssertionError("messages to peers");
        }

        @Override
        public void log(String text) {}
    }
}
