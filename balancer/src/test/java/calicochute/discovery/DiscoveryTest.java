package calicochute.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Settings;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.settings.SettingsParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The watch step by step: the test is the decision thread and its clock, on real connections. */
class DiscoveryTest {
    private static final long SECOND = 1_000_000;

    private static final class HandQueue implements DecisionQueue {
        private record Due(long at, Runnable task) {}

        final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
        private final List<Due> alarms = new ArrayList<>();
        private long now = SECOND;

        @Override
        public long now() {
            return now;
        }

        @Override
        public void post(Runnable task) {
            posted.add(task);
        }

        @Override
        public Timer schedule(long micros, Runnable task) {
            Due due = new Due(now + micros, task);
            alarms.add(due);
            return () -> alarms.remove(due);
        }

        void runPosted() {
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                task.run();
            }
        }

        void pass(long micros) {
            for (long until = now + micros; now < until; now = Math.min(until, now + 50_000)) {
                List<Due> due = alarms.stream().filter(a -> a.at <= now).toList();
                alarms.removeAll(due);
                due.forEach(a -> a.task.run());
            }
        }

        void await(String what, BooleanSupplier holds) throws InterruptedException {
            while (!holds.getAsBoolean()) {
                Runnable task = posted.poll(10, TimeUnit.SECONDS);
                assertTrue(task != null, what);
                task.run();
            }
        }
    }

    private final HandQueue queue = new HandQueue();
    private final Counters counters = new Counters();
    private final Connector connector = new Connector();
    private final List<ServerList> heard = new ArrayList<>();
    private final CountDownLatch reading = new CountDownLatch(1);
    private final CountDownLatch read = new CountDownLatch(1);
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        connector.start();
    }

    @AfterEach
    void stop() throws Exception {
        read.countDown();
        connector.close();
        server.close();
    }

    static Settings settings(boolean asked, long askEvery) throws Exception {
        Map<String, String> values = new HashMap<>(Map.of("nonce64", "7", "obligations.ask_every", "" + askEvery));
        values.put("discovery", asked ? "on_request" : "pushed");
        return SettingsParser.parse(values);
    }

    private Discovery discovery(Settings settings, Discovery.Reader reader) {
        return new Discovery(
                connector,
                queue,
                counters,
                (InetSocketAddress) server.getLocalSocketAddress(),
                new ListListener() {
                    @Override
                    public void listed(ServerList list) {
                        heard.add(list);
                    }

                    @Override
                    public void unavailable() {}
                },
                settings,
                reader);
    }

    /** Answers the first call with a body of so many bytes; others hang. */
    private void answerOne(int bytes) {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = server.accept()) {
                        BufferedReader in = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {}
                        socket.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + " ".repeat(bytes))
                                        .getBytes(StandardCharsets.US_ASCII));
                        read.await();
                        in.readLine();
                    } catch (IOException | InterruptedException e) {
                        // The test is over.
                    }
                },
                "answers");
        thread.setDaemon(true);
        thread.start();
    }

    /** A list that takes longer to read than any call may take: it is taken, and asked for once. */
    @Test
    void aListThatIsReadForLongIsNotAskedForAgain() throws Exception {
        answerOne(1 << 17);
        Discovery discovery = discovery(settings(true, 10 * SECOND), json -> {
            reading.countDown();
            try {
                read.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new ServerList(9, true, List.of(), Map.of());
        });
        discovery.subscribe(true);
        queue.await("the answer is here: nothing else is due", queue.alarms::isEmpty);
        assertTrue(reading.await(10, TimeUnit.SECONDS));
        queue.pass(20 * SECOND);
        assertEquals(1, counters.get(Counter.DISCOVERY_CALLS));
        assertEquals(0, counters.get(Counter.DISCOVERY_FAILURES));
        read.countDown();
        queue.await("taken", () -> !heard.isEmpty());
        assertEquals(9, heard.get(0).generation());
        assertEquals(2, counters.get(Counter.DISCOVERY_CALLS), "and the watch goes on");
    }

    /** Whatever goes wrong in the reading, the watch goes on. */
    @Test
    void aReadingThatBreaksIsAFailedCall() throws Exception {
        answerOne(1 << 17);
        Discovery discovery = discovery(settings(true, 10 * SECOND), json -> {
            throw new StackOverflowError("a test's");
        });
        discovery.subscribe(true);
        queue.await("failed", () -> counters.get(Counter.DISCOVERY_FAILURES) == 1);
        queue.runPosted();
        queue.pass(5 * SECOND);
        assertTrue(counters.get(Counter.DISCOVERY_CALLS) >= 2);
    }

    /** Lists that are pushed from a reload on are watched, though the module asks for none; pauses follow too. */
    @Test
    void aReloadThatPushesListsBeginsTheWatch() throws Exception {
        Discovery discovery = discovery(settings(true, 10 * SECOND), ServerList::parse);
        queue.pass(SECOND);
        assertEquals(0, counters.get(Counter.DISCOVERY_CALLS));
        discovery.retune(settings(false, 10 * SECOND));
        queue.pass(SECOND);
        assertEquals(1, counters.get(Counter.DISCOVERY_CALLS));
    }

    /** Settings that tell no asking time: pauses after failures are the longest there are, not none. */
    @Test
    void noAskingTimeIsNoStorm() throws Exception {
        server.close();
        Discovery discovery = discovery(settings(true, 0), ServerList::parse);
        long began = queue.now();
        discovery.subscribe(true);
        for (int i = 1; i <= 10; i++) {
            int calls = i;
            queue.await("refused", () -> counters.get(Counter.DISCOVERY_FAILURES) == calls);
            while (counters.get(Counter.DISCOVERY_CALLS) == calls) {
                queue.pass(50_000);
            }
        }
        assertTrue(queue.now() - began >= 15 * SECOND, "ten calls in " + (queue.now() - began));
    }

    /** The next connection to the server, once a whole request has come on it: its call is under way. */
    private Socket called(int call) throws Exception {
        while (counters.get(Counter.DISCOVERY_CALLS) < call) {
            queue.pass(50_000);
        }
        Socket[] socket = new Socket[1];
        CountDownLatch done = new CountDownLatch(1);
        Thread accepts = new Thread(
                () -> {
                    try {
                        socket[0] = server.accept();
                        BufferedReader in = new BufferedReader(
                                new InputStreamReader(socket[0].getInputStream(), StandardCharsets.US_ASCII));
                        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {}
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    } finally {
                        done.countDown();
                        queue.post(() -> {});
                    }
                },
                "accepts");
        accepts.start();
        queue.await("called", () -> done.getCount() == 0);
        return socket[0];
    }

    /**
     * SIGHUP, and the first two calls at the new address hang: a third goes out in time beside them, and neither has
     * left the line.
     */
    @Test
    void aMoveAndTwoFirstCallsThatHang() throws Exception {
        Discovery discovery = discovery(settings(true, 10 * SECOND), ServerList::parse);
        InetSocketAddress there = (InetSocketAddress) server.getLocalSocketAddress();
        discovery.move(new InetSocketAddress(there.getAddress(), 1));
        discovery.startFrom(2);
        long moved = queue.now();
        discovery.move(there);
        try (Socket first = called(1);
                Socket second = called(2);
                Socket third = called(3)) {
            assertTrue(queue.now() - moved <= 3_600_000, "" + (queue.now() - moved));
            for (Socket waits : List.of(first, second)) {
                waits.setSoTimeout(50);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> waits.getInputStream().read(),
                        "keeps its turn");
                waits.setSoTimeout(30_000);
            }
            String list = "{\"generation\":9,\"reset\":true,\"instances\":[]}";
            third.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                            .getBytes(StandardCharsets.US_ASCII));
            queue.await("told", () -> !heard.isEmpty());
            assertTrue(ended(first) && ended(second), "let go");
        }
    }

    private static boolean ended(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }
}
