package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Backend servers that send malformed, truncated or excess responses, or close connections early. */
public class BadServerTest extends SingleServerFixture {
    private static final String VALID_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na map";

    private HttpMessage order(String response) throws Exception {
        server.script = r -> response.getBytes(StandardCharsets.ISO_8859_1);
        return balancer.send(session(newSessionId(), "order"), new byte[1]);
    }

    /**
     * After a malformed response the request may have run and is not repeated; none of the response is forwarded, and
     * the connection is not reused.
     */
    @Test
    public void malformedResponsesAreFailures() throws Exception {
        List<String> malformed = List.of(
                "noise\r\n\r\n",
                "ICY 200 OK\r\n\r\n",
                VALID_RESPONSE.replace("200 OK", "2x0"),
                VALID_RESPONSE.replace("OK\r\n", "OK\r\nno colon\r\n"),
                VALID_RESPONSE.replace(": 5", ": -1"),
                VALID_RESPONSE.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"),
                VALID_RESPONSE.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"),
                VALID_RESPONSE
                        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
                        .replace("a map", "1\r\na\r\nzz\r\n"),
                VALID_RESPONSE.replace(": 5", ": 3000000000"),
                "HTTP/1.1 200 OK\r\n" + "X-Pad: p\r\n".repeat(1000),
                "HTTP/1.1 102 Processing\r\n\r\n".repeat(100));
        for (String response : malformed) {
            assertEquals(response, 502, order(response).status());
        }
        await("closed", () -> server.endedConnections.size() == malformed.size());
        assertEquals(malformed.size(), server.requests.size());
    }

    /**
     * Informational responses before a valid response and malformed load reports in it are harmless; bytes after it are
     * not taken for another response.
     */
    @Test
    public void validResponsesWithExtrasAreServed() throws Exception {
        String report = VALID_RESPONSE.replace("\r\n\r\n", "\r\nX-Pressure: inflight=NaN,qps=-1\r\n\r\n");
        for (String response : List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + VALID_RESPONSE,
                report,
                VALID_RESPONSE + VALID_RESPONSE,
                VALID_RESPONSE + "noise without an end")) {
            int ended = server.endedConnections.size();
            HttpMessage served = order(response);
            assertEquals(200, served.status());
            assertEquals("a map", new String(served.body(), StandardCharsets.US_ASCII));
            if (response.length() > VALID_RESPONSE.length() && response.startsWith(VALID_RESPONSE)) {
                await("closed", () -> server.endedConnections.size() == ended + 1);
            }
            assertEquals(
                    "next",
                    new String(
                            order(VALID_RESPONSE.replace("a map", "next").replace(": 5", ": 4"))
                                    .body(),
                            StandardCharsets.US_ASCII));
        }
        assertEquals("the balancer ended them, not the server", 0, balancer.counter("connections_ended_early"));
    }

    /**
     * A 4xx status is the client's fault: it is forwarded and not retried. A 429 that may follow an execution becomes a
     * failure, not a deny.
     */
    @Test
    public void clientErrorsAreNotRetried() throws Exception {
        assertEquals(
                400,
                order("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").status());
        assertEquals(
                502, order("HTTP/1.1 429 Enough\r\nContent-Length: 0\r\n\r\n").status());
        assertEquals(2, server.requests.size());
        assertEquals(1, balancer.counter("dispatches_rejected"));
    }

    /** A server closes each idle connection: every session is served over a new connection, and none is sent twice. */
    @Test
    public void closedIdleConnectionsAreReplaced() throws Exception {
        for (int i = 0; i < 5; i++) {
            int count = i + 1;
            assertEquals(200, order(VALID_RESPONSE).status());
            server.connections.get(i).close();
            await("the close is detected", () -> balancer.counter("connections_ended_early") == count);
            assertEquals(count, server.connections.size());
        }
        assertEquals(5, server.requests.size());
    }

    /**
     * Resets or half-closes each connection on accept; a half-closed one is read to its end, which shows all requests
     * that were sent.
     */
    private static final class ImmediatelyClosingServer implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
        final AtomicInteger accepted = new AtomicInteger();
        final AtomicInteger finished = new AtomicInteger();

        ImmediatelyClosingServer(boolean resets) throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        accepted.incrementAndGet();
                        end(socket, resets);
                        finished.incrementAndGet();
                    }
                } catch (IOException e) {
                    // The test is finished.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void end(Socket socket, boolean resets) {
            try (socket) {
                if (resets) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                socket.setSoTimeout(30_000);
                socket.shutdownOutput();
                for (HttpMessage request = HttpMessage.read(socket.getInputStream());
                        request != null;
                        request = HttpMessage.read(socket.getInputStream())) {
                    requests.add(request);
                }
            } catch (IOException e) {
                // The balancer reset the connection; everything sent before has been read.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /**
     * Checks sessions at a server that closes each connection on accept. If the balancer detects the close before it
     * sends the request, the server has run nothing and the session is denied; otherwise the request may have run and
     * the session fails. Which of the two happens depends on timing; ImmediateCloseTest covers both orders
     * deterministically.
     */
    private void checkClosedOnAccept(boolean resets) throws Exception {
        balancer.stop();
        try (ImmediatelyClosingServer closing = new ImmediatelyClosingServer(resets)) {
            balancer = BalancerProcess.withBackends(discovery, "127.0.0.1:" + closing.listener.getLocalPort());
            List<Integer> statuses = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                long reset = balancer.counter("dispatches_reset");
                long refused = balancer.counter("dispatches_connect_failed");
                long sent = balancer.counter("dispatches_sent");
                int status = balancer.send(session(String.format("%016x", i), "order"), new byte[1])
                        .status();
                reset = balancer.counter("dispatches_reset") - reset;
                refused = balancer.counter("dispatches_connect_failed") - refused;
                assertTrue("session " + i + " was sent " + reset + " times", reset <= 1);
                assertEquals("session " + i, reset == 1 ? 502 : 503, status);
                assertEquals(
                        "each dispatch is accounted for", balancer.counter("dispatches_sent") - sent, reset + refused);
                statuses.add(status);
            }
            assertTrue("some were dispatched", closing.accepted.get() > 0);
            if (!resets) {
                await("all connections are read to the end", () -> closing.accepted.get() == closing.finished.get());
                for (int i = 0; i < statuses.size(); i++) {
                    String sessionId = String.format("%016x", i);
                    assertEquals(
                            "session " + i,
                            statuses.get(i) == 502 ? 1 : 0,
                            closing.requests.stream()
                                    .filter(r -> sessionId.equals(r.header("X-Txn")))
                                    .count());
                }
            }
        }
    }

    @Test
    public void resetOnAcceptIsDeniedUnlessRequestMayHaveRun() throws Exception {
        checkClosedOnAccept(true);
    }

    @Test
    public void closeOnAcceptIsDeniedUnlessRequestMayHaveRun() throws Exception {
        checkClosedOnAccept(false);
    }

    /** The connections of a removed instance are closed; another instance at its address gets new connections. */
    @Test
    public void connectionsOfRemovedServerAreClosed() throws Exception {
        assertEquals(200, order(VALID_RESPONSE).status());
        discovery.script = r -> {
            if (r.firstLine().contains("since=2")) {
                release.await();
            }
            return HttpMessage.response(
                    200,
                    "",
                    discoveryList(2, "Gone", server)
                            .replace(
                                    "]}",
                                    ","
                                            + discoveryList(1, "Ready", server)
                                                    .replaceAll(".*\\[|\\].*", "")
                                                    .replace("\"s127", "\"new127")
                                            + "]}"));
        };
        for (Socket socket : discovery.connections) {
            socket.close();
        }
        await("the list is applied", () -> balancer.log().contains("generation=2"));
        await("its connection is closed", () -> server.endedConnections.size() == 1);
        assertEquals(200, order(VALID_RESPONSE).status());
        assertEquals(2, server.connections.size());
    }

    /** A response that is truncated after any byte is never taken for a complete one. */
    @Test
    public void truncatedResponseIsAFailure() throws Exception {
        server.closesAfterResponse = true;
        for (int bytes = 1; bytes < VALID_RESPONSE.length(); bytes++) {
            assertEquals(
                    "truncated after byte " + bytes,
                    502,
                    order(VALID_RESPONSE.substring(0, bytes)).status());
        }
        assertEquals(200, order(VALID_RESPONSE).status());
        // A chunk size may have leading zeros; one that is truncated after them must not be taken for the last
        // chunk.
        String chunked = VALID_RESPONSE
                .replace("Content-Length: 5", "Transfer-Encoding: chunked")
                .replace("a map", "02\r\na \r\n003;x=y\r\nmap\r\n0\r\nX-T: y\r\n\r\n");
        for (int bytes = chunked.indexOf("02"); bytes < chunked.length(); bytes++) {
            assertEquals(
                    "truncated after byte " + bytes,
                    502,
                    order(chunked.substring(0, bytes)).status());
        }
        assertEquals("a map", new String(order(chunked).body(), StandardCharsets.US_ASCII));
    }
}
