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

/** The balancer as clients meet it that send what they should not, or nothing, or too much. */
public class BadClientTest extends SingleServerFixture {
    private static final int DESCRIPTORS = 100;
    private static final String VIEW = session(ID, "view");
    private static final String SCAN = session(ID, "scan");

    @Override
    BalancerProcess startBalancer() throws Exception {
        return new BalancerProcess("", 80, discovery, server);
    }

    /** Whatever came before: nothing of it has reached a server, and the next client is served. */
    @After
    public void theNextClientIsServed() throws Exception {
        int before = server.requests.size();
        assertEquals(200, balancer.send(session("0" + ID.substring(1), "view")).status());
        assertEquals(before + 1, server.requests.size());
    }

    /** Sends the text as it is and returns the status of the one answer, after which the connection has to end. */
    private int raw(String text) throws Exception {
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessage answer = HttpMessage.read(socket.getInputStream());
            assertTrue(BalancerProcess.awaitEnd(socket));
            return answer.status();
        }
    }

    /** A body whose end can be read in two ways may hide a request; nothing of it may go on. */
    @Test
    public void lengthsThatAreNoneAreRefused() throws Exception {
        String hidden = "0\r\n\r\n" + VIEW + "\r\n";
        for (String lengths : List.of(
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
            assertEquals(lengths, 400, raw(SCAN + lengths + "\r\n\r\n" + hidden));
        }
        assertEquals(0, server.requests.size());
    }

    @Test
    public void headsThatCannotBeReadAreRefused() throws Exception {
        assertEquals(400, raw(VIEW + "no colon here\r\n\r\n"));
        assertEquals(400, raw(VIEW + "X-Labels: a\u0001b\r\n\r\n"));
        assertEquals(431, raw(VIEW + "X-Pad: " + "p".repeat(9000)));
        assertEquals(431, raw(VIEW + "X-Pad: p\r\n".repeat(100)));
        assertEquals(431, raw(VIEW + ("X-Pad: " + "p".repeat(4000) + "\r\n").repeat(5)));
        assertEquals(5, balancer.counter("sessions_bad_input"));
    }

    /** A target goes on as it came: nothing of a path is taken for a host, and what is no path is refused. */
    @Test
    public void targetsAreNotTakenApart() throws Exception {
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

    /** Chunks that can't be read, behind a head that can: no answer, but the connection's end and a count. */
    @Test
    public void chunksThatCannotBeReadAreCounted() throws Exception {
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
        assertEquals("who goes has not sent bad input", bodies.size(), balancer.counter("sessions_bad_input"));
    }

    /** A head that breaks off behind any byte goes nowhere: not with less time than its client has, and not at all. */
    @Test
    public void aHeadCutShortIsNoSession() throws Exception {
        for (int bytes = 1; bytes <= VIEW.length(); bytes++) {
            try (Socket socket = balancer.connect()) {
                socket.getOutputStream().write(VIEW.substring(0, bytes).getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                assertTrue(BalancerProcess.awaitEnd(socket));
            }
            assertEquals("cut behind byte " + bytes, 0, balancer.counter("sessions_taken"));
        }
    }

    /** A body in chunks that breaks off behind any byte goes nowhere; whole, it passes. */
    @Test
    public void aBodyCutShortIsNoSession() throws Exception {
        String chunks = "02\r\nhe\r\n003\r\nllo\r\n0\r\n\r\n";
        for (int bytes = 0; bytes <= chunks.length(); bytes++) {
            try (Socket socket = balancer.connect()) {
                assertEquals("cut behind byte " + bytes, 0, balancer.counter("sessions_taken"));
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

    /** Refused at the head: the client has not sent a byte of its body yet. */
    @Test
    public void aBodyThatWouldBeTooLongIsRefusedUnread() throws Exception {
        assertEquals(413, raw(SCAN + "Content-Length: 60000000\r\n\r\n"));
    }

    /** Clients have one request open at a time: what comes before its answer is left, and the connection ends. */
    @Test
    public void requestsAheadOfAnAnswerAreLeft() throws Exception {
        assertEquals(400, raw((VIEW.replace("view", "none") + "\r\n").repeat(200)));
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "the first");
        };
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write((VIEW + "\r\n").repeat(3).getBytes(StandardCharsets.US_ASCII));
            await("dispatched", () -> server.requests.size() == 1);
            release.countDown();
            HttpMessage answer = HttpMessage.read(socket.getInputStream());
            assertEquals(200, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertTrue(BalancerProcess.awaitEnd(socket));
        }
        assertEquals(1, server.requests.size());
    }

    /** Who says nothing, or half a request, or a byte now and then, is not waited for; an answer owed still comes. */
    @Test
    public void slowClientsAreNotWaitedFor() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        try (Socket owed = balancer.connect();
                Socket silent = balancer.connect();
                Socket half = balancer.connect();
                Socket dripping = balancer.connect();
                Socket body = balancer.connect()) {
            body.getOutputStream().write((SCAN + "Content-Length: 60000\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            owed.getOutputStream().write(HttpMessage.encode(VIEW, new byte[0]));
            half.getOutputStream().write("GET /api HTT".getBytes(StandardCharsets.US_ASCII));
            await("those that drip end, in the head and in the body", () -> {
                boolean all = true;
                for (Socket one : List.of(dripping, body)) {
                    try {
                        one.getOutputStream().write('G');
                        all = false;
                    } catch (IOException e) {
                        // This one has ended.
                    }
                }
                return all;
            });
            assertTrue(BalancerProcess.awaitEnd(silent));
            assertTrue(BalancerProcess.awaitEnd(half));
            assertEquals(4, balancer.counter("clients_closed_slow"));
            release.countDown();
            assertEquals(200, HttpMessage.read(owed.getInputStream()).status());
        }
    }

    /**
     * With fewer descriptors than promised accepting breaks off; at both addresses it comes back with the descriptors.
     */
    @Test
    public void acceptingOutlivesALackOfDescriptors() throws Exception {
        List<Socket> silent = new ArrayList<>();
        BalancerProcess scarce = BalancerProcess.withTooFewDescriptors(DESCRIPTORS, discovery, server);
        try {
            assertEquals(200, scarce.callAdmin("GET health", "").status());
            // All at once: one after another on a loaded machine the first would be ended for their silence before the
            // last one comes.
            for (int i = 0; i < DESCRIPTORS; i++) {
                silent.add(scarce.connect());
            }
            await("out of descriptors", () -> scarce.log().contains("Too many open files"));
            for (int i = 0; i < 20; i++) {
                silent.add(new Socket(InetAddress.getLoopbackAddress(), scarce.adminPort));
            }
            for (Socket socket : silent) {
                socket.close();
            }
            await("asked", () -> scarce.callAdmin("GET health", "").status() == 200);
            await(
                    "served",
                    () -> scarce.send(session("1" + ID.substring(1), "view")).status() == 200);
            assertTrue(scarce.counter("acceptor_waits") > 0);
        } finally {
            scarce.stop();
        }
    }

    /** More connections than there is room for: the silent ones make way, the one that is owed an answer does not. */
    @Test
    public void silentClientsMakeRoom() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        List<Socket> silent = new ArrayList<>();
        try (Socket owed = balancer.connect()) {
            owed.getOutputStream().write(HttpMessage.encode(VIEW, new byte[0]));
            await("dispatched", () -> server.requests.size() == 1);
            for (int i = 0; i < 60; i++) {
                silent.add(balancer.connect());
            }
            await("made room", () -> balancer.counter("clients_closed_for_room") > 40);
            release.countDown();
            assertEquals(200, HttpMessage.read(owed.getInputStream()).status());
        }
        for (Socket socket : silent) {
            socket.close();
        }
    }

    /**
     * In a crowd that has just connected and says nothing, whoever asks is served: not the newcomer makes way, but the
     * crowd.
     */
    @Test
    public void whoAsksIsServedInACrowd() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < 20; i++) {
                crowd.add(balancer.connect());
            }
            assertEquals(
                    200,
                    balancer.send(session(String.format("%016x", round), "view"))
                            .status());
        }
        assertEquals(0, balancer.counter("acceptor_waits"));
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    /** Idle clients by the hundred at both addresses, at the real limit: all else still gets its descriptors. */
    @Test
    public void aCrowdLeavesTheOthersTheirDescriptors() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        BalancerProcess limited = BalancerProcess.withDescriptorLimit(160, discovery, server);
        try {
            discovery.script = r -> HttpMessage.response(200, "", BalancerProcess.discoveryList(2, "Ready", server));
            for (int i = 0; i < 600; i++) {
                crowd.add(
                        i % 3 == 0
                                ? new Socket(InetAddress.getLoopbackAddress(), limited.adminPort)
                                : limited.connect());
            }
            int calls = discovery.requests.size();
            assertEquals(
                    "a connection to a backend server",
                    200,
                    limited.send(session(ID, "view")).status());
            assertEquals(
                    "the second address",
                    200,
                    limited.callAdmin("GET health", "").status());
            await("discovery is asked", () -> discovery.requests.size() > calls);
            assertEquals(limited.log(), 0, limited.counter("acceptor_waits"));
            assertTrue(limited.log(), !limited.log().contains("Too many open files"));
        } finally {
            limited.stop();
        }
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    /**
     * Idle clients hold the last descriptors, discovery is down: room is made at once for who asks, servers, discovery
     * and operators.
     */
    @Test
    public void idleClientsEndWhereDescriptorsLack() throws Exception {
        List<Socket> idle = new ArrayList<>();
        List<Socket> asking = new ArrayList<>();
        discovery.script = r -> null;
        release.countDown();
        BalancerProcess scarce = BalancerProcess.withTooFewDescriptors(100, discovery, server);
        try {
            // Started from folders of classes, not from its jar, a class's first use takes a descriptor too: used here
            // before.
            assertEquals(200, scarce.callAdmin("GET health", "").status());
            assertEquals(200, scarce.send(VIEW).status());
            await("out of descriptors", () -> {
                Socket socket = scarce.connect();
                idle.add(socket);
                socket.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return scarce.log().contains("Too many open files");
            });
            int calls = discovery.requests.size();
            CountDownLatch together = new CountDownLatch(1);
            server.script = r -> {
                together.await();
                return HttpMessage.response(200, "", "a map");
            };
            int before = server.requests.size();
            for (int i = 0; i < 6; i++) {
                Socket socket = scarce.connect();
                asking.add(socket);
                socket.getOutputStream()
                        .write(HttpMessage.encode(session(String.format("%016x", i), "view"), new byte[0]));
            }
            await("connections to a backend server", () -> server.requests.size() == before + asking.size());
            assertEquals(
                    "the second address",
                    200,
                    scarce.callAdmin("GET health", "").status());
            await("discovery is asked", () -> discovery.requests.size() > calls);
            together.countDown();
            for (Socket socket : asking) {
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
            assertTrue(scarce.counter("clients_closed_for_room") > 0);
            assertEquals(
                    "none had to be waited for",
                    0,
                    scarce.counter("clients_closed_idle") + scarce.counter("clients_closed_slow"));
        } finally {
            scarce.stop();
            for (Socket socket : idle) {
                socket.close();
            }
            for (Socket socket : asking) {
                socket.close();
            }
        }
    }
}
