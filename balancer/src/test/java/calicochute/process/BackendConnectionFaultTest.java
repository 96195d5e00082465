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
 * Connections to backend servers that go bad in each way, under sessions of each effect, with a good server beside the
 * bad one: one final answer in time, nothing repeated that may have run, the failure charged once, no connection left.
 */
public class BackendConnectionFaultTest {
    private static final String GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na map";
    private final AtomicInteger ids = new AtomicInteger(0x100);
    private final List<Socket> held = new CopyOnWriteArrayList<>();
    private final Semaphore renewals = new Semaphore(0);
    private volatile int generation = 1;
    private ScriptedServer discovery;
    private ScriptedServer good;
    private Link bad;
    private BalancerProcess balancer;

    /** A server by hand: what it does with a connection once a request's head and body have come. */
    private interface Way {
        void meet(Socket socket) throws Exception;
    }

    private final class Link {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final AtomicInteger requests = new AtomicInteger();
        volatile Way way;
        /** Whether connections are read at all. */
        volatile boolean reads = true;

        Link() throws Exception {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        held.add(socket);
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
                    way.meet(socket);
                }
            } catch (Exception e) {
                // The way ended it.
            }
        }

        void close() throws Exception {
            listener.close();
            for (Socket socket : held) {
                socket.close();
            }
        }
    }

    @Before
    public void start() throws Exception {
        discovery = new ScriptedServer(r -> {
            renewals.acquire();
            return HttpMessage.response(
                    200,
                    "",
                    BalancerProcess.discoveryList(generation, "Ready", addresses())
                            .replace("startedAtMs\":0", "startedAtMs\":" + generation));
        });
        good = new ScriptedServer(r -> GOOD.getBytes(StandardCharsets.US_ASCII));
        bad = new Link();
        balancer = BalancerProcess.withBackends(discovery, addresses());
    }

    private String[] addresses() {
        return new String[] {good.address(), "127.0.0.1:" + bad.listener.getLocalPort()};
    }

    @After
    public void stop() throws Exception {
        balancer.stop();
        bad.close();
        good.close();
        discovery.close();
    }

    private HttpMessage send(String lane, int waitMs) throws Exception {
        return balancer.send(
                session(String.format("%016x", ids.incrementAndGet()), lane)
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
     * Both servers have started anew: nothing is known of either, so that the next session goes to one as well as to
     * the other.
     */
    private void renew() throws Exception {
        generation++;
        long told = balancer.counter("discovery_answers");
        renewals.release();
        await("started anew", () -> balancer.counter("discovery_answers") > told);
    }

    /**
     * What may not run twice makes no first calls while another server is known: so nothing is known before each
     * session. Its status.
     */
    private int statusOfTheOneThatMetIt(String lane, int waitMs) throws Exception {
        for (int i = 0; i < 40; i++) {
            renew();
            int before = bad.requests.get();
            int status = send(lane, waitMs).status();
            if (bad.requests.get() > before) {
                assertEquals("met once", before + 1, bad.requests.get());
                return status;
            }
            assertEquals(200, status);
        }
        throw new AssertionError("no session went there");
    }

    private void checkEach(String outcome, Way way) throws Exception {
        bad.way = way;
        for (String lane : List.of("order", "view", "scan")) {
            long failed = balancer.counter("dispatches_" + outcome);
            int served = good.requests.size();
            int status = statusOfTheOneThatMetIt(lane, 8000);
            assertEquals("charged once", failed + 1, balancer.counter("dispatches_" + outcome));
            // What has no effect, or whose key all servers remember, goes to the good one; the order may have run.
            assertEquals(outcome + " " + lane, lane.equals("order") ? 502 : 200, status);
            assertTrue(good.requests.size() > served || lane.equals("order"));
        }
        checkNoneIsLeft();
    }

    /** The balancer has ended each connection to the bad server that the server had not ended itself. */
    private void checkNoneIsLeft() throws Exception {
        for (Socket socket : held) {
            assertTrue(socket.isClosed() || BalancerProcess.awaitEnd(socket));
        }
    }

    @Test
    public void endedAfterTheRequest() throws Exception {
        checkEach("reset", socket -> socket.close());
    }

    @Test
    public void resetInTheHead() throws Exception {
        checkEach("reset", socket -> {
            write(socket, "HTTP/1.1 200 O");
            reset(socket);
        });
    }

    @Test
    public void resetInTheBody() throws Exception {
        checkEach("reset", socket -> {
            write(socket, GOOD.substring(0, GOOD.length() - 2));
            reset(socket);
        });
    }

    @Test
    public void halfClosedInTheBody() throws Exception {
        checkEach("reset", socket -> {
            write(socket, GOOD.substring(0, GOOD.length() - 2));
            socket.shutdownOutput();
        });
    }

    /**
     * Silence with little time: one answer before the client gives up, and what may be repeated is not repeated in
     * vain.
     */
    @Test
    public void silentAfterTheRequest() throws Exception {
        bad.way = socket -> Thread.sleep(Long.MAX_VALUE);
        for (String lane : List.of("order", "view", "scan")) {
            long late = balancer.counter("dispatches_timed_out");
            // A deny, where its repeat would do no harm; a failure where it may have run.
            assertEquals(lane, lane.equals("order") ? 504 : 503, statusOfTheOneThatMetIt(lane, 600));
            assertEquals(late + 1, balancer.counter("dispatches_timed_out"));
        }
        assertEquals(0, balancer.counter("sessions_ended_by_deadline"));
    }

    /** Taken by the kernel, never read: the answer comes by the deadline all the same, and nothing is left behind. */
    @Test
    public void neverRead() throws Exception {
        bad.reads = false;
        int late = 0;
        for (int i = 0; i < 60 && late == 0; i++) {
            renew();
            int status = send("order", 600).status();
            assertTrue("" + status, status == 200 || status == 504);
            late += status == 504 ? 1 : 0;
        }
        assertEquals(1, late);
        assertEquals(1, balancer.counter("dispatches_timed_out"));
        checkNoneIsLeft();
    }

    /**
     * Answers on a connection that keeps its word, with the close right behind the answer: no session pays for the
     * race.
     */
    @Test
    public void closedRightBehindTheAnswer() throws Exception {
        bad.way = socket -> {
            write(socket, GOOD);
            socket.close();
        };
        for (int i = 0; i < 5; i++) {
            assertEquals(200, statusOfTheOneThatMetIt("order", 8000));
        }
        assertEquals(0, balancer.counter("dispatches_reset"));
    }

    /** Ended in the pool by the far side: the next session finds another connection, and none is failed by it. */
    @Test
    public void endedWhileIdle() throws Exception {
        bad.way = socket -> write(socket, GOOD);
        assertEquals(200, statusOfTheOneThatMetIt("order", 8000));
        for (Socket socket : held) {
            reset(socket);
        }
        await("noticed", () -> balancer.counter("connections_ended_early") == 1);
        assertEquals(200, statusOfTheOneThatMetIt("order", 8000));
        assertEquals(0, balancer.counter("dispatches_reset") + balancer.counter("dispatches_connect_failed"));
    }
}
