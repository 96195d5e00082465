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

/** Tests of dispatches step by step: the test is the decision thread, on real connections. */
class BackendServersTest extends BackendTestBase {
    /** The time limit of a dispatch counts from its creation, however long this side takes to prepare the call. */
    @Test
    void timeoutCountsFromDispatchCreation() {
        try (Connector connector = new Connector()) {
            BackendServers servers = servers(connector, 1);
            Dispatch dispatch = dispatch();
            queue.now();
            servers.send(dispatch, 100_000);
            assertEquals(dispatch.sentAt + 100_000, queue.dueTimes.get(1), "the first timer is the sweep");
        }
    }

    private void checkNotSent(long timeoutMicros, boolean reused, Consumer<BackendServers> makeIneligible)
            throws IOException, InterruptedException {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            servers.send(dispatch(), timeoutMicros);
            Socket socket = listener.accept();
            socket.setSoTimeout(30_000);
            queue.posted.poll(30, TimeUnit.SECONDS).run();
            makeIneligible.accept(servers);
            queue.timerTasks.get(queue.timerTasks.size() - 1).run();
            assertEquals(List.of(Outcome.MOOT), outcomes);
            if (reused) {
                servers.send(dispatch("/next"), 100_000);
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals(
                        "GET /next HTTP/1.1",
                        reader.readLine(),
                        "nothing was sent before, and the connection is reused");
            } else {
                assertTrue(closedWithoutData(socket), "nothing was sent, and the connection was closed");
            }
            socket.close();
        }
    }

    /**
     * A dispatch that waits for its connection is not sent once its server or its session is not eligible any more, for
     * each reason.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "excluded",
                "not on a full list",
                "removed",
                "moved",
                "restarted",
                "client gone",
                "response sent",
                "too late to be repeated",
                "timed out"
            })
    void waitingDispatchIsNotSent(String reason) throws Exception {
        boolean reused = Set.of("client gone", "response sent", "too late to be repeated", "timed out", "restarted")
                .contains(reason);
        checkNotSent(reason.startsWith("too late") ? 10_000_000 : 100_000, reused, servers -> {
            switch (reason) {
                case "not on a full list" -> servers.retainOnly(Set.of());
                case "removed" -> servers.remove("s");
                case "restarted" -> servers.recordStart("s", 1);
                case "client gone" -> exchange.markClientGone();
                case "response sent" -> exchange.respond(new Response.Failed(true));
                case "too late to be repeated" -> queue.now += SEND_WINDOW_MICROS;
                case "timed out" -> queue.now += 100_000;
                case "moved" -> servers.setAddress("s", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
                default -> servers.setEligible("s", false);
            }
        });
    }

    /**
     * A late handshake is not lost: after half the connect timeout a second connection is opened, and both serve later
     * dispatches.
     */
    @Test
    void overdueConnectionsServeLaterDispatches() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            List<Socket> fillers = fillBacklog(listener);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            servers.send(dispatch(), 60_000_000);
            int connectTimer = queue.timerTasks.size() - 2;
            queue.timerTasks.get(connectTimer + 1).run();
            queue.timerTasks.get(connectTimer).run();
            assertTrue(outcomes.isEmpty());
            queue.timerTasks.get(connectTimer + 3).run();
            assertEquals(List.of(Outcome.CONNECT_FAILED), outcomes);
            for (Socket socket : fillers) {
                listener.accept().close();
                socket.close();
            }
            try (Socket first = listener.accept();
                    Socket second = listener.accept()) {
                first.setSoTimeout(30_000);
                second.setSoTimeout(30_000);
                runPosted();
                runPosted();
                servers.send(dispatch(), 60_000_000);
                servers.send(dispatch(), 60_000_000);
                assertEquals(
                        "GG",
                        "" + (char) first.getInputStream().read()
                                + (char) second.getInputStream().read());
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
     * The server closed an idle connection: the next call does not use one that has been idle for nearly as long, but
     * still uses a younger one.
     */
    @Test
    void connectionAboutToBeClosedIsNotUsed() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            Socket first = serve(servers, listener, null);
            queue.now += 300_000;
            closeAndAwaitEvent(first, 1);
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
     * A reload with a shorter idle time applies immediately: connections idle for longer are closed, and none is leased
     * past it between two sweeps.
     */
    @Test
    void shorterIdleTimeAppliesImmediately() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            Socket first = serve(servers, listener, null);
            queue.now += 5_000_000;
            serve(servers, listener, first);
            queue.now += 5_000_000;
            servers.updateTimeouts(500_000, 6_000_000);
            assertEquals(1, counters.get(Counter.CONNECTIONS_CLOSED_IDLE));
            assertTrue(closedWithoutData(first));
            Socket second = serve(servers, listener, null);
            queue.now += 1_500_000;
            serve(servers, listener, second);
            queue.now += 2_000_000;
            Socket third = serve(servers, listener, null);
            assertEquals(2, counters.get(Counter.CONNECTIONS_CLOSED_IDLE), "no sweep has run yet");
            servers.updateTimeouts(500_000, 60_000_000);
            queue.now += 10_000_000;
            serve(servers, listener, third);
            assertEquals(3, counters.get(Counter.CONNECTIONS_OPENED));
        }
    }

    /** If a server closes its connections immediately after responses, none is reused for a while. */
    @Test
    void immediateClosesDisableReuse() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            for (int i = 1; i <= 6; i++) {
                closeAndAwaitEvent(serve(servers, listener, null), i);
            }
            for (int i = 0; i < 3; i++) {
                assertTrue(closedWithoutData(serve(servers, listener, null)), "not reused");
            }
        }
    }

    /** A dispatch that waits for a new connection takes one that is returned earlier. */
    @Test
    void returnedConnectionServesWaitingDispatch() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            servers.send(dispatch(), 60_000_000);
            try (Socket socket = listener.accept()) {
                socket.setSoTimeout(30_000);
                runPosted();
                queue.timerTasks.get(queue.timerTasks.size() - 1).run();
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("GET / HTTP/1.1", reader.readLine());
                List<Socket> fillers = fillBacklog(listener);
                servers.send(dispatch(), 60_000_000);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                while (outcomes.isEmpty()) {
                    runPosted();
                }
                queue.timerTasks.get(queue.timerTasks.size() - 1).run();
                assertTrue(reader.readLine().startsWith("X-Remaining-Ms"));
                assertEquals("", reader.readLine());
                assertEquals("GET / HTTP/1.1", reader.readLine());
                for (Socket filler : fillers) {
                    filler.close();
                }
            }
        }
    }

    /**
     * Overdue connections do not use up the connection limit: they are cancelled for a dispatch, and second connections
     * leave half of the limit.
     */
    @Test
    void overdueConnectionsAreCancelledForDispatches() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            connector.start();
            List<Socket> fillers = fillBacklog(listener);
            BackendServers servers = servers(connector, listener.getLocalPort(), 30_000_000);
            int limit = Bounds.of(64, false, 64).serverConnections();
            for (int i = 0; i <= limit; i++) {
                servers.setAddress(
                        "s" + i, new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
                int firstTimer = queue.timerTasks.size();
                dispatch();
                servers.send(exchange.addDispatch("s" + i, queue.now(), Long.MAX_VALUE), 60_000_000);
                while (!queue.posted.isEmpty()) {
                    runPosted();
                }
                assertEquals(i, outcomes.size(), "the limit leaves room for this one");
                // Half of the connect timeout, all of it, and the timeout of the connection itself.
                queue.timerTasks.get(firstTimer + 2).run();
                queue.timerTasks.get(queue.timerTasks.size() - 1).run();
                queue.timerTasks.get(firstTimer + 1).run();
                assertEquals(i + 1, outcomes.size());
            }
            assertEquals(limit / 4, counters.get(Counter.CONNECTIONS_TRIED_AGAIN));
            for (Socket socket : fillers) {
                socket.close();
            }
        }
    }

    /** Connections closed by servers do not count towards the limit, which applies to open connections only. */
    @Test
    void closedConnectionsDoNotCountTowardsLimit() throws Exception {
        try (Connector connector = new Connector();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            connector.start();
            listener.setSoTimeout(30_000);
            BackendServers servers = servers(connector, listener.getLocalPort());
            for (int i = 1; i <= 2 * Bounds.of(64, false, 64).serverConnections(); i++) {
                servers.send(dispatch(), 100_000);
                Socket socket = listener.accept();
                queue.posted.poll(30, TimeUnit.SECONDS).run();
                Runnable startCall = queue.timerTasks.get(queue.timerTasks.size() - 1);
                socket.close();
                queue.posted.poll(30, TimeUnit.SECONDS).run();
                startCall.run();
                assertEquals(i, outcomes.size());
            }
        }
    }

    /** If servers drop idle connections almost immediately, the decision thread must not be kept busy by sweeps. */
    @Test
    void sweepIntervalHasLowerLimit() {
        try (Connector connector = new Connector()) {
            new BackendServers(connector, queue, new Counters(), 500_000, 1, Bounds.of(256, false, 64), null);
            assertTrue(
                    queue.dueTimes.get(0) - queue.now() >= 10_000 - 2 * ManualDecisionQueue.STEP_MICROS,
                    () -> "" + queue.dueTimes);
            queue.timerTasks.get(0).run();
            assertTrue(
                    queue.dueTimes.get(1) - queue.now() >= 10_000 - 2 * ManualDecisionQueue.STEP_MICROS,
                    () -> "" + queue.dueTimes);
        }
    }
}
