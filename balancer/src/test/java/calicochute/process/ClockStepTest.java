package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.process.FaultShim.Fault;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Guards against timers that follow the wall clock: steps of an hour either way must not stop or fire them. */
public class ClockStepTest extends SingleServerFixture {
    private static final long HOUR_SECONDS = 3600;
    /** Within this time a client that stops in the middle of a request gets its error or close. */
    private static final long BAD_CLIENT_MS = 3000;
    /** The balancer may be killed that long after SIGTERM: 3 s and 0.7 s. */
    private static final long KILL_MS = 3700;

    private final FaultShim shim;

    public ClockStepTest() throws Exception {
        shim = new FaultShim();
    }

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withShell(shim.export(), discovery, server);
    }

    private void step(long seconds) throws Exception {
        assertEquals(200, balancer.send(session("0000000000000001", "view")).status());
        shim.set(Fault.CLOCK_OFFSET_SECONDS, seconds);
        Thread.sleep(200);
    }

    @Test
    public void clientThatStopsIsClosedAfterAStepBack() throws Exception {
        step(-HOUR_SECONDS);
        checkStoppingClientIsClosed();
    }

    @Test
    public void clientThatStopsIsClosedAfterAStepForward() throws Exception {
        step(HOUR_SECONDS);
        checkStoppingClientIsClosed();
    }

    private void checkStoppingClientIsClosed() throws Exception {
        for (String sent : new String[] {
            "GET /api HTTP/1.1\r\nX-T", session(SESSION_ID, "order") + "Content-Length: 9" + "\r\n\r\n1234"
        }) {
            try (Socket client = balancer.connect()) {
                client.getOutputStream().write(sent.getBytes());
                long startNanos = System.nanoTime();
                BalancerProcess.awaitEnd(client);
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(sent + " after " + elapsedMs, elapsedMs < BAD_CLIENT_MS && elapsedMs > 1000);
            }
        }
    }

    @Test
    public void openRequestIsServedAcrossSteps() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            for (long seconds : new long[] {HOUR_SECONDS, -HOUR_SECONDS, 5, -5}) {
                shim.set(Fault.CLOCK_OFFSET_SECONDS, seconds);
                Thread.sleep(300);
            }
            release.countDown();
            assertEquals(200, HttpMessage.read(client.getInputStream()).status());
        }
    }

    @Test
    public void stopEndsInTimeAfterAStepBack() throws Exception {
        try (Socket idle = balancer.connect()) {
            idle.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "view"), new byte[0]));
            assertEquals(200, HttpMessage.read(idle.getInputStream()).status());
            step(-HOUR_SECONDS);
            balancer.process.destroy();
            assertTrue("exits by itself", balancer.process.waitFor(KILL_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** A server that does not accept: the connect ends in its time, and others can be opened. */
    @Test
    public void requestIsDeniedInTimeAfterAStepBack() throws Exception {
        step(-HOUR_SECONDS);
        server.close();
        long startNanos = System.nanoTime();
        int status = balancer.send(session(SESSION_ID, "order").replace(": 8000", ": 1000"), new byte[1])
                .status();
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(status + " after " + elapsedMs, status == 503 && elapsedMs < 1500);
    }
}
