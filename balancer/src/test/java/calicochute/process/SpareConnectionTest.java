package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;

import java.net.Socket;
import org.junit.Test;

/** Spare connections to backend servers, opened ahead of need. */
public class SpareConnectionTest extends SingleServerFixture {
    /** A connection is not reused for 5 ms after a response; this is longer. */
    private static final long REUSE_DELAY_MS = 10;

    /** No spare is opened for 20 s after one has failed; this is shorter. */
    private static final long BEFORE_NEXT_SPARE_MS = 15_000;

    private int sessionNumber;

    /**
     * Sends pairs of sessions back to back until the second of a pair waits because the connection may not be reused
     * yet, which opens a spare. No session follows, so that only the server decides what becomes of the spare.
     */
    private void sendUntilOneWaits() throws Exception {
        await("a dispatch that waits", () -> {
            // After this delay the connection may be reused, so that the first of the pair does not wait.
            Thread.sleep(REUSE_DELAY_MS);
            try (Socket client = balancer.connect()) {
                serve(client);
                serve(client);
            }
            return balancer.counter("connections_waited_for") > 0;
        });
        assertEquals(1, balancer.counter("spares_opened"));
    }

    private void serve(Socket client) throws Exception {
        client.getOutputStream()
                .write(HttpMessage.encode(session(String.format("%016x", ++sessionNumber), "view"), new byte[0]));
        assertEquals(200, HttpMessage.read(client.getInputStream()).status());
    }

    @Test
    public void waitingSessionOpensSpare() throws Exception {
        sendUntilOneWaits();
        await("a spare", () -> server.connections.size() >= 2);
        try (Socket client = balancer.connect()) {
            for (int i = 0; i < 20; i++) {
                serve(client);
            }
        }
        assertEquals(0, balancer.counter("spares_failed"));
        // One request per session: none was sent twice.
        assertEquals(
                sessionNumber,
                server.requests.stream()
                        .filter(r -> r.firstLine().contains("/api"))
                        .count());
    }

    /**
     * A server that accepts only one connection: the close of a spare must not count as the close of an idle
     * connection, after which no connection would be reused for 20 s, and no other spare may be opened at once. The
     * spare is closed unused here; ImmediateCloseTest covers a spare that is closed after a request was sent on it.
     */
    @Test
    public void refusedSpareDoesNotAffectPool() throws Exception {
        server.maxConnections = 1;
        sendUntilOneWaits();
        long startNanos = System.nanoTime();
        await("the spare has failed", () -> balancer.counter("spares_failed") == 1);
        for (int i = 0; i < 30 && System.nanoTime() - startNanos < BEFORE_NEXT_SPARE_MS * 1_000_000; i++) {
            assertEquals(
                    200,
                    balancer.send(session(String.format("%016x", ++sessionNumber), "order"))
                            .status());
        }
        assertEquals(1, balancer.counter("spares_opened"));
        assertEquals(0, balancer.counter("connections_ended_early"));
        assertEquals(
                sessionNumber,
                server.requests.stream()
                        .filter(r -> r.firstLine().contains("/api"))
                        .count());
        assertEquals(2, server.connections.size());
    }
}
