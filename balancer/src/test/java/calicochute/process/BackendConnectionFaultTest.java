package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Faults of connections to a backend server, with sessions of each effect and a second, healthy server: each session
 * has one response in time, no request that may have run is repeated, each failure is counted once and no connection
 * stays open.
 */
public class BackendConnectionFaultTest {
    private static final String VALID_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na map";
    private final AtomicInteger sessionNumber = new AtomicInteger(0x100);
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final Semaphore pendingUpdates = new Semaphore(0);
    private volatile int generation = 1;
    private ScriptedServer discovery;
    private ScriptedServer healthy;
    private FaultyServer faulty;
    private BalancerProcess balancer;

    /** What the faulty server does with a connection after it has read a request. */
    private interface ConnectionHandler {
        void handle(Socket socket) throws Exception;
    }

    private final class FaultyServer {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final AtomicInteger requests = new AtomicInteger();
        volatile ConnectionHandler handler;
        /** Whether requests are read. */
        volatile boolean reads = true;

        FaultyServer() throws Exception {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        accepted.add(socket);
                        if (reads) {
                            new Thread(() -> serve(socket)).start();
                        }
                    }
                } catch (Exception e) {
                    // The test is over.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket socket) {
            try {
                while (HttpMessage.read(socket.getInputStream()) != null) {
                    requests.incrementAndGet();
                    handler.handle(socket);
                }
            } catch (Exception e) {
                // The handler or the balancer closed the connection.
            }
        }

        void close() throws Exception {
            listener.close();
            for (Socket socket : accepted) {
                socket.close();
            }
        }
    }

    @Before
    public void start() throws Exception {
        discovery = new ScriptedServer(r -> {
            pendingUpdates.acquire();
            return HttpMessage.response(
                    200,
                    "",
                    BalancerProcess.discoveryList(generation, "Ready", addresses())
                            .replace("startedAtMs\":0", "startedAtMs\":" + generation));
        });
        healthy = new ScriptedServer(r -> VALID_RESPONSE.getBytes(StandardCharsets.US_ASCII));
        faulty = new FaultyServer();
        balancer = BalancerProcess.withBackends(discovery, addresses());
    }

    private String[] addresses() {
        return new String[] {healthy.address(), "127.0.0.1:" + faulty.listener.getLocalPort()};
    }

    @After
    public void stop() throws Exception {
        balancer.stop();
        faulty.close();
        healthy.close();
        discovery.close();
    }

    private HttpMessage send(String lane, int waitMs) throws Exception {
        return balancer.send(
                session(String.format("%016x", sessionNumber.incrementAndGet()), lane)
                        .replace("X-Remaining-Ms: 8000", "X-Remaining-Ms: " + waitMs),
                lane.equals("view") ? new byte[0] : new byte[1]);
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void reset(Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /**
     * Reports a restart of both servers. The balancer forgets what it has learned of them, so the next session may go
     * to either.
     */
    private void reportRestart() throws Exception {
        generation++;
        long before = balancer.counter("discovery_answers");
        pendingUpdates.release();
        await("the restart is reported", () -> balancer.counter("discovery_answers") > before);
    }

    /**
     * Sends sessions until one reaches the faulty server, and returns its status. A restart is reported before each: a
     * session that must not run twice is not sent to an unknown server while a known one exists.
     */
    private int statusAtFaultyServer(String lane, int waitMs) throws Exception {
        for (int i = 0; i < 40; i++) {
            reportRestart();
            int before = faulty.requests.get();
            int status = send(lane, waitMs).status();
            if (faulty.requests.get() > before) {
                assertEquals("one request at the faulty server", before + 1, faulty.requests.get());
                return status;
            }
            assertEquals(200, status);
        }
        throw new AssertionError("no session reached the faulty server");
    }

    private void checkEach(String outcome, ConnectionHandler handler) throws Exception {
        faulty.handler = handler;
        for (String lane : List.of("order", "view", "scan")) {
            long failed = balancer.counter("dispatches_" + outcome);
            int served = healthy.requests.size();
            int status = statusAtFaultyServer(lane, 8000);
            assertEquals("counted once", failed + 1, balancer.counter("dispatches_" + outcome));
            // Repeatable and keyed requests are sent to the healthy server; the order may have run.
            assertEquals(outcome + " " + lane, lane.equals("order") ? 502 : 200, status);
            assertTrue(healthy.requests.size() > served || lane.equals("order"));
        }
        checkAllConnectionsEnded();
    }

    /** Checks that the balancer ended each connection that the faulty server did not close itself. */
    private void checkAllConnectionsEnded() throws Exception {
        for (Socket socket : accepted) {
            assertTrue(socket.isClosed() || BalancerProcess.awaitEnd(socket));
        }
    }

    @Test
    public void closedAfterRequest() throws Exception {
        checkEach("reset", socket -> socket.close());
    }

    @Test
    public void resetInResponseHead() throws Exception {
        checkEach("reset", socket -> {
            write(socket, "HTTP/1.1 200 O");
            reset(socket);
        });
    }

    @Test
    public void resetInResponseBody() throws Exception {
        checkEach("reset", socket -> {
            write(socket, VALID_RESPONSE.substring(0, VALID_RESPONSE.length() - 2));
            reset(socket);
        });
    }

    @Test
    public void halfClosedInResponseBody() throws Exception {
        checkEach("reset", socket -> {
            write(socket, VALID_RESPONSE.substring(0, VALID_RESPONSE.length() - 2));
            socket.shutdownOutput();
        });
    }

    /**
     * No response and little time: the session ends before its client's deadline, and no retry is sent that would come
     * too late.
     */
    @Test
    public void noResponseToRequest() throws Exception {
        faulty.handler = socket -> Thread.sleep(Long.MAX_VALUE);
        for (String lane : List.of("order", "view", "scan")) {
            long timedOut = balancer.counter("dispatches_timed_out");
            // A deny if a repetition would do no harm, a failure if it may have run.
            assertEquals(lane, lane.equals("order") ? 504 : 503, statusAtFaultyServer(lane, 600));
            assertEquals(timedOut + 1, balancer.counter("dispatches_timed_out"));
        }
        assertEquals(0, balancer.counter("sessions_ended_by_deadline"));
    }

    /**
     * Connections that the kernel accepts and the server never reads: the response comes by the deadline, and no
     * connection stays open.
     */
    @Test
    public void requestIsNeverRead() throws Exception {
        faulty.reads = false;
        int timedOut = 0;
        for (int i = 0; i < 60 && timedOut == 0; i++) {
            reportRestart();
            int status = send("order", 600).status();
            assertTrue("" + status, status == 200 || status == 504);
            timedOut += status == 504 ? 1 : 0;
        }
        assertEquals(1, timedOut);
        assertEquals(1, balancer.counter("dispatches_timed_out"));
        checkAllConnectionsEnded();
    }

    /** The server closes a persistent connection right after a complete response: no session fails for it. */
    @Test
    public void closedRightAfterResponse() throws Exception {
        faulty.handler = socket -> {
            write(socket, VALID_RESPONSE);
            socket.close();
        };
        for (int i = 0; i < 5; i++) {
            assertEquals(200, statusAtFaultyServer("order", 8000));
        }
        assertEquals(0, balancer.counter("dispatches_reset"));
    }

    /** The server resets an idle connection in the pool: the next session gets another connection and does not fail. */
    @Test
    public void resetWhileIdle() throws Exception {
        faulty.handler = socket -> write(socket, VALID_RESPONSE);
        assertEquals(200, statusAtFaultyServer("order", 8000));
        for (Socket socket : accepted) {
            reset(socket);
        }
        await("the reset is detected", () -> balancer.counter("connections_ended_early") == 1);
        assertEquals(200, statusAtFaultyServer("order", 8000));
        assertEquals(0, balancer.counter("dispatches_reset") + balancer.counter("dispatches_connect_failed"));
    }
}
