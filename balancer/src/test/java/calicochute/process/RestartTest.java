package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Planned stops with SIGTERM: deadlines of open sessions, and clients that keep sending. */
public class RestartTest extends SingleServerFixture {
    private static final int CLIENTS = 12;
    /**
     * New connections arrive for at most 0.4 s after SIGTERM, until the load balancer in front has removed the process.
     */
    private static final long NEW_CONNECTIONS_NANOS = 400_000_000L;

    private final AtomicInteger sessionNumber = new AtomicInteger();
    private final AtomicInteger responseCount = new AtomicInteger();
    private final AtomicInteger finalResponseCount = new AtomicInteger();
    private final AtomicInteger unansweredCount = new AtomicInteger();
    private volatile long stopNanos;

    /**
     * Sends on one connection until it is closed, then on a new one, as long as new connections arrive at a stopping
     * process.
     */
    private void runClient() {
        try {
            while (stopNanos == 0 || System.nanoTime() - stopNanos < NEW_CONNECTIONS_NANOS) {
                try (Socket socket = balancer.connect()) {
                    sendUntilClosed(socket);
                }
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void sendUntilClosed(Socket socket) throws Exception {
        while (true) {
            byte[] request = HttpMessage.encode(
                    session(String.format("%016x", sessionNumber.incrementAndGet()), "view"), new byte[0]);
            HttpMessage response = null;
            try {
                socket.getOutputStream().write(request);
                // Null if the connection ends before the end of the head; a truncated body fails the comparison
                // below.
                response = HttpMessage.read(socket.getInputStream());
            } catch (IOException e) {
                // The connection was reset while the request was in transit.
            }
            if (response == null) {
                unansweredCount.incrementAndGet();
                assertTrue("connections are closed during a stop only", stopNanos != 0);
                return;
            }
            assertEquals(200, response.status());
            assertEquals("a map", new String(response.body()));
            responseCount.incrementAndGet();
            if ("close".equals(response.header("Connection"))) {
                finalResponseCount.incrementAndGet();
                assertEquals(
                        "the connection ends after Connection: close", null, HttpMessage.read(socket.getInputStream()));
                return;
            }
        }
    }

    /**
     * The platform sends SIGKILL after the longest deadline of the newest settings. With the longer deadlines from the
     * start this session would still be open at that time.
     */
    @Test
    public void stopUsesReloadedDeadlines() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        Files.writeString(
                balancer.config,
                Files.readString(balancer.config).replace("\"deadline\":9000000", "\"deadline\":1000000"));
        balancer.signal("HUP");
        await("reloaded", () -> balancer.counter("reloads") == 1);
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream()
                    .write(HttpMessage.encode(
                            session(String.format("%016x", 1), "order").replace(": 8000", ": 2600"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            balancer.process.destroy();
            assertEquals(502, HttpMessage.read(socket.getInputStream()).status());
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 1"));
    }

    /**
     * Shorter deadlines that are loaded by SIGHUP during a drain set the time of SIGKILL, so open sessions must be
     * answered by them.
     */
    @Test
    public void stopUsesDeadlinesReloadedDuringDrain() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        Files.writeString(
                balancer.config,
                Files.readString(balancer.config).replace("\"deadline\":9000000", "\"deadline\":1000000"));
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream()
                    .write(HttpMessage.encode(
                            session(String.format("%016x", 1), "order").replace(": 8000", ": 2600"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            balancer.process.destroy();
            await("draining", () -> balancer.log().contains("INFO draining unanswered=1"));
            balancer.signal("HUP");
            assertEquals(502, HttpMessage.read(socket.getInputStream()).status());
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 1"));
    }

    /**
     * From SIGTERM to exit each request has a complete response, and each busy connection is closed after a response
     * with Connection: close, so that no request is in transit when it closes.
     */
    @Test
    public void stopUnderLoadLosesNoRequest() throws Exception {
        server.script = r -> {
            Thread.sleep(ThreadLocalRandom.current().nextInt(20));
            return HttpMessage.response(200, "", "a map");
        };
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(CompletableFuture.runAsync(() -> runClient(), r -> new Thread(r).start()));
        }
        await("all clients are sending", () -> responseCount.get() >= 20 * CLIENTS);
        assertEquals(0, unansweredCount.get());
        assertEquals(0, finalResponseCount.get());
        stopNanos = System.nanoTime();
        balancer.process.destroy();
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        for (CompletableFuture<Void> client : clients) {
            client.get(30, TimeUnit.SECONDS);
        }
        assertEquals("unanswered requests on accepted connections", 0, unansweredCount.get());
        assertTrue(finalResponseCount.get() >= CLIENTS);
        assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
        assertTrue(balancer.log(), balancer.log().contains("sessions_taken " + responseCount.get() + ","));
    }
}
