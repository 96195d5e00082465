package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Guards against long responses that are cut off because their server hangs for a while and then goes on. */
public class HangingResponseTest extends SingleServerFixture {
    private static final int RESPONSE_BYTES = 200_000;
    private static final int FIRST_PART_BYTES = 70_000;
    private static final int CLIENTS = 8;
    /** Longer than a client may leave a response unread, and than these servers' clients would wait for its begin. */
    private static final long HANG_MS = 17_000;
    /** Within this time a stalled response is reported. */
    private static final long REPORT_MS = 6_000;

    private final CountDownLatch goOn = new CountDownLatch(1);
    private ServerSocket hanging;

    @Override
    BalancerProcess startBalancer() throws Exception {
        hanging = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ScriptedServer.start(() -> {
            while (true) {
                Socket socket = hanging.accept();
                ScriptedServer.start(() -> respond(socket));
            }
        });
        return BalancerProcess.withBackends(discovery, "127.0.0.1:" + hanging.getLocalPort());
    }

    @After
    public void closeServer() throws Exception {
        goOn.countDown();
        hanging.close();
    }

    private static byte[] body() {
        byte[] body = new byte[RESPONSE_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 7 + (i >> 8));
        }
        return body;
    }

    /** Sends the first part of a response, hangs until it may go on, and sends the rest. */
    private void respond(Socket socket) throws Exception {
        try (socket) {
            while (HttpMessage.read(socket.getInputStream()) != null) {
                OutputStream output = socket.getOutputStream();
                output.write(("HTTP/1.1 200 OK\r\nContent-Length: " + RESPONSE_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                output.write(body(), 0, FIRST_PART_BYTES);
                goOn.await();
                output.write(body(), FIRST_PART_BYTES, RESPONSE_BYTES - FIRST_PART_BYTES);
            }
        }
    }

    private Socket request() throws Exception {
        Socket client = balancer.connect();
        client.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "view"), new byte[0]));
        return client;
    }

    @Test
    public void responseGoesOnWhenItsServerDoes() throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(request());
        }
        await("all responses have begun", () -> balancer.counter("answers_in_pieces") == CLIENTS);
        Thread.sleep(HANG_MS);
        goOn.countDown();
        for (Socket client : clients) {
            assertArrayEquals(body(), HttpMessage.read(client.getInputStream()).body());
            client.close();
        }
        assertEquals(CLIENTS, balancer.counter("answers_stalled"));
        assertTrue(balancer.log(), balancer.log().contains("INFO response-stalled id="));
    }

    /** What bounds a response that never ends is its client: both connections end with it. */
    @Test
    public void responseThatNeverEndsEndsWithItsClient() throws Exception {
        Socket client = request();
        await("the response has begun", () -> balancer.counter("answers_in_pieces") == 1);
        Thread.sleep(REPORT_MS);
        assertEquals(0, balancer.counter("dispatches_cancelled"));
        long startNanos = System.nanoTime();
        client.close();
        await("the dispatch is cancelled", () -> balancer.counter("dispatches_cancelled") == 1);
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(1));
    }
}
