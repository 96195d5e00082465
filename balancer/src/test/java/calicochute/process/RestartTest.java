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

/** A planned restart under clients that send on every connection for as long as it stays open. */
public class RestartTest extends SingleServerFixture {
    private static final int CLIENTS = 12;
    /** At a planned restart new connections keep coming for 0.4 s at most. */
    private static final long NEW_NANOS = 400_000_000L;

    private final AtomicInteger names = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger lastAnswers = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();
    private volatile long endingSince;

    /**
     * Sends on one connection until it ends; then on a new one, for as long as a front sends any to a process that
     * ends.
     */
    private void client() {
        try {
            while (endingSince == 0 || System.nanoTime() - endingSince < NEW_NANOS) {
                try (Socket socket = balancer.connect()) {
                    onOne(socket);
                }
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void onOne(Socket socket) throws Exception {
        while (true) {
            byte[] request =
                    HttpMessage.encode(session(String.format("%016x", names.incrementAndGet()), "view"), new byte[0]);
            HttpMessage answer = null;
            try {
                socket.getOutputStream().write(request);
                // Null at an end before the answer's; a head without its whole body fails the length below.
                answer = HttpMessage.read(socket.getInputStream());
            } catch (IOException e) {
                // Reset: the request crossed the connection's end, and is sent once more.
            }
            if (answer == null) {
                crossed.incrementAndGet();
                assertTrue("only a planned stop ends connections", endingSince != 0);
                return;
            }
            assertEquals(200, answer.status());
            assertEquals("a map", new String(answer.body()));
            answers.incrementAndGet();
            if ("close".equals(answer.header("Connection"))) {
                lastAnswers.incrementAndGet();
                assertEquals("said to be the last, and is", null, HttpMessage.read(socket.getInputStream()));
                return;
            }
        }
    }

    /**
     * The platform ends a process by the deadlines of its newest settings. Those of the start, longer here, would leave
     * this session to its own time, past that end.
     */
    @Test
    public void aStopGoesByTheDeadlinesInForce() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        Files.writeString(
                balancer.config,
                Files.readString(balancer.config).replace("\"deadline\":9000000", "\"deadline\":1000000"));
        balancer.signal("HUP");
        await("taken", () -> balancer.counter("reloads") == 1);
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
     * Shorter deadlines that come with SIGHUP while the process drains: the kill comes by them, and so do answers to
     * what was open.
     */
    @Test
    public void aStopGoesByDeadlinesThatCameAfterIt() throws Exception {
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
     * From SIGTERM to the process's end each request has its whole answer, and each connection in steady use ends
     * behind an answer that says so: none crosses a request.
     */
    @Test
    public void sendingOnToTheEndLosesNothing() throws Exception {
        server.script = r -> {
            Thread.sleep(ThreadLocalRandom.current().nextInt(20));
            return HttpMessage.response(200, "", "a map");
        };
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(CompletableFuture.runAsync(() -> client(), r -> new Thread(r).start()));
        }
        await("in full use", () -> answers.get() >= 20 * CLIENTS);
        assertEquals(0, crossed.get());
        assertEquals(0, lastAnswers.get());
        endingSince = System.nanoTime();
        balancer.process.destroy();
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        for (CompletableFuture<Void> client : clients) {
            client.get(30, TimeUnit.SECONDS);
        }
        assertEquals("requests on accepted connections that met an end", 0, crossed.get());
        assertTrue(lastAnswers.get() >= CLIENTS);
        assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
        assertTrue(balancer.log(), balancer.log().contains("sessions_taken " + answers.get() + ","));
    }
}
