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

/** Tests of the watch step by step: the test is the decision thread and its clock, on real connections. */
class DiscoveryClientTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static final class ManualDecisionQueue implements DecisionQueue {
        private record TimerEntry(long dueAt, Runnable task) {}

        final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
        private final List<TimerEntry> timers = new ArrayList<>();
        private long now = SECOND_MICROS;

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
            TimerEntry timer = new TimerEntry(now + micros, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        void runPosted() {
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                task.run();
            }
        }

        void advance(long micros) {
            for (long end = now + micros; now < end; now = Math.min(end, now + 50_000)) {
                List<TimerEntry> dueTimers =
                        timers.stream().filter(timer -> timer.dueAt <= now).toList();
                timers.removeAll(dueTimers);
                dueTimers.forEach(timer -> timer.task.run());
            }
        }

        void awaitCondition(String what, BooleanSupplier condition) throws InterruptedException {
            while (!condition.getAsBoolean()) {
                Runnable task = posted.poll(10, TimeUnit.SECONDS);
                assertTrue(task != null, what);
                task.run();
            }
        }
    }

    private final ManualDecisionQueue queue = new ManualDecisionQueue();
    private final Counters counters = new Counters();
    private final Connector connector = new Connector();
    private final List<ServerList> received = new ArrayList<>();
    private final CountDownLatch parsing = new CountDownLatch(1);
    private final CountDownLatch parsingAllowed = new CountDownLatch(1);
    private ServerSocket server;

    @BeforeEach
    void setUp() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        connector.start();
    }

    @AfterEach
    void tearDown() throws Exception {
        parsingAllowed.countDown();
        connector.close();
        server.close();
    }

    static Settings settings(boolean onRequest, long askEveryMicros) throws Exception {
        Map<String, String> values =
                new HashMap<>(Map.of("nonce64", "7", "obligations.ask_every", "" + askEveryMicros));
        values.put("discovery", onRequest ? "on_request" : "pushed");
        return SettingsParser.parse(values);
    }

    private DiscoveryClient discovery(Settings settings, DiscoveryClient.ListParser parser) {
        return new DiscoveryClient(
                connector,
                queue,
                counters,
                (InetSocketAddress) server.getLocalSocketAddress(),
                new ServerListListener() {
                    @Override
                    public void serverListReceived(ServerList list) {
                        received.add(list);
                    }

                    @Override
                    public void discoveryUnavailable() {}
                },
                settings,
                parser);
    }

    /** Responds to the first call with a body of this many bytes; other calls get no response. */
    private void respondOnce(int bytes) {
        Thread thread = new Thread(
                () -> {
                    try (Socket socket = server.accept()) {
                        BufferedReader reader = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {}
                        socket.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + " ".repeat(bytes))
                                        .getBytes(StandardCharsets.US_ASCII));
                        parsingAllowed.await();
                        reader.readLine();
                    } catch (IOException | InterruptedException e) {
                        // The test has ended.
                    }
                },
                "responder");
        thread.setDaemon(true);
        thread.start();
    }

    /** A list that takes longer to parse than any call may take is used, and requested only once. */
    @Test
    void longParsingStartsNoOtherCall() throws Exception {
        respondOnce(1 << 17);
        DiscoveryClient discovery = discovery(settings(true, 10 * SECOND_MICROS), json -> {
            parsing.countDown();
            try {
                parsingAllowed.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return new ServerList(9, true, List.of(), Map.of());
        });
        discovery.setSubscribed(true);
        queue.awaitCondition("the response was received: no timer is set", queue.timers::isEmpty);
        assertTrue(parsing.await(10, TimeUnit.SECONDS));
        queue.advance(20 * SECOND_MICROS);
        assertEquals(1, counters.get(Counter.DISCOVERY_CALLS));
        assertEquals(0, counters.get(Counter.DISCOVERY_FAILURES));
        parsingAllowed.countDown();
        queue.awaitCondition("list received", () -> !received.isEmpty());
        assertEquals(9, received.get(0).generation());
        assertEquals(2, counters.get(Counter.DISCOVERY_CALLS), "the watch continues");
    }

    /** If parsing fails in any way, the watch continues. */
    @Test
    void parserErrorCountsAsFailedCall() throws Exception {
        respondOnce(1 << 17);
        DiscoveryClient discovery = discovery(settings(true, 10 * SECOND_MICROS), json -> {
            throw new StackOverflowError("thrown by the test");
        });
        discovery.setSubscribed(true);
        queue.awaitCondition("call failed", () -> counters.get(Counter.DISCOVERY_FAILURES) == 1);
        queue.runPosted();
        queue.advance(5 * SECOND_MICROS);
        assertTrue(counters.get(Counter.DISCOVERY_CALLS) >= 2);
    }

    /** If a reload switches to pushed lists, the watch starts although the decision module requests none. */
    @Test
    void reloadToPushedListsStartsWatch() throws Exception {
        DiscoveryClient discovery = discovery(settings(true, 10 * SECOND_MICROS), ServerList::parse);
        queue.advance(SECOND_MICROS);
        assertEquals(0, counters.get(Counter.DISCOVERY_CALLS));
        discovery.updateSettings(settings(false, 10 * SECOND_MICROS));
        queue.advance(SECOND_MICROS);
        assertEquals(1, counters.get(Counter.DISCOVERY_CALLS));
    }

    /** Without a configured interval the pauses after failures have the largest limit, not 0. */
    @Test
    void missingIntervalCausesNoStorm() throws Exception {
        server.close();
        DiscoveryClient discovery = discovery(settings(true, 0), ServerList::parse);
        long startedAt = queue.now();
        discovery.setSubscribed(true);
        for (int i = 1; i <= 10; i++) {
            int calls = i;
            queue.awaitCondition("connection refused", () -> counters.get(Counter.DISCOVERY_FAILURES) == calls);
            while (counters.get(Counter.DISCOVERY_CALLS) == calls) {
                queue.advance(50_000);
            }
        }
        assertTrue(queue.now() - startedAt >= 15 * SECOND_MICROS, "ten calls in " + (queue.now() - startedAt));
    }

    /** Awaits the call of this number and accepts its connection, on which the whole request has arrived. */
    private Socket awaitCall(int callNumber) throws Exception {
        while (counters.get(Counter.DISCOVERY_CALLS) < callNumber) {
            queue.advance(50_000);
        }
        Socket[] socket = new Socket[1];
        CountDownLatch done = new CountDownLatch(1);
        Thread acceptor = new Thread(
                () -> {
                    try {
                        socket[0] = server.accept();
                        BufferedReader reader = new BufferedReader(
                                new InputStreamReader(socket[0].getInputStream(), StandardCharsets.US_ASCII));
                        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {}
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    } finally {
                        done.countDown();
                        queue.post(() -> {});
                    }
                },
                "acceptor");
        acceptor.start();
        queue.awaitCondition("request received", () -> done.getCount() == 0);
        return socket[0];
    }

    /**
     * After a move the first two calls at the new address get no response: a third one starts beside them in time, and
     * both keep their place in the queue of discovery.
     */
    @Test
    void thirdCallStartsAfterMoveWhileTwoHang() throws Exception {
        DiscoveryClient discovery = discovery(settings(true, 10 * SECOND_MICROS), ServerList::parse);
        InetSocketAddress newAddress = (InetSocketAddress) server.getLocalSocketAddress();
        discovery.moveTo(new InetSocketAddress(newAddress.getAddress(), 1));
        discovery.resumeFrom(2);
        long movedAt = queue.now();
        discovery.moveTo(newAddress);
        try (Socket first = awaitCall(1);
                Socket second = awaitCall(2);
                Socket third = awaitCall(3)) {
            assertTrue(queue.now() - movedAt <= 3_600_000, "" + (queue.now() - movedAt));
            for (Socket waiting : List.of(first, second)) {
                waiting.setSoTimeout(50);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> waiting.getInputStream().read(),
                        "keeps its place in the queue");
                waiting.setSoTimeout(30_000);
            }
            String list = "{\"generation\":9,\"reset\":true,\"instances\":[]}";
            third.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                            .getBytes(StandardCharsets.US_ASCII));
            queue.awaitCondition("list received", () -> !received.isEmpty());
            assertTrue(isClosed(first) && isClosed(second), "closed");
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }
}
