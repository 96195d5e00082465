package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Response;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.settings.Bounds;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Dispatches step by step: the test is the decision thread, on real connections. */
class BackendServersTest extends ByHand {
    /** A dispatch's time runs from its sending, however long this side takes to prepare it. */
    @Test
    void theTimeOutIsDueOnTimeAfterASlowStart() {
        try (Connector connector = new Connector()) {
            BackendServers servers = servers(connector, 1);
            Dispatch dispatch = dispatch();
            queue.now();
            servers.send(dispatch, 100_000);
            assertEquals(dispatch.sentAt + 100_000, queue.dueAt.get(1), "the first alarm is the sweep's");
        }
    }

    private void checkHeldBack(long timeout, boolean kept, Consumer<BackendServers> takeOut)
            throws IOException, InterruptedException {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            servers.send(dispatch(), timeout);
            Socket socket = listener.accept();
            socket.setSoTimeout(30_000);
            queue.posted.poll(30, TimeUnit.SECONDS).run();
            takeOut.accept(servers);
            queue.alarms.get(queue.alarms.size() - 1).run();
            assertEquals(List.of(Outcome.MOOT), outcomes);
            if (kept) {
                servers.send(dispatch("/next"), 100_000);
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals(
                        "GET /next HTTP/1.1",
                        in.readLine(),
                        "nothing was sent before, and the connection serves the next");
            } else {
                assertTrue(endedUnused(socket), "nothing was sent, and the connection ended");
            }
            socket.close();
        }
    }

    /**
     * What waits for its connection is not begun once its server or its session is out, in each of the ways they can
     * be.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "out by hand or draining",
                "not on a whole list",
                "gone",
                "moved",
                "started anew",
                "client gone",
                "session answered",
                "too late to be repeated",
                "out of time"
            })
    void aCallThatWaitedIsHeldBack(String how) throws Exception {
        boolean kept = Set.of(
                        "client gone", "session answered", "too late to be repeated", "out of time", "started anew")
                .contains(how);
        checkHeldBack(how.startsWith("too late") ? 10_000_000 : 100_000, kept, servers -> {
            switch (how) {
                case "not on a whole list" -> servers.keepOnly(Set.of());
                case "gone" -> servers.forget("s");
                case "started anew" -> servers.started("s", 1);
                case "client gone" -> exchange.markClientGone();
                case "session answered" -> exchange.respond(new Response.Failed(true));
                case "too late to be repeated" -> queue.now += WINDOW;
                case "out of time" -> queue.now += 100_000;
                case "moved" -> servers.address("s", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
                default -> servers.wanted("s", false);
            }
        });
    }

    /**
     * A handshake that is late is not lost: after half the time a second is tried beside it, and both serve what comes
     * next.
     */
    @Test
    void connectionsThatComeUpLateServeTheNext() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            List<Socket> ahead = fill(listener);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            servers.send(dispatch(), 60_000_000);
            int late = queue.alarms.size() - 2;
            queue.alarms.get(late + 1).run();
            queue.alarms.get(late).run();
            assertTrue(outcomes.isEmpty());
            queue.alarms.get(late + 3).run();
            assertEquals(List.of(Outcome.CONNECT_FAILED), outcomes);
            for (Socket socket : ahead) {
                listener.accept().close();
                socket.close();
            }
            try (Socket one = listener.accept();
                    Socket other = listener.accept()) {
                one.setSoTimeout(30_000);
                other.setSoTimeout(30_000);
                runPosted();
                runPosted();
                servers.send(dispatch(), 60_000_000);
                servers.send(dispatch(), 60_000_000);
                assertEquals(
                        "GG",
                        "" + (char) one.getInputStream().read()
                                + (char) other.getInputStream().read());
            }
            assertEquals(
                    List.of(2L, 1L, 1L, 2L),
                    Stream.of(
                                    Counter.CONNECTIONS_OPENED,
                                    Counter.CONNECTIONS_TRIED_AGAIN,
                                    Counter.CONNECTIONS_LATE,
                                    Counter.CONNECTIONS_REUSED)
                            .map(counters::get)
                            .toList());
        }
    }

    /**
     * A server ended an idle connection: the next call is not written to one that is nearly as old, but still to a
     * younger one.
     */
    @Test
    void noCallIsWrittenToAConnectionAboutToEnd() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            Socket first = serve(servers, listener, null);
            queue.now += 300_000;
            endedBy(first, 1);
            serve(servers, listener, null);
            queue.now += 200_000;
            Socket third = serve(servers, listener, null);
            queue.now += 150_000;
            serve(servers, listener, third);
            assertEquals(
                    List.of(3L, 1L, 1L),
                    Stream.of(Counter.CONNECTIONS_OPENED, Counter.CONNECTIONS_REUSED, Counter.CONNECTIONS_CLOSED_IDLE)
                            .map(counters::get)
                            .toList());
        }
    }

    /**
     * A reload with a shorter idle time counts at once: what has been free for longer is closed, and none is lent past
     * it between two sweeps.
     */
    @Test
    void aShorterIdleTimeCountsAtOnce() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            Socket first = serve(servers, listener, null);
            queue.now += 5_000_000;
            serve(servers, listener, first);
            queue.now += 5_000_000;
            servers.retune(500_000, 6_000_000);
            assertEquals(1, counters.get(Counter.CONNECTIONS_CLOSED_IDLE));
            assertTrue(endedUnused(first));
            Socket second = serve(servers, listener, null);
            queue.now += 1_500_000;
            serve(servers, listener, second);
            queue.now += 2_000_000;
            Socket third = serve(servers, listener, null);
            assertEquals(2, counters.get(Counter.CONNECTIONS_CLOSED_IDLE), "no sweep has come yet");
            servers.retune(500_000, 60_000_000);
            queue.now += 10_000_000;
            serve(servers, listener, third);
            assertEquals(3, counters.get(Counter.CONNECTIONS_OPENED));
        }
    }

    /** A server that ends its connections right behind its answers is trusted with none for a while. */
    @Test
    void connectionsAreNotKeptForAServerThatEndsThemAtOnce() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            for (int i = 1; i <= 6; i++) {
                endedBy(serve(servers, listener, null), i);
            }
            for (int i = 0; i < 3; i++) {
                assertTrue(endedUnused(serve(servers, listener, null)), "not kept");
            }
        }
    }

    /** What waits for a connection of its own takes one that comes free before it. */
    @Test
    void aConnectionThatComesFreeServesWhatWaits() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            servers.send(dispatch(), 60_000_000);
            try (Socket socket = listener.accept()) {
                socket.setSoTimeout(30_000);
                runPosted();
                queue.alarms.get(queue.alarms.size() - 1).run();
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("GET / HTTP/1.1", in.readLine());
                List<Socket> ahead = fill(listener);
                servers.send(dispatch(), 60_000_000);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                while (outcomes.isEmpty()) {
                    runPosted();
                }
                queue.alarms.get(queue.alarms.size() - 1).run();
                assertTrue(in.readLine().startsWith("X-Remaining-Ms"));
                assertEquals("", in.readLine());
                assertEquals("GET / HTTP/1.1", in.readLine());
                for (Socket one : ahead) {
                    one.close();
                }
            }
        }
    }

    /**
     * Late connections don't take the room of a dispatch: they are given up for it, and second ones leave half of it.
     */
    @Test
    void lateConnectionsGiveWay() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            List<Socket> ahead = fill(listener);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            int room = Bounds.of(64, false, 64).serverConnections();
            for (int i = 0; i <= room; i++) {
                servers.address(
                        "s" + i, new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
                int first = queue.alarms.size();
                dispatch();
                servers.send(exchange.addDispatch("s" + i, queue.now(), Long.MAX_VALUE), 60_000_000);
                while (!queue.posted.isEmpty()) {
                    runPosted();
                }
                assertEquals(i, outcomes.size(), "there is room for this one");
                // Half of its time, all of it, and the connection's.
                queue.alarms.get(first + 2).run();
                queue.alarms.get(queue.alarms.size() - 1).run();
                queue.alarms.get(first + 1).run();
                assertEquals(i + 1, outcomes.size());
            }
            assertEquals(room / 4, counters.get(Counter.CONNECTIONS_TRIED_AGAIN));
            for (Socket socket : ahead) {
                socket.close();
            }
        }
    }

    /** Connections that servers end make room again: the bound is on those there are, not on those there were. */
    @Test
    void endedConnectionsLeaveTheBound() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            for (int i = 1; i <= 2 * Bounds.of(64, false, 64).serverConnections(); i++) {
                servers.send(dispatch(), 100_000);
                Socket socket = listener.accept();
                queue.posted.poll(30, TimeUnit.SECONDS).run();
                Runnable begin = queue.alarms.get(queue.alarms.size() - 1);
                socket.close();
                queue.posted.poll(30, TimeUnit.SECONDS).run();
                begin.run();
                assertEquals(i, outcomes.size());
            }
        }
    }

    /**
     * Servers that drop idle connections almost at once must not keep the decision thread sweeping and nothing else.
     */
    @Test
    void sweepsAreSpacedHoweverShortTheIdleTime() {
        try (Connector connector = new Connector()) {
            new BackendServers(connector, queue, new Counters(), 500_000, 1, Bounds.of(256, false, 64), null);
            assertTrue(queue.dueAt.get(0) - queue.now() >= 10_000 - 2 * HandQueue.STEP, () -> "" + queue.dueAt);
            queue.alarms.get(0).run();
            assertTrue(queue.dueAt.get(1) - queue.now() >= 10_000 - 2 * HandQueue.STEP, () -> "" + queue.dueAt);
        }
    }
}
