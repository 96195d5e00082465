package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Bodies that are too long to be buffered and are forwarded in pieces, and messages that are split or truncated at any
 * point.
 */
public class StreamedBodiesTest extends SingleServerFixture {
    /** Length of a body that is forwarded in pieces. */
    private static final int LONG_BODY_BYTES = 3_000_000;

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withAdmin(discovery, server);
    }

    private static byte[] random(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    static byte[] chunked(String head, byte[] body, int size) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        output.writeBytes((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int start = 0; start < body.length; start += size) {
            int length = Math.min(size, body.length - start);
            output.writeBytes((Integer.toHexString(length) + ";ext=\"a b\"\r\n").getBytes(StandardCharsets.ISO_8859_1));
            output.write(body, start, length);
            output.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        output.writeBytes("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return output.toByteArray();
    }

    @Test
    public void longMessagesPassUnchanged() throws Exception {
        byte[] body = random(LONG_BODY_BYTES);
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", r.body());
        HttpMessage response = balancer.send(session(newSessionId(), "scan"), body);
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
        assertArrayEquals(body, server.requests.get(0).body());
        server.script = r -> chunked("HTTP/1.1 200 OK\r\n", r.body(), 7001);
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(chunked(session(newSessionId(), "order"), body, 5003));
            assertArrayEquals(body, HttpMessage.read(socket.getInputStream()).body());
            socket.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "order"), new byte[3]));
            assertEquals(
                    "the connection stays open",
                    3,
                    HttpMessage.read(socket.getInputStream()).body().length);
        }
        await("counted at the last byte", () -> balancer.stat("completed.order") == 2);
        assertEquals(0, balancer.stat("pending"));
        assertEquals(3, balancer.stat("upstream_requests"));
    }

    /**
     * A request sent byte by byte, with an empty line ahead, chunk extensions and a trailer, is parsed like one sent at
     * once.
     */
    @Test
    public void requestSentByteByByteIsForwarded() throws Exception {
        byte[] body = random(40);
        try (Socket socket = balancer.connect()) {
            socket.setTcpNoDelay(true);
            for (byte b : ("\r\n"
                            + new String(
                                    chunked(session(newSessionId(), "order"), body, 9), StandardCharsets.ISO_8859_1))
                    .getBytes(StandardCharsets.ISO_8859_1)) {
                socket.getOutputStream().write(b);
                socket.getOutputStream().flush();
            }
            assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
        }
        assertArrayEquals(body, server.requests.get(0).body());
    }

    /**
     * A response without a length is complete when its connection is closed, but not when it is reset, whatever its
     * length.
     */
    @Test
    public void resetDoesNotCompleteResponseWithoutLength() throws Exception {
        BlockingQueue<Socket> requested = new LinkedBlockingQueue<>();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            // The balancer may open several connections and use any of them.
            CompletableFuture.runAsync(() -> acceptAll(listener, requested), task -> new Thread(task).start());
            balancer.stop();
            balancer = BalancerProcess.withAdminAndBackend(discovery, "127.0.0.1:" + listener.getLocalPort());
            for (int bytes : new int[] {1000, 100_000}) {
                for (boolean reset : new boolean[] {false, true}) {
                    checkWithoutLength(requested, bytes, reset, false);
                    checkWithoutLength(requested, bytes, reset, true);
                }
            }
        }
    }

    private static void acceptAll(ServerSocket listener, BlockingQueue<Socket> requested) {
        try {
            while (true) {
                Socket socket = listener.accept();
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                if (HttpMessage.read(socket.getInputStream()) != null) {
                                    requested.add(socket);
                                }
                            } catch (IOException e) {
                                // The balancer closed the connection.
                            }
                        },
                        task -> new Thread(task).start());
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void checkWithoutLength(BlockingQueue<Socket> requested, int bytes, boolean reset, boolean atOnce)
            throws Exception {
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "order"), new byte[1]));
            Socket socket = requested.poll(30, TimeUnit.SECONDS);
            byte[] response =
                    Arrays.copyOf("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1), 19 + bytes);
            socket.getOutputStream().write(response, 0, response.length - 1);
            boolean forwarding = !atOnce && bytes > 50_000;
            if (forwarding) {
                assertEquals(200, readHead(client.getInputStream()));
            }
            socket.getOutputStream().write(response, response.length - 1, 1);
            socket.setSoLinger(reset, 0);
            socket.close();
            String what = bytes + " bytes, reset " + reset + ", at once " + atOnce;
            if (forwarding) {
                String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertEquals(what, !reset, rest.endsWith("\r\n0\r\n\r\n"));
            } else {
                assertEquals(what, !reset, isComplete(client.getInputStream(), bytes));
            }
        }
        await("nothing is pending", () -> balancer.stat("pending") == 0);
    }

    private static int readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) input.read());
        }
        return new HttpMessage(head.toString(), null).status();
    }

    private static boolean isComplete(InputStream input, int bytes) {
        try {
            HttpMessage response = HttpMessage.read(input);
            return response != null && response.status() == 200 && response.body().length == bytes;
        } catch (IOException e) {
            return false;
        }
    }

    /** The first bytes of a long response reach the client before the server has sent the last. */
    @Test
    public void longResponseIsForwardedWhileReceived() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket client = restartWithServer(listener);
            try (client;
                    Socket socket = listener.accept()) {
                HttpMessage.read(socket.getInputStream());
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(new byte[1000]);
                InputStream input = client.getInputStream();
                byte[] first = input.readNBytes(1000);
                assertEquals(1000, first.length);
                assertEquals("pending until the last byte", 1, balancer.stat("pending"));
                // A truncated response is forwarded as far as it was received, and the client can tell that it is
                // incomplete.
                socket.getOutputStream().write(new byte[5000]);
                socket.getOutputStream().flush();
                socket.shutdownOutput();
                int rest = input.readAllBytes().length;
                assertTrue("rest " + rest, rest > 4500 && rest < LONG_BODY_BYTES - 1000);
            }
        }
        await("the session has failed", () -> balancer.stat("failed.view") == 1);
        assertEquals(0, balancer.stat("pending"));
    }

    /**
     * A server that hangs in the middle of a long response: on SIGTERM the balancer truncates the response so that the
     * client can tell, and exits before SIGKILL.
     */
    @Test
    public void stopTruncatesHangingResponse() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket client = restartWithServer(listener);
            try (client;
                    Socket socket = listener.accept()) {
                HttpMessage.read(socket.getInputStream());
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(new byte[1000]);
                assertEquals(1000, client.getInputStream().readNBytes(1000).length);
                balancer.process.destroy();
                assertTrue(client.getInputStream().readAllBytes().length < LONG_BODY_BYTES);
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(
                balancer.log(),
                balancer.log().contains("sessions_ended_by_stop 1")
                        && balancer.log().contains("answers_stalled 0"));
        assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
    }

    /**
     * A client that reads its long response slowly or not at all: on SIGTERM the balancer truncates the response too,
     * and exits by itself.
     */
    @Test
    public void stopTruncatesUnreadResponse() throws Exception {
        // Many times the size of the socket buffers.
        byte[] body = random(30_000_000);
        server.script = r -> r.firstLine().contains("untold")
                ? ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n"
                                + new String(body, StandardCharsets.ISO_8859_1) + "\r\n0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1)
                : HttpMessage.encode("HTTP/1.1 200 OK\r\n", body);
        try (Socket slow = balancer.connect();
                Socket unread = balancer.connect()) {
            slow.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "view"), new byte[0]));
            unread.getOutputStream()
                    .write(HttpMessage.encode(
                            session(SESSION_ID.replace('9', '7'), "view").replace("/api", "/untold"), new byte[0]));
            await("both responses are being forwarded", () -> balancer.counter("answers_in_pieces") == 2);
            balancer.process.destroy();
            await("draining", () -> balancer.log().contains("draining"));
            // Reads single bytes until the process exits.
            while (!balancer.process.waitFor(20, TimeUnit.MILLISECONDS)) {
                assertTrue(slow.getInputStream().read() >= 0);
            }
            assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
            assertTrue(
                    balancer.log(),
                    balancer.log().contains("sessions_ended_by_stop 2")
                            && balancer.log().contains("sessions_failed 2"));
            assertEquals(0, balancer.process.exitValue());
            assertTrue(
                    "truncated so that the client can tell",
                    slow.getInputStream().readAllBytes().length < body.length);
            String got = new String(unread.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(
                    "truncated so that the client can tell",
                    got.length() < body.length && !got.endsWith("\r\n0\r\n\r\n"));
        }
    }

    /** Restarts the balancer with {@code listener} as its only backend server, and sends a session. */
    private Socket restartWithServer(ServerSocket listener) throws Exception {
        balancer.stop();
        balancer = BalancerProcess.withAdminAndBackend(discovery, "127.0.0.1:" + listener.getLocalPort());
        Socket client = balancer.connect();
        client.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "view"), new byte[0]));
        return client;
    }

    /**
     * A client that disconnects in the middle of its body: the server never gets the last byte, so the request has not
     * run.
     */
    @Test
    public void truncatedUploadIsNotCompleted() throws Exception {
        openServerConnection();
        awaitCancelledUpload(id -> {
            try (Socket socket = balancer.connect()) {
                socket.getOutputStream()
                        .write((session(id, "order") + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(new byte[LONG_BODY_BYTES - 1]);
            }
        });
        await("nothing is pending", () -> balancer.stat("pending") == 0);
        assertEquals(1, server.requests.size());
        assertEquals(1, balancer.stat("upstream_requests"));
    }

    /**
     * A server that resets the connection before the last byte of the request has not run it, but the forwarded part
     * cannot be sent again: the session is denied, and the client can read the response while it still writes.
     */
    @Test
    public void resetDuringUploadIsADeny() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket first = restartWithServer(listener);
            try (first;
                    Socket socket = listener.accept();
                    Socket client = balancer.connect()) {
                HttpMessage.read(socket.getInputStream());
                client.getOutputStream()
                        .write((session(SESSION_ID.replace('9', '7'), "order") + "Content-Length: " + LONG_BODY_BYTES
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                client.getOutputStream().write(new byte[200_000]);
                Socket upload = listener.accept();
                assertTrue(upload.getInputStream().readNBytes(100_000).length == 100_000);
                upload.setSoLinger(true, 0);
                upload.close();
                await("denied", () -> balancer.stat("rejected.order") == 1);
                client.getOutputStream().write(new byte[LONG_BODY_BYTES - 200_000]);
                HttpMessage response = HttpMessage.read(client.getInputStream());
                assertEquals(503, response.status());
                assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
            }
        }
    }

    /**
     * Unread long responses, together many times the heap: the balancer stops reading from the servers, and each
     * response arrives complete once it is read.
     */
    @Test
    public void memoryIsBounded() throws Exception {
        balancer.stop();
        balancer = BalancerProcess.withMaxHeap("40m", discovery, server);
        byte[] body = random(16_000_000);
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", body);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Socket client = balancer.connect();
            client.getOutputStream().write(HttpMessage.encode(session(String.format("%016x", i), "view"), new byte[0]));
            clients.add(client);
        }
        await("all responses are being forwarded", () -> balancer.counter("answers_in_pieces") == clients.size());
        List<CompletableFuture<Boolean>> results = new ArrayList<>();
        for (Socket client : clients) {
            results.add(CompletableFuture.supplyAsync(() -> {
                try (client) {
                    return Arrays.equals(
                            body, HttpMessage.read(client.getInputStream()).body());
                } catch (IOException e) {
                    return false;
                }
            }));
        }
        for (CompletableFuture<Boolean> result : results) {
            assertTrue(result.get(60, TimeUnit.SECONDS));
        }
        assertTrue(balancer.log(), !balancer.log().contains("OutOfMemory"));
    }

    /** A client that stalls in the middle of its body is closed, and its dispatch is cancelled. */
    @Test
    public void stalledUploadIsClosed() throws Exception {
        try (Socket socket = balancer.connect()) {
            OutputStream output = socket.getOutputStream();
            output.write((session(newSessionId(), "order") + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            output.write(new byte[200_000]);
            assertTrue(BalancerProcess.awaitEnd(socket));
        }
        await("the dispatch is cancelled", () -> balancer.counter("dispatches_cancelled") == 1);
        assertEquals(0, server.requests.size());
        assertEquals(1, balancer.counter("clients_closed_slow"));
    }
}
