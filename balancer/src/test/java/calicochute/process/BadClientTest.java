package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Test;

/** Clients that send malformed requests, too much, too slowly or nothing. */
public class BadClientTest extends SingleServerFixture {
    private static final int DESCRIPTORS = 100;
    private static final String VIEW = session(SESSION_ID, "view");
    private static final String SCAN = session(SESSION_ID, "scan");

    @Override
    BalancerProcess startBalancer() throws Exception {
        return new BalancerProcess("", 80, discovery, server);
    }

    /** Checks after each test that the next client is served and that its request is the only new one at the server. */
    @After
    public void nextClientIsServed() throws Exception {
        int before = server.requests.size();
        assertEquals(
                200,
                balancer.send(session("0" + SESSION_ID.substring(1), "view")).status());
        assertEquals(before + 1, server.requests.size());
    }

    /** Sends the text as it is and returns the status of the only response, after which the connection must end. */
    private int raw(String text) throws Exception {
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage response = HttpMessage.read(socket.getInputStream());
            assertTrue(BalancerProcess.awaitEnd(socket));
            return response.status();
        }
    }

    /** Request smuggling: a body with an ambiguous end may contain another request, and none of it may be forwarded. */
    @Test
    public void ambiguousLengthsAreRejected() throws Exception {
        String hidden = "0\r\n\r\n" + VIEW + "\r\n";
        for (String framing : List.of(
                "Content-Length: " + hidden.length() + "\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 5",
                "Content-Length: 4\r\nContent-Length: 9",
                "Content-Length: -4",
                "Content-Length: +4",
                "Content-Length: ten",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding : chunked")) {
            assertEquals(framing, 400, raw(SCAN + framing + "\r\n\r\n" + hidden));
        }
        assertEquals(0, server.requests.size());
    }

    @Test
    public void malformedHeadsAreRejected() throws Exception {
        assertEquals(400, raw(VIEW + "no colon here\r\n\r\n"));
        assertEquals(400, raw(VIEW + "X-Labels: a\u0001b\r\n\r\n"));
        assertEquals(431, raw(VIEW + "X-Pad: " + "p".repeat(9000)));
        assertEquals(431, raw(VIEW + "X-Pad: p\r\n".repeat(100)));
        assertEquals(431, raw(VIEW + ("X-Pad: " + "p".repeat(4000) + "\r\n").repeat(5)));
        assertEquals(5, balancer.counter("sessions_bad_input"));
    }

    /**
     * A request target is forwarded unchanged: no part of a path is taken for a host, and a target that is not a path
     * is rejected.
     */
    @Test
    public void targetsAreForwardedUnchanged() throws Exception {
        for (String path : List.of("//evil/api", "///a/b", "//", "/a:b//c;d", "/%zz%00?x=//y")) {
            assertEquals(
                    path, 200, balancer.send(VIEW.replace("/api?q=1", path)).status());
            assertEquals(
                    "GET " + path + " HTTP/1.1",
                    server.requests.get(server.requests.size() - 1).firstLine());
        }
        for (String target : List.of("api", "*", "a:b")) {
            assertEquals(target, 400, raw(VIEW.replace("/api?q=1", target) + "\r\n"));
        }
    }

    /**
     * Malformed chunks after a valid head: the connection is closed without a response, and the session is counted as
     * bad input.
     */
    @Test
    public void malformedChunksAreCounted() throws Exception {
        List<String> bodies = List.of(
                "-5\r\nhello\r\n",
                "ffffffffffffffff\r\n",
                "five\r\n",
                "5;" + "a".repeat(9000),
                "5\r\nhello\r\n0\r\n" + "X-T: y\r\n".repeat(200),
                "5\r\nhelloo\r\n");
        for (String body : bodies) {
            try (Socket socket = balancer.connect()) {
                socket.getOutputStream()
                        .write((SCAN + "Transfer-Encoding: chunked\r\n\r\n" + body + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                assertTrue(BalancerProcess.awaitEnd(socket));
            }
        }
        assertEquals(bodies.size(), balancer.counter("sessions_bad_input"));
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream()
                    .write((SCAN + "Transfer-Encoding: chunked\r\n\r\n5\r\nhe").getBytes(StandardCharsets.US_ASCII));
            socket.setSoLinger(true, 0);
        }
        assertEquals(0, server.requests.size());
        assertEquals(
                "a client that disconnects is not counted as bad input",
                bodies.size(),
                balancer.counter("sessions_bad_input"));
    }

    /**
     * A head that is truncated after any byte starts no session; in particular a truncated X-Remaining-Ms is not read
     * as a shorter time.
     */
    @Test
    public void truncatedHeadStartsNoSession() throws Exception {
        for (int bytes = 1; bytes <= VIEW.length(); bytes++) {
            try (Socket socket = balancer.connect()) {
                socket.getOutputStream().write(VIEW.substring(0, bytes).getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                assertTrue(BalancerProcess.awaitEnd(socket));
            }
            assertEquals("truncated after byte " + bytes, 0, balancer.counter("sessions_taken"));
        }
    }

    /** A chunked body that is truncated after any byte starts no session; the complete body is forwarded. */
    @Test
    public void truncatedBodyStartsNoSession() throws Exception {
        String chunks = "02\r\nhe\r\n003\r\nllo\r\n0\r\n\r\n";
        for (int bytes = 0; bytes <= chunks.length(); bytes++) {
            try (Socket socket = balancer.connect()) {
                assertEquals("truncated after byte " + bytes, 0, balancer.counter("sessions_taken"));
                socket.getOutputStream()
                        .write((SCAN + "Transfer-Encoding: chunked\r\n\r\n" + chunks.substring(0, bytes))
                                .getBytes(StandardCharsets.US_ASCII));
                if (bytes < chunks.length()) {
                    socket.shutdownOutput();
                    assertTrue(BalancerProcess.awaitEnd(socket));
                } else {
                    assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
                }
            }
        }
        assertEquals("hello", new String(server.requests.get(0).body(), StandardCharsets.US_ASCII));
    }

    /** A body over the limit is rejected by its Content-Length, before the client sends any of it. */
    @Test
    public void oversizedBodyIsRejectedUnread() throws Exception {
        assertEquals(413, raw(SCAN + "Content-Length: 60000000\r\n\r\n"));
    }

    /**
     * Pipelining is not supported: requests that arrive before the response are ignored, and the connection is closed
     * after it.
     */
    @Test
    public void pipelinedRequestsAreIgnored() throws Exception {
        assertEquals(400, raw((VIEW.replace("view", "none") + "\r\n").repeat(200)));
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "the first");
        };
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write((VIEW + "\r\n").repeat(3).getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            release.countDown();
            HttpMessage response = HttpMessage.read(socket.getInputStream());
            assertEquals(200, response.status());
            assertEquals("close", response.header("Connection"));
            assertTrue(BalancerProcess.awaitEnd(socket));
        }
        assertEquals(1, server.requests.size());
    }

    /**
     * Clients that send nothing, half a request or single bytes are closed; a client that waits for its response is
     * not.
     */
    @Test
    public void slowClientsAreClosed() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        try (Socket waiting = balancer.connect();
                Socket silent = balancer.connect();
                Socket half = balancer.connect();
                Socket slowHead = balancer.connect();
                Socket slowBody = balancer.connect()) {
            slowBody.getOutputStream()
                    .write((SCAN + "Content-Length: 60000\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            waiting.getOutputStream().write(HttpMessage.encode(VIEW, new byte[0]));
            half.getOutputStream().write("GET /api HTT".getBytes(StandardCharsets.US_ASCII));
            await("slow clients are closed, in the head and in the body", () -> {
                boolean allClosed = true;
                for (Socket slow : List.of(slowHead, slowBody)) {
                    try {
                        slow.getOutputStream().write('G');
                        allClosed = false;
                    } catch (IOException e) {
                        // This connection was closed.
                    }
                }
                return allClosed;
            });
            assertTrue(BalancerProcess.awaitEnd(silent));
            assertTrue(BalancerProcess.awaitEnd(half));
            assertEquals(4, balancer.counter("clients_closed_slow"));
            release.countDown();
            assertEquals(200, HttpMessage.read(waiting.getInputStream()).status());
        }
    }

    /**
     * With fewer descriptors than configured accepting fails for a time; it resumes on both addresses once descriptors
     * are free again.
     */
    @Test
    public void acceptingResumesAfterDescriptorShortage() throws Exception {
        List<Socket> silent = new ArrayList<>();
        BalancerProcess limited = BalancerProcess.withTooFewDescriptors(DESCRIPTORS, discovery, server);
        try {
            assertEquals(200, limited.callAdmin("GET health", "").status());
            // No requests in between: on a loaded machine the first connections would be closed as idle before
            // the last one is open.
            for (int i = 0; i < DESCRIPTORS; i++) {
                silent.add(limited.connect());
            }
            await("out of descriptors", () -> limited.log().contains("Too many open files"));
            for (int i = 0; i < 20; i++) {
                silent.add(new Socket(InetAddress.getLoopbackAddress(), limited.adminPort));
            }
            for (Socket socket : silent) {
                socket.close();
            }
            await(
                    "the admin address responds",
                    () -> limited.callAdmin("GET health", "").status() == 200);
            await(
                    "a session is served",
                    () -> limited.send(session("1" + SESSION_ID.substring(1), "view"))
                                    .status()
                            == 200);
            assertTrue(limited.counter("acceptor_waits") > 0);
        } finally {
            limited.stop();
        }
    }

    /** Over the connection limit, idle connections are closed, but not one that waits for its response. */
    @Test
    public void idleClientsAreClosedAtTheLimit() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        List<Socket> silent = new ArrayList<>();
        try (Socket waiting = balancer.connect()) {
            waiting.getOutputStream().write(HttpMessage.encode(VIEW, new byte[0]));
            await("dispatched", () -> server.requests.size() == 1);
            for (int i = 0; i < 60; i++) {
                silent.add(balancer.connect());
            }
            await("idle connections are closed", () -> balancer.counter("clients_closed_for_room") > 40);
            release.countDown();
            assertEquals(200, HttpMessage.read(waiting.getInputStream()).status());
        }
        for (Socket socket : silent) {
            socket.close();
        }
    }

    /**
     * While many clients connect and stay idle, a client that sends a request is served: connections are closed among
     * the idle ones, not the newest.
     */
    @Test
    public void requestIsServedAmongIdleClients() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < 20; i++) {
                idle.add(balancer.connect());
            }
            assertEquals(
                    200,
                    balancer.send(session(String.format("%016x", round), "view"))
                            .status());
        }
        assertEquals(0, balancer.counter("acceptor_waits"));
        for (Socket socket : idle) {
            socket.close();
        }
    }

    /**
     * Hundreds of idle clients at both addresses, with the descriptor limit of the configuration: backend connections,
     * admin calls and discovery still get their descriptors.
     */
    @Test
    public void idleClientsLeaveDescriptorsForOthers() throws Exception {
        List<Socket> idle = new ArrayList<>();
        BalancerProcess limited = BalancerProcess.withDescriptorLimit(160, discovery, server);
        try {
            discovery.script = r -> HttpMessage.response(200, "", BalancerProcess.discoveryList(2, "Ready", server));
            for (int i = 0; i < 600; i++) {
                idle.add(
                        i % 3 == 0
                                ? new Socket(InetAddress.getLoopbackAddress(), limited.adminPort)
                                : limited.connect());
            }
            int calls = discovery.requests.size();
            assertEquals(
                    "backend connection",
                    200,
                    limited.send(session(SESSION_ID, "view")).status());
            assertEquals(
                    "admin address", 200, limited.callAdmin("GET health", "").status());
            await("discovery is called", () -> discovery.requests.size() > calls);
            assertEquals(limited.log(), 0, limited.counter("acceptor_waits"));
            assertTrue(limited.log(), !limited.log().contains("Too many open files"));
        } finally {
            limited.stop();
        }
        for (Socket socket : idle) {
            socket.close();
        }
    }

    /**
     * Idle clients hold the last descriptors while discovery fails: some are closed at once for requests, backend
     * connections, discovery calls and admin calls.
     */
    @Test
    public void idleClientsAreClosedWhenDescriptorsRunOut() throws Exception {
        List<Socket> idle = new ArrayList<>();
        List<Socket> active = new ArrayList<>();
        discovery.script = r -> null;
        release.countDown();
        BalancerProcess limited = BalancerProcess.withTooFewDescriptors(100, discovery, server);
        try {
            // Loads the classes that these requests need while descriptors are left.
            assertEquals(200, limited.callAdmin("GET health", "").status());
            assertEquals(200, limited.send(VIEW).status());
            await("out of descriptors", () -> {
                Socket socket = limited.connect();
                idle.add(socket);
                socket.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return limited.log().contains("Too many open files");
            });
            int calls = discovery.requests.size();
            CountDownLatch respond = new CountDownLatch(1);
            server.script = r -> {
                respond.await();
                return HttpMessage.response(200, "", "a map");
            };
            int before = server.requests.size();
            for (int i = 0; i < 6; i++) {
                Socket socket = limited.connect();
                active.add(socket);
                socket.getOutputStream()
                        .write(HttpMessage.encode(session(String.format("%016x", i), "view"), new byte[0]));
            }
            await("backend connections", () -> server.requests.size() == before + active.size());
            assertEquals(
                    "admin address", 200, limited.callAdmin("GET health", "").status());
            await("discovery is called", () -> discovery.requests.size() > calls);
            respond.countDown();
            for (Socket socket : active) {
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
            assertTrue(limited.counter("clients_closed_for_room") > 0);
            assertEquals(
                    "no idle or slow timeout was needed",
                    0,
                    limited.counter("clients_closed_idle") + limited.counter("clients_closed_slow"));
        } finally {
            limited.stop();
            for (Socket socket : idle) {
                socket.close();
            }
            for (Socket socket : active) {
                socket.close();
            }
        }
    }
}
