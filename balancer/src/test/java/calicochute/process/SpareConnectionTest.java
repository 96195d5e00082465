package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;

import java.net.Socket;
import org.junit.Test;

/** Connections opened ahead, as backend servers meet them. */
public class SpareConnectionTest extends SingleServerFixture {
    /** A connection rests for 5 ms after an answer; and the pause after a spare that failed is 20 s. */
    private static final long RESTED_MS = 10;

    private static final long WITHIN_PAUSE_MS = 15_000;
    private int ids;

    /**
     * Pairs of sessions, the second right behind the first, until that meets the connection still at rest and waits:
     * which opens a spare. None follows then: what becomes of the spare is up to its server alone.
     */
    private void sessionsUntilOneWaits() throws Exception {
        await("a dispatch that waits", () -> {
            // Not sooner: whatever came before has rested by then, so that the first of the two does not wait.
            Thread.sleep(RESTED_MS);
            try (Socket client = balancer.connect()) {
                serve(client);
                serve(client);
            }
            return balancer.counter("connections_waited_for") > 0;
        });
        assertEquals(1, balancer.counter("spares_opened"));
    }

    private void serve(Socket client) throws Exception {
        client.getOutputStream().write(HttpMessage.encode(session(String.format("%016x", ++ids), "view"), new byte[0]));
        assertEquals(200, HttpMessage.read(client.getInputStream()).status());
    }

    @Test
    public void aWaitOpensASpareThatLaterSessionsUse() throws Exception {
        sessionsUntilOneWaits();
        await("a spare", () -> server.connections.size() >= 2);
        try (Socket client = balancer.connect()) {
            for (int i = 0; i < 20; i++) {
                serve(client);
            }
        }
        assertEquals(0, balancer.counter("spares_failed"));
        // Nothing was sent twice: a request for each session.
        assertEquals(
                ids,
                server.requests.stream()
                        .filter(r -> r.firstLine().contains("/api"))
                        .count());
    }

    /**
     * Guards against a server that takes one connection only: the end of a spare must not count as that of a kept
     * connection (after which none is kept for 20 s), and no spare follows another into the same refusal. The spare
     * ends unused here; ImmediateCloseTest has the order in which a call went out on it first.
     */
    @Test
    public void aServerThatRefusesSparesIsServedOverWhatItTakes() throws Exception {
        server.maxConnections = 1;
        sessionsUntilOneWaits();
        long since = System.nanoTime();
        await("a failed spare", () -> balancer.counter("spares_failed") == 1);
        for (int i = 0; i < 30 && System.nanoTime() - since < WITHIN_PAUSE_MS * 1_000_000; i++) {
            assertEquals(
                    200,
                    balancer.send(session(String.format("%016x", ++ids), "order"))
                            .status());
        }
        assertEquals(1, balancer.counter("spares_opened"));
        assertEquals(0, balancer.counter("connections_ended_early"));
        assertEquals(
                ids,
                server.requests.stream()
                        .filter(r -> r.firstLine().contains("/api"))
                        .count());
        assertEquals(2, server.connections.size());
    }
}
