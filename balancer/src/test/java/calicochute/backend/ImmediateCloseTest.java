package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.connection.Connector;
import calicochute.decision.Balancer.Outcome;
import calicochute.metrics.Counter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that close connections as soon as they are established, before and after the call on them starts; only the
 * test moves the clock.
 */
class ImmediateCloseTest extends BackendTestBase {
    /** Delay before a call on a new connection and on a used one, and the backoff after the server closed a spare. */
    private static final long NEW_CONNECTION_DELAY_MICROS = 2_000;

    private static final long REUSE_DELAY_MICROS = 5_000;
    private static final long SPARE_BACKOFF_MICROS = 20_000_000;
    private static final long LONG_TIMEOUT_MICROS = 60_000_000;
    private Connector connector;
    private ServerSocket listener;
    private BackendServers servers;

    @BeforeEach
    void start() throws IOException {
        connector = new Connector();
        connector.start();
        listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(30_000);
        servers = servers(connector, listener.getLocalPort());
        queue.stepMicros = 0;
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        connector.close();
    }

    private Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(30_000);
        return socket;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        close(socket);
    }

    private static void close(Socket socket) throws IOException {
        socket.close();
    }

    private List<Long> counted(Counter... selected) {
        return Stream.of(selected).map(counters::get).toList();
    }

    /**
     * The connection is closed during its delay and the close event arrives: nothing is sent, and the dispatch opens no
     * other connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "closed", "half-closed"})
    void nothingIsSentOnConnectionClosedDuringDelay(String closeKind) throws Exception {
        servers.send(dispatch(), LONG_TIMEOUT_MICROS);
        try (Socket socket = accept()) {
            int firstTimer = queue.timerTasks.size();
            runPosted();
            Runnable startCall = timerDueIn(NEW_CONNECTION_DELAY_MICROS, firstTimer);
            switch (closeKind) {
                case "reset" -> reset(socket);
                case "closed" -> close(socket);
                default -> socket.shutdownOutput();
            }
            runPosted();
            assertTrue(outcomes.isEmpty());
            queue.now += NEW_CONNECTION_DELAY_MICROS;
            startCall.run();
            assertEquals(List.of(Outcome.CONNECT_FAILED), outcomes);
            if (closeKind.equals("half-closed")) {
                assertEquals(-1, socket.getInputStream().read(), "nothing was sent");
            }
        }
        assertTrue(queue.posted.isEmpty());
        assertEquals(
                List.of(1L, 0L, 0L),
                counted(Counter.CONNECTIONS_OPENED, Counter.CONNECTIONS_REUSED, Counter.CONNECTIONS_ENDED_EARLY));
    }

    /** The opposite order: the server had read the request before the reset. */
    @Test
    void resetAfterCallStartedMeansMayHaveExecuted() throws Exception {
        servers.send(dispatch(), LONG_TIMEOUT_MICROS);
        try (Socket socket = accept()) {
            int firstTimer = queue.timerTasks.size();
            runPosted();
            Runnable startCall = timerDueIn(NEW_CONNECTION_DELAY_MICROS, firstTimer);
            queue.now += NEW_CONNECTION_DELAY_MICROS;
            startCall.run();
            readRequest(socket);
            reset(socket);
            while (outcomes.isEmpty()) {
                runPosted();
            }
        }
        assertEquals(List.of(Outcome.RESET), outcomes);
        assertEquals(1, counters.get(Counter.CONNECTIONS_OPENED), "sent once");
    }

    /**
     * Sends one more dispatch immediately after a response, so that it leases the connection during its delay; returns
     * the task that starts the call.
     */
    private Runnable sendDelayed() {
        long delayedBefore = counters.get(Counter.CONNECTIONS_WAITED_FOR);
        int timersBefore = queue.timerTasks.size();
        servers.send(dispatch(), LONG_TIMEOUT_MICROS);
        assertEquals(delayedBefore + 1, counters.get(Counter.CONNECTIONS_WAITED_FOR));
        return timerDueIn(REUSE_DELAY_MICROS, timersBefore);
    }

    private void serveDelayed(Socket used) throws Exception {
        int outcomeIndex = outcomes.size();
        Runnable startCall = sendDelayed();
        queue.now += REUSE_DELAY_MICROS;
        startCall.run();
        respond(used, outcomeIndex);
    }

    /**
     * A server that accepts only one connection: the close of a spare must not count as that of a used connection
     * (after which connections are not reused for 20 s), and no spare follows another into the same rejection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "closed"})
    void rejectedSpareStartsBackoff(String closeKind) throws Exception {
        try (Socket used = serve(servers, listener, null)) {
            Runnable startCall = sendDelayed();
            Socket spare = accept();
            runPosted();
            if (closeKind.equals("reset")) {
                reset(spare);
            } else {
                close(spare);
            }
            runPosted();
            assertEquals(
                    List.of(1L, 1L, 0L),
                    counted(Counter.SPARES_OPENED, Counter.SPARES_FAILED, Counter.CONNECTIONS_ENDED_EARLY));
            queue.now += REUSE_DELAY_MICROS;
            startCall.run();
            respond(used, 1);
            for (int i = 0; i < 30; i++) {
                serveDelayed(used);
            }
            assertEquals(
                    List.of(2L, 1L, 1L, 0L),
                    counted(
                            Counter.CONNECTIONS_OPENED,
                            Counter.SPARES_OPENED,
                            Counter.SPARES_FAILED,
                            Counter.CONNECTIONS_ENDED_EARLY));
            assertEquals(32, outcomes.size());
            // In steps, because a connection idle for a third of the configured idle time is not leased again.
            for (int i = 0; i < 4; i++) {
                queue.now += SPARE_BACKOFF_MICROS / 4;
                serve(servers, listener, used);
            }
            sendDelayed();
            assertEquals(2, counters.get(Counter.SPARES_OPENED), "the backoff is over");
        }
    }

    /**
     * The dispatch that would have used the spare finds it closed before the close event arrives: the backoff starts
     * too.
     */
    @Test
    void spareFoundClosedStartsBackoff() throws Exception {
        try (Socket used = serve(servers, listener, null)) {
            Runnable startCall = sendDelayed();
            Socket spare = accept();
            runPosted();
            queue.now += REUSE_DELAY_MICROS;
            startCall.run();
            respond(used, 1);
            close(spare);
            Runnable closeEvent = queue.posted.poll(30, TimeUnit.SECONDS);
            // The I/O thread has seen the close, the decision thread has not: the next dispatch finds the
            // connection closed.
            sendDelayed();
            closeEvent.run();
            assertEquals(List.of(1L, 1L), counted(Counter.SPARES_OPENED, Counter.SPARES_FAILED));
        }
    }

    /** The same for a used connection: the idle time after which its server closed it is recorded. */
    @Test
    void usedConnectionFoundClosedIsRecorded() throws Exception {
        Socket used = serve(servers, listener, null);
        queue.now += 300_000;
        close(used);
        Runnable closeEvent = queue.posted.poll(30, TimeUnit.SECONDS);
        servers.send(dispatch(), LONG_TIMEOUT_MICROS);
        closeEvent.run();
        assertEquals(1, counters.get(Counter.CONNECTIONS_ENDED_EARLY));
    }

    /**
     * The opposite order: the server had read the first call on the spare. That call may have been executed, and the
     * used connection is still reused.
     */
    @Test
    void spareResetDuringFirstCallMayHaveExecutedIt() throws Exception {
        try (Socket used = serve(servers, listener, null)) {
            Runnable startCall = sendDelayed();
            Socket spare = accept();
            runPosted();
            queue.now += NEW_CONNECTION_DELAY_MICROS;
            servers.send(dispatch(), LONG_TIMEOUT_MICROS);
            readRequest(spare);
            reset(spare);
            while (outcomes.size() == 1) {
                runPosted();
            }
            queue.now += REUSE_DELAY_MICROS - NEW_CONNECTION_DELAY_MICROS;
            startCall.run();
            respond(used, 2);
            serveDelayed(used);
        }
        assertEquals(List.of(Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.OK), outcomes);
        assertEquals(0, counters.get(Counter.SPARES_FAILED));
    }
}
