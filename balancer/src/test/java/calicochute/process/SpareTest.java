package calicochute.process;

import static calicochute.process.Program.await;
import static calicochute.process.Program.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import org.junit.Test;

/** Connections opened ahead, as backend servers meet them. */
public class SpareTest extends OneServer {
    private int ids;

    /** Sessions right behind one another on one connection, until one meets a connection that still rests. */
    private void sessionsUntilOneWaits() throws Exception {
        await("a dispatch that waits", () -> {
            try (Socket client = program.connect()) {
                for (int i = 0; i < 20; i++) {
                    client.getOutputStream().write(Http.message(session(String.format("%016x", ++ids), "view"),
                        new byte[0]));
                    assertEquals(200, Http.read(client.getInputStream()).status());
                }
            }
            return program.counter("connections_waited_for") > 0;
        });
    }

    @Test
    public void aWaitOpensASpareThatLaterSessionsUse() throws Exception {
        sessionsUntilOneWaits();
        await("a spare", () -> server.connections.size() >= 2);
        assertEquals(0, program.counter("spares_failed"));
        // Nothing was sent twice: a request for each session.
        assertEquals(ids, server.requests.stream().filter(r -> r.firstLine().contains("/api")).count());
    }

    /**
     * Guards against a server that takes one connection only: the end of a spare must not count as that of a kept
     * connection (after which none is kept for 20 s), and no spare follows another into the same refusal.
     */
    @Test
    public void aServerThatRefusesSparesIsServedOverWhatItTakes() throws Exception {
        server.mostConnections = 1;
        sessionsUntilOneWaits();
        await("a failed spare", () -> program.counter("spares_failed") == 1);
        for (int i = 0; i < 30; i++) {
            assertEquals(200, program.send(session(String.format("%016x", ++ids), "order")).status());
        }
        assertEquals(1, program.counter("spares_opened"));
        assertEquals(0, program.counter("connections_ended_early"));
        assertEquals(ids, server.requests.stream().filter(r -> r.firstLine().contains("/api")).count());
        assertTrue(server.connections.size() == 2);
    }
}
