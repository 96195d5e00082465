package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Clients that disconnect before the response, and connections that end while bytes are in transit. */
public class ClientEndTest extends SingleServerFixture {
    private static final String VIEW = session(SESSION_ID, "view") + "\r\n";

    /** The server responds only after {@link #release}, so a session that ends earlier ends for another reason. */
    private void holdResponses() {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "a map");
        };
    }

    private static String numberedView(int number) {
        return VIEW.replace(SESSION_ID, String.format("%016x", number + 1));
    }

    /**
     * Bytes after a request do not hide that its client disconnects: the disconnect is detected before the response,
     * and the dispatch is cancelled.
     */
    @Test
    public void disconnectIsDetectedAfterExcessBytes() throws Exception {
        holdResponses();
        List<String> excessBytes =
                List.of("", "\r\n", "x", numberedView(100), numberedView(101).repeat(300));
        int gone = 0;
        for (boolean reset : List.of(false, true)) {
            for (String bytes : excessBytes) {
                Socket socket = balancer.connect();
                socket.getOutputStream().write(numberedView(gone).getBytes(StandardCharsets.US_ASCII));
                int sent = gone + 1;
                await("dispatched", () -> server.requests.size() == sent);
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
                if (reset) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    // The end arrives together with the bytes. A client that only half-closes counts as disconnected
                    // too.
                    socket.shutdownOutput();
                }
                await(
                        "disconnect detected after " + bytes.length() + " bytes, reset " + reset,
                        () -> balancer.counter("sessions_client_gone") == sent
                                && balancer.counter("dispatches_cancelled") == sent);
                socket.close();
                gone++;
            }
        }
        assertEquals(gone, server.requests.size());
    }

    /** A disconnect is detected during a drain and does not delay it. */
    @Test
    public void disconnectDuringDrain() throws Exception {
        holdResponses();
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write((VIEW + "x").getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            balancer.process.destroy();
            await("draining", () -> balancer.log().contains("draining unanswered=1"));
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_client_gone 1"));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 0"));
    }

    /** The balancer closes the connection of a client that keeps sending after its request. */
    @Test
    public void floodAfterRequestIsClosed() throws Exception {
        holdResponses();
        try (Socket socket = balancer.connect()) {
            OutputStream output = socket.getOutputStream();
            output.write(VIEW.getBytes(StandardCharsets.US_ASCII));
            await("the connection is closed", () -> {
                try {
                    output.write(new byte[10_000]);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
        await("the disconnect is counted", () -> balancer.counter("sessions_client_gone") == 1);
        assertEquals(1, balancer.counter("clients_closed_flooding"));
    }

    /**
     * Unread bytes must not cause a reset that destroys the response: the response arrives, and the connection is
     * closed after it.
     */
    @Test
    public void responseArrivesDespiteUnreadBytes() throws Exception {
        holdResponses();
        try (Socket socket = balancer.connect();
                Socket tooLong = balancer.connect()) {
            socket.getOutputStream().write((VIEW + numberedView(7).repeat(500)).getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            release.countDown();
            await("answered", () -> balancer.counter("sessions_served") == 1);
            socket.getOutputStream().write(numberedView(8).getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            assertEquals("closed without a reset", -1, socket.getInputStream().read());
            // Rejected by its head, while the client sends its body.
            tooLong.getOutputStream()
                    .write((session(SESSION_ID, "scan") + "Content-Length: 60000000\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            tooLong.getOutputStream().write(new byte[300_000]);
            assertEquals(413, HttpMessage.read(tooLong.getInputStream()).status());
            assertEquals("closed without a reset", -1, tooLong.getInputStream().read());
        }
        assertEquals("no excess bytes are forwarded", 1, server.requests.size());
    }
}
