package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import org.junit.Test;

/**
 * Guards against one client that sends small or unsound requests on a connection at full speed: other clients must get
 * their responses in time, and memory must not grow.
 */
public class FloodTest extends SingleServerFixture {
    private static final long FLOOD_MS = 4000;
    private static final int REQUESTS_PER_WRITE = 50;
    private static final long MAX_RESPONSE_MS = 400;
    private static final int MAX_GROWTH_MB = 60;

    private final AtomicLong sent = new AtomicLong();
    private final AtomicReference<Socket> floodConnection = new AtomicReference<>(new Socket());

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withDeployedFlags(c -> c, discovery, server);
    }

    /** Sends requests without waiting for responses, on a new connection whenever one ends. */
    private void flood(LongFunction<String> request, AtomicBoolean ended) {
        while (!ended.get()) {
            try (Socket socket = balancer.connect()) {
                floodConnection.set(socket);
                Thread reader = new Thread(() -> discard(socket));
                reader.start();
                OutputStream output = socket.getOutputStream();
                while (!ended.get()) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                        requests.append(request.apply(sent.incrementAndGet()));
                    }
                    output.write(requests.toString().getBytes());
                }
            } catch (IOException e) {
                // The next connection is opened at once.
            }
        }
    }

    private static void discard(Socket socket) {
        try {
            InputStream input = socket.getInputStream();
            byte[] buffer = new byte[1 << 16];
            while (input.read(buffer) >= 0) {
                // Responses are not looked at.
            }
        } catch (IOException e) {
            // The connection was ended.
        }
    }

    private void checkOthersAreServed(LongFunction<String> request) throws Exception {
        for (int i = 0; i < 20; i++) {
            assertEquals(200, balancer.send(session(newSessionId(), "view")).status());
        }
        long residentBefore = ProcessMemory.residentMb(balancer.process.pid());
        AtomicBoolean ended = new AtomicBoolean();
        Thread flooder = new Thread(() -> flood(request, ended));
        flooder.start();
        List<Long> elapsedMs = new ArrayList<>();
        long endNanos = System.nanoTime() + FLOOD_MS * 1_000_000;
        try (Socket client = balancer.connect()) {
            while (System.nanoTime() < endNanos) {
                long startNanos = System.nanoTime();
                client.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "order"), new byte[9]));
                HttpMessage response = HttpMessage.read(client.getInputStream());
                assertEquals("kept connection", 200, response.status());
                elapsedMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                assertEquals(200, balancer.send(session(newSessionId(), "view")).status());
            }
        } finally {
            ended.set(true);
            // A write that the balancer does not read would block for good.
            floodConnection.get().close();
            flooder.join();
        }
        Collections.sort(elapsedMs);
        long longest = elapsedMs.get(elapsedMs.size() - 1);
        long growth = ProcessMemory.residentMb(balancer.process.pid()) - residentBefore;
        assertTrue("longest " + longest, longest < MAX_RESPONSE_MS);
        assertTrue("growth " + growth, growth < MAX_GROWTH_MB);
        await(
                "nothing is pending",
                () -> balancer.counter("sessions_taken")
                        == balancer.counter("sessions_served")
                                + balancer.counter("sessions_denied")
                                + balancer.counter("sessions_failed")
                                + balancer.counter("sessions_client_gone"));
    }

    private static String id(long number) {
        return String.format("%016x", number + (1L << 40));
    }

    @Test
    public void smallRequestsInSeries() throws Exception {
        checkOthersAreServed(number -> session(id(number), "view") + "\r\n");
    }

    @Test
    public void unsoundRequests() throws Exception {
        checkOthersAreServed(number -> "GET /api HTTP/1.1\r\nX-Txn: z\r\n\r\n");
    }

    @Test
    public void requestsOfAnotherVersion() throws Exception {
        checkOthersAreServed(number -> "GET /api HTTP/2.0\r\nHost: a\r\n\r\n");
    }

    @Test
    public void everNewNames() throws Exception {
        checkOthersAreServed(number -> session(id(number), "view")
                        .replace("X-Lane: view", "X-Lane: lane" + number)
                        .replace("X-Org: library", "X-Org: org" + number)
                + "\r\n");
    }

    @Test
    public void statusPages() throws Exception {
        checkOthersAreServed(
                number -> (number % 2 == 0 ? "GET /counters" : "GET /ready") + " HTTP/1.1\r\nHost: a\r\n\r\n");
    }
}
