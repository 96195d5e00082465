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

/** Messages longer than what is kept whole, and messages cut at any point. */
public class StreamedBodiesTest extends SingleServerFixture {
    private static final int LONG = 3_000_000;

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withAdmin(discovery, server);
    }

    private static byte[] random(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static byte[] chunked(String head, byte[] body, int size) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (int at = 0; at < body.length; at += size) {
            int length = Math.min(size, body.length - at);
            out.writeBytes((Integer.toHexString(length) + ";ext=\"a b\"\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, length);
            out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.writeBytes("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    @Test
    public void longMessagesPassUnchanged() throws Exception {
        byte[] body = random(LONG);
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", r.body());
        HttpMessage answer = balancer.send(session(ID, "scan"), body);
        assertEquals(200, answer.status());
        assertArrayEquals(body, answer.body());
        assertArrayEquals(body, server.requests.get(0).body());
        server.script = r -> chunked("HTTP/1.1 200 OK\r\n", r.body(), 7001);
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(chunked(session(ID, "order"), body, 5003));
            assertArrayEquals(body, HttpMessage.read(socket.getInputStream()).body());
            socket.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[3]));
            assertEquals(
                    "the connection goes on",
                    3,
                    HttpMessage.read(socket.getInputStream()).body().length);
        }
        await("counted at the last byte", () -> balancer.stat("completed.order") == 2);
        assertEquals(0, balancer.stat("pending"));
        assertEquals(3, balancer.stat("upstream_requests"));
    }

    /** Cut at every byte, with chunks, extensions, a trailer and empty lines ahead: the same session. */
    @Test
    public void aRequestCutAtEveryByteIsTheSame() throws Exception {
        byte[] body = random(40);
        try (Socket socket = balancer.connect()) {
            socket.setTcpNoDelay(true);
            for (byte b : ("\r\n" + new String(chunked(session(ID, "order"), body, 9), StandardCharsets.ISO_8859_1))
                    .getBytes(StandardCharsets.ISO_8859_1)) {
                socket.getOutputStream().write(b);
                socket.getOutputStream().flush();
            }
            assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
        }
        assertArrayEquals(body, server.requests.get(0).body());
    }

    /**
     * An answer without a length ends with the connection's end, and not with its reset, however much has come before
     * that.
     */
    @Test
    public void aResetIsNoEndOfAnAnswerWithoutALength() throws Exception {
        BlockingQueue<Socket> called = new LinkedBlockingQueue<>();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            // Which of its connections the balancer calls on is its own affair.
            CompletableFuture.runAsync(() -> acceptAll(listener, called), task -> new Thread(task).start());
            balancer.stop();
            balancer = BalancerProcess.withAdminAndBackend(discovery, "127.0.0.1:" + listener.getLocalPort());
            for (int bytes : new int[] {1000, 100_000}) {
                for (boolean reset : new boolean[] {false, true}) {
                    checkUntoldLength(called, bytes, reset, false);
                    checkUntoldLength(called, bytes, reset, true);
                }
            }
        }
    }

    private static void acceptAll(ServerSocket listener, BlockingQueue<Socket> called) {
        try {
            while (true) {
                Socket socket = listener.accept();
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                if (HttpMessage.read(socket.getInputStream()) != null) {
                                    called.add(socket);
                                }
                            } catch (IOException e) {
                                // The balancer ended it.
                            }
                        },
                        task -> new Thread(task).start());
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void checkUntoldLength(BlockingQueue<Socket> called, int bytes, boolean reset, boolean together)
            throws Exception {
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
            Socket socket = called.poll(30, TimeUnit.SECONDS);
            byte[] answer = Arrays.copyOf("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1), 19 + bytes);
            socket.getOutputStream().write(answer, 0, answer.length - 1);
            boolean begun = !together && bytes > 50_000;
            if (begun) {
                assertEquals(200, head(client.getInputStream()));
            }
            socket.getOutputStream().write(answer, answer.length - 1, 1);
            socket.setSoLinger(reset, 0);
            socket.close();
            String what = bytes + " bytes, reset " + reset + ", together " + together;
            if (begun) {
                String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertEquals(what, !reset, rest.endsWith("\r\n0\r\n\r\n"));
            } else {
                assertEquals(what, !reset, wholeFrom(client.getInputStream(), bytes));
            }
        }
        await("over", () -> balancer.stat("pending") == 0);
    }

    private static int head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) in.read());
        }
        return new HttpMessage(head.toString(), null).status();
    }

    private static boolean wholeFrom(InputStream in, int bytes) {
        try {
            HttpMessage answer = HttpMessage.read(in);
            return answer != null && answer.status() == 200 && answer.body().length == bytes;
        } catch (IOException e) {
            return false;
        }
    }

    /** A long answer's first bytes are with the client before the server has given the last. */
    @Test
    public void theFirstPiecesAreNotHeldBack() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket client = restartBefore(listener);
            try (client;
                    Socket socket = listener.accept()) {
                HttpMessage.read(socket.getInputStream());
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(new byte[1000]);
                InputStream in = client.getInputStream();
                byte[] first = in.readNBytes(1000);
                assertEquals(1000, first.length);
                assertEquals("not ended before its last byte", 1, balancer.stat("pending"));
                // What there is is passed on, and the end can be seen to be none.
                socket.getOutputStream().write(new byte[5000]);
                socket.getOutputStream().flush();
                socket.shutdownOutput();
                int rest = in.readAllBytes().length;
                assertTrue("rest " + rest, rest > 4500 && rest < LONG - 1000);
            }
        }
        await("it has failed", () -> balancer.stat("failed.view") == 1);
        assertEquals(0, balancer.stat("pending"));
    }

    /**
     * A server that hangs in the midst of a long answer: a planned stop cuts it, where the client can tell, and leaves
     * it to no kill.
     */
    @Test
    public void aStopEndsAnAnswerThatHangs() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket client = restartBefore(listener);
            try (client;
                    Socket socket = listener.accept()) {
                HttpMessage.read(socket.getInputStream());
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(new byte[1000]);
                assertEquals(1000, client.getInputStream().readNBytes(1000).length);
                balancer.process.destroy();
                assertTrue(client.getInputStream().readAllBytes().length < LONG);
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(
                balancer.log(),
                balancer.log().contains("sessions_ended_by_stop 1")
                        && balancer.log().contains("answers_cut 0"));
        assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
    }

    /**
     * A client that reads its long answer slowly, or not at all: a planned stop cuts it as well, and ends by itself.
     */
    @Test
    public void aStopEndsAnAnswerThatIsNotTaken() throws Exception {
        // Many times what the systems' buffers take.
        byte[] body = random(30_000_000);
        server.script = r -> r.firstLine().contains("untold")
                ? ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n"
                                + new String(body, StandardCharsets.ISO_8859_1) + "\r\n0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1)
                : HttpMessage.encode("HTTP/1.1 200 OK\r\n", body);
        try (Socket slow = balancer.connect();
                Socket untold = balancer.connect()) {
            slow.getOutputStream().write(HttpMessage.encode(session(ID, "view"), new byte[0]));
            untold.getOutputStream()
                    .write(HttpMessage.encode(
                            session(ID.replace('9', '7'), "view").replace("/api", "/untold"), new byte[0]));
            await("both have begun", () -> balancer.counter("answers_in_pieces") == 2);
            balancer.process.destroy();
            await("drains", () -> balancer.log().contains("draining"));
            // Slowly: a byte now and then, until there is an end to the process.
            while (!balancer.process.waitFor(20, TimeUnit.MILLISECONDS)) {
                assertTrue(slow.getInputStream().read() >= 0);
            }
            assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
            assertTrue(
                    balancer.log(),
                    balancer.log().contains("sessions_ended_by_stop 2")
                            && balancer.log().contains("sessions_failed 2"));
            assertEquals(0, balancer.process.exitValue());
            assertTrue("cut where the client can tell", slow.getInputStream().readAllBytes().length < body.length);
            String got = new String(untold.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue("cut where the client can tell", got.length() < body.length && !got.endsWith("\r\n0\r\n\r\n"));
        }
    }

    /** A balancer whose one server listens there; a session of it is on its way when this returns. */
    private Socket restartBefore(ServerSocket listener) throws Exception {
        balancer.stop();
        balancer = BalancerProcess.withAdminAndBackend(discovery, "127.0.0.1:" + listener.getLocalPort());
        Socket client = balancer.connect();
        client.getOutputStream().write(HttpMessage.encode(session(ID, "view"), new byte[0]));
        return client;
    }

    /** A client that goes away in the middle of its body has run nothing: the server never gets the last byte. */
    @Test
    public void aClientThatGoesAwayHasRunNothing() throws Exception {
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream()
                    .write((session(ID, "order") + "Content-Length: " + LONG + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(new byte[LONG - 1]);
        }
        await("the dispatch has ended", () -> balancer.counter("dispatches_cancelled") == 1);
        await("nothing is pending", () -> balancer.stat("pending") == 0);
        assertEquals(0, server.requests.size());
        assertEquals(0, balancer.stat("upstream_requests"));
    }

    /**
     * A server that breaks off before the last byte has run nothing, but what it was given is gone: a deny, and the
     * client gets to read it though it still writes.
     */
    @Test
    public void aBrokenUploadIsADeny() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Socket first = restartBefore(listener);
            try (first;
                    Socket socket = listener.accept();
                    Socket client = balancer.connect()) {
                HttpMessage.read(socket.getInputStream());
                client.getOutputStream()
                        .write((session(ID.replace('9', '7'), "order") + "Content-Length: " + LONG + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                client.getOutputStream().write(new byte[200_000]);
                Socket upload = listener.accept();
                assertTrue(upload.getInputStream().readNBytes(100_000).length == 100_000);
                upload.setSoLinger(true, 0);
                upload.close();
                await("denied at once", () -> balancer.stat("rejected.order") == 1);
                client.getOutputStream().write(new byte[LONG - 200_000]);
                HttpMessage answer = HttpMessage.read(client.getInputStream());
                assertEquals(503, answer.status());
                assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
            }
        }
    }

    /** Long answers that nobody reads, many times the heap together: they wait at their servers, and all come whole. */
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
        await("all have begun", () -> balancer.counter("answers_in_pieces") == clients.size());
        List<CompletableFuture<Boolean>> whole = new ArrayList<>();
        for (Socket client : clients) {
            whole.add(CompletableFuture.supplyAsync(() -> {
                try (client) {
                    return Arrays.equals(
                            body, HttpMessage.read(client.getInputStream()).body());
                } catch (IOException e) {
                    return false;
                }
            }));
        }
        for (CompletableFuture<Boolean> one : whole) {
            assertTrue(one.get(60, TimeUnit.SECONDS));
        }
        assertTrue(balancer.log(), !balancer.log().contains("OutOfMemory"));
    }

    /** A client that stops in the middle of its body is not waited for, and what it had begun is taken back. */
    @Test
    public void aBodyThatStandsStillIsEnded() throws Exception {
        try (Socket socket = balancer.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write((session(ID, "order") + "Content-Length: " + LONG + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(new byte[200_000]);
            assertTrue(BalancerProcess.awaitEnd(socket));
        }
        await("the dispatch has ended", () -> balancer.counter("dispatches_cancelled") == 1);
        assertEquals(0, server.requests.size());
        assertEquals(1, balancer.counter("clients_closed_slow"));
    }
}
