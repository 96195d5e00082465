package calicochute.process;

import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** Guards against long responses that are cut off while their server still sends them, however slowly. */
public class SlowResponseTest extends SingleServerFixture {
    private static final int RESPONSE_BYTES = 70_000;
    private static final int TRICKLED_BYTES = 90;
    private static final int TRICKLE_INTERVAL_MS = 100;

    @Test
    public void responseThatItsServerStillSendsIsNotCutOff() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            balancer.stop();
            balancer = BalancerProcess.withBackends(discovery, "127.0.0.1:" + listener.getLocalPort());
            CompletableFuture.runAsync(() -> trickle(listener));
            HttpMessage response = balancer.send(session(SESSION_ID, "view"));
            assertEquals(200, response.status());
            assertEquals(RESPONSE_BYTES, response.body().length);
            assertEquals(0, balancer.counter("answers_stalled"));
        }
    }

    /** Sends most of a response at once and then less than a kilobyte a second. */
    private static void trickle(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            HttpMessage.read(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            output.write(("HTTP/1.1 200 OK\r\nContent-Length: " + RESPONSE_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.write(new byte[RESPONSE_BYTES - TRICKLED_BYTES]);
            for (int i = 0; i < TRICKLED_BYTES; i++) {
                Thread.sleep(TRICKLE_INTERVAL_MS);
                output.write(1);
            }
            HttpMessage.read(socket.getInputStream());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
