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

/** The balancer as backend servers meet it whose answers are spoilt, or bring more than belongs to them. */
public class BadServerTest extends SingleServerFixture {
    private static final String GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na map";

    private HttpMessage order(String answer) throws Exception {
        server.script = r -> answer.getBytes(StandardCharsets.ISO_8859_1);
        return balancer.send(session(ID, "order"), new byte[1]);
    }

    /** It may have run and is not repeated; nothing of the answer is served, and its connection is not used again. */
    @Test
    public void spoiltAnswersAreFailures() throws Exception {
        List<String> spoilt = List.of(
                "noise\r\n\r\n",
                "ICY 200 OK\r\n\r\n",
                GOOD.replace("200 OK", "2x0"),
                GOOD.replace("OK\r\n", "OK\r\nno colon\r\n"),
                GOOD.replace(": 5", ": -1"),
                GOOD.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"),
                GOOD.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n"),
                GOOD.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("a map", "1\r\na\r\nzz\r\n"),
                GOOD.replace(": 5", ": 3000000000"),
                "HTTP/1.1 200 OK\r\n" + "X-Pad: p\r\n".repeat(1000),
                "HTTP/1.1 102 Processing\r\n\r\n".repeat(100));
        for (String answer : spoilt) {
            assertEquals(answer, 502, order(answer).status());
        }
        await("closed", () -> server.endedConnections.size() == spoilt.size());
        assertEquals(spoilt.size(), server.requests.size());
    }

    /** What comes ahead of a good answer or in its report does no harm, and what comes behind is nobody's answer. */
    @Test
    public void goodAnswersStayGood() throws Exception {
        String report = GOOD.replace("\r\n\r\n", "\r\nX-Pressure: inflight=NaN,qps=-1\r\n\r\n");
        for (String answer : List.of(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + GOOD,
                report,
                GOOD + GOOD,
                GOOD + "noise without an end")) {
            int open = server.endedConnections.size();
            HttpMessage served = order(answer);
            assertEquals(200, served.status());
            assertEquals("a map", new String(served.body(), StandardCharsets.US_ASCII));
            if (answer.length() > GOOD.length() && answer.startsWith(GOOD)) {
                await("closed", () -> server.endedConnections.size() == open + 1);
            }
            assertEquals(
                    "next",
                    new String(
                            order(GOOD.replace("a map", "next").replace(": 5", ": 4"))
                                    .body(),
                            StandardCharsets.US_ASCII));
        }
        assertEquals("the balancer ended them, not the server", 0, balancer.counter("connections_ended_early"));
    }

    /** A 4xx is the client's, passed on and not repeated; but a deny may not follow what may have run. */
    @Test
    public void aRequestAtFaultIsNotTheServersFault() throws Exception {
        assertEquals(
                400,
                order("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").status());
        assertEquals(
                502, order("HTTP/1.1 429 Enough\r\nContent-Length: 0\r\n\r\n").status());
        assertEquals(2, server.requests.size());
        assertEquals(1, balancer.counter("dispatches_rejected"));
    }

    /**
     * A server ends each connection that is kept for it: every session is served, each over a connection of its own,
     * and none is sent twice.
     */
    @Test
    public void aServerThatEndsConnectionsIsServedOverNewOnes() throws Exception {
        for (int i = 0; i < 5; i++) {
            int ends = i + 1;
            assertEquals(200, order(GOOD).status());
            server.connections.get(i).close();
            await("noticed", () -> balancer.counter("connections_ended_early") == ends);
            assertEquals(ends, server.connections.size());
        }
        assertEquals(5, server.requests.size());
    }

    /**
     * Ends each connection as it comes up; one that is ended on this side only is read to its end, which shows all that
     * was sent.
     */
    private static final class Ending implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
        final AtomicInteger begun = new AtomicInteger();
        final AtomicInteger over = new AtomicInteger();

        Ending(boolean resets) throws IOException {
            Thread thread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        begun.incrementAndGet();
                        end(socket, resets);
                        over.incrementAndGet();
                    }
                } catch (IOException e) {
                    // The test is over.
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
                // The balancer ended it with a reset; what it had sent before that has been read.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /**
     * A server that ends each connection as it comes up. Where the balancer heard of it before it sent the request the
     * server has run nothing, and the session is denied; where not it may have run, and the session has failed. Which
     * of the two is the machine's choice at each; ImmediateCloseTest has both orders by hand.
     */
    private void checkEndedAtOnce(boolean resets) throws Exception {
        balancer.stop();
        try (Ending ending = new Ending(resets)) {
            balancer = BalancerProcess.withBackends(discovery, "127.0.0.1:" + ending.listener.getLocalPort());
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
            assertTrue("some were dispatched", ending.begun.get() > 0);
            if (!resets) {
                await("read to the end", () -> ending.begun.get() == ending.over.get());
                for (int i = 0; i < statuses.size(); i++) {
                    String id = String.format("%016x", i);
                    assertEquals(
                            "session " + i,
                            statuses.get(i) == 502 ? 1 : 0,
                            ending.requests.stream()
                                    .filter(r -> id.equals(r.header("X-Txn")))
                                    .count());
                }
            }
        }
    }

    @Test
    public void aConnectionResetAtOnceIsDeniedUnlessItMayHaveRun() throws Exception {
        checkEndedAtOnce(true);
    }

    @Test
    public void aConnectionClosedAtOnceIsDeniedUnlessItMayHaveRun() throws Exception {
        checkEndedAtOnce(false);
    }

    /** A server that is gone is forgotten, with its connections; another one at its address starts with new ones. */
    @Test
    public void aServerThatIsGoneIsForgotten() throws Exception {
        assertEquals(200, order(GOOD).status());
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
        await("told", () -> balancer.log().contains("generation=2"));
        await("its connection is closed", () -> server.endedConnections.size() == 1);
        assertEquals(200, order(GOOD).status());
        assertEquals(2, server.connections.size());
    }

    /** An answer that breaks off behind any of its bytes is never taken for a whole one. */
    @Test
    public void anAnswerCutShortIsNone() throws Exception {
        server.closesAfterResponse = true;
        for (int bytes = 1; bytes < GOOD.length(); bytes++) {
            assertEquals(
                    "cut behind byte " + bytes,
                    502,
                    order(GOOD.substring(0, bytes)).status());
        }
        assertEquals(200, order(GOOD).status());
        // A size may begin with zeros, and one cut behind them is not the last.
        String chunked = GOOD.replace("Content-Length: 5", "Transfer-Encoding: chunked")
                .replace("a map", "02\r\na \r\n003;x=y\r\nmap\r\n0\r\nX-T: y\r\n\r\n");
        for (int bytes = chunked.indexOf("02"); bytes < chunked.length(); bytes++) {
            assertEquals(
                    "cut behind byte " + bytes,
                    502,
                    order(chunked.substring(0, bytes)).status());
        }
        assertEquals("a map", new String(order(chunked).body(), StandardCharsets.US_ASCII));
    }
}
