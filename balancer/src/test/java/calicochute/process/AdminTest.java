package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static calicochute.process.BalancerProcess.hostBody;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** Calls of operators to the admin address. */
public class AdminTest extends SingleServerFixture {
    private int sent;

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withAdmin(discovery, server);
    }

    private HttpMessage session(String lane) throws Exception {
        return balancer.send(BalancerProcess.session(String.format("%016x", ++sent), lane));
    }

    private int callAdmin(String call, String body) throws Exception {
        return balancer.callAdmin(call, body).status();
    }

    @Test
    public void unknownAndMalformedCallsAreRejected() throws Exception {
        assertEquals(200, callAdmin("GET health", ""));
        assertEquals(404, callAdmin("GET elsewhere", ""));
        assertEquals(405, callAdmin("POST health", ""));
        assertEquals(405, callAdmin("GET quiesce", ""));
        assertEquals(400, callAdmin("POST cordon", ""));
        assertEquals(400, callAdmin("POST cordon", "{\"host\":"));
        assertEquals(400, callAdmin("POST cordon", "{\"host\":7}"));
        assertEquals(400, callAdmin("POST uncordon", "[]"));
        assertEquals(
                "not JSON, although a lenient parser accepts it",
                400,
                callAdmin("POST cordon", hostBody(server).replace('"', '\'')));
        assertEquals(400, callAdmin("POST cordon", hostBody(server) + "// and more"));
        assertEquals(0, balancer.stat("members_unavailable"));
        assertEquals(404, callAdmin("POST cordon", "{\"host\":\"never-listed\"}"));
        assertEquals(404, callAdmin("POST uncordon", "{\"host\":\"never-listed\"}"));
        assertEquals("close", balancer.callAdmin("GET health", "").header("Connection"));
    }

    /** A call whose head is truncated after any byte is not executed. */
    @Test
    public void truncatedCallIsNotExecuted() throws Exception {
        String call = "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\n";
        for (int bytes = 1; bytes <= call.length(); bytes++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), balancer.adminPort)) {
                socket.getOutputStream().write(call.substring(0, bytes).getBytes());
                socket.shutdownOutput();
                assertTrue(BalancerProcess.awaitEnd(socket));
            }
            assertEquals("truncated after byte " + bytes, 0, balancer.counter("admin_calls"));
        }
    }

    /**
     * Sessions taken = completed + rejected + failed + pending; an attempt is counted when it is written, not when it
     * is answered.
     */
    @Test
    public void statisticsMatchSessions() throws Exception {
        assertEquals(0, balancer.stat("completed.view"));
        assertEquals(1, balancer.stat("members"));
        assertEquals(0, balancer.stat("members_unavailable"));
        assertEquals(200, session("view").status());
        server.script = r -> HttpMessage.response(503, "X-Turned-Away: 1\r\n", "");
        assertEquals(503, session("order").status());
        server.script = r -> HttpMessage.response(500, "", "");
        assertEquals(502, session("order").status());
        long before = balancer.stat("upstream_requests");
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        CompletableFuture<HttpMessage> open = CompletableFuture.supplyAsync(() -> {
            try {
                return session("view");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        await("the open attempt is counted", () -> balancer.stat("upstream_requests") == before + 1);
        assertEquals(1, balancer.stat("pending"));
        release.countDown();
        assertEquals(200, open.get().status());
        await("nothing is pending", () -> balancer.stat("pending") == 0);
        assertEquals(2, balancer.stat("completed.view"));
        assertEquals(1, balancer.stat("rejected.order"));
        assertEquals(1, balancer.stat("failed.order"));
        assertEquals(0, balancer.stat("failed.scan"));
        assertEquals(balancer.counter("sessions_taken"), 4);
    }

    /** More callers than the connection limit, each with half a request, do not delay other callers. */
    @Test
    public void incompleteCallsDoNotBlockOthers() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), balancer.adminPort);
            socket.getOutputStream().write("POST /admin/cor".getBytes());
            idle.add(socket);
        }
        assertEquals(200, callAdmin("GET health", ""));
        await("idle callers are closed", () -> balancer.counter("admin_callers_closed") > 0);
        assertEquals(200, callAdmin("GET stats", ""));
        for (Socket socket : idle) {
            socket.close();
        }
    }

    /**
     * After the response to a cordon call no new session goes to the server; one uncordon call undoes any number of
     * cordon calls.
     */
    @Test
    public void cordonedServerGetsNothingUntilUncordoned() throws Exception {
        assertEquals(200, session("view").status());
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        int before = server.requests.size();
        assertEquals(
                503,
                balancer.send(BalancerProcess.session(SESSION_ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(1, balancer.stat("members_unavailable"));
        assertEquals(1, balancer.stat("members"));
        assertEquals(before, server.requests.size());
        assertEquals(200, callAdmin("POST uncordon", hostBody(server)));
        assertEquals(0, balancer.stat("members_unavailable"));
        assertEquals(200, session("view").status());
    }

    /**
     * A full list from discovery that contains the cordoned server, here to a restarted balancer, does not lift the
     * cordon.
     */
    @Test
    public void fullListKeepsCordon() throws Exception {
        balancer.stop();
        CompletableFuture<Void> fullList = new CompletableFuture<>();
        discovery.script = r -> {
            if (r.firstLine().contains("since=1&")) {
                fullList.get();
                return HttpMessage.response(
                        200, "", discoveryList(2, "Ready", server).replace("\"reset\":false", "\"reset\":true"));
            }
            release.await();
            return null;
        };
        balancer = startBalancer();
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        fullList.complete(null);
        await("the full list is applied", () -> balancer.log().contains("generation=2 whole=true"));
        assertEquals(
                503,
                balancer.send(BalancerProcess.session(SESSION_ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(0, server.requests.size());
        assertEquals(200, callAdmin("POST uncordon", hostBody(server)));
        assertEquals(200, session("view").status());
    }

    /**
     * After a quiesce call readiness fails, each response closes its connection and idle connections are closed; a
     * resume call undoes this.
     */
    @Test
    public void quiesceClosesConnectionsUntilResume() throws Exception {
        try (Socket kept = balancer.connect();
                Socket idle = balancer.connect()) {
            for (Socket socket : List.of(kept, idle)) {
                socket.getOutputStream()
                        .write(HttpMessage.encode(
                                BalancerProcess.session(String.format("%016x", ++sent), "view"), new byte[0]));
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
            assertEquals(200, callAdmin("POST quiesce", ""));
            assertEquals(
                    503, balancer.send("GET /ready HTTP/1.1\r\nHost: a\r\n").status());
            kept.getOutputStream()
                    .write(HttpMessage.encode(
                            BalancerProcess.session(String.format("%016x", ++sent), "view"), new byte[0]));
            HttpMessage last = HttpMessage.read(kept.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.header("Connection"));
            assertTrue(BalancerProcess.awaitEnd(idle));
            assertEquals(
                    "a new client is served while quiesced",
                    200,
                    session("view").status());
            assertEquals(200, callAdmin("GET health", ""));
        }
        assertEquals(200, callAdmin("POST resume", ""));
        assertEquals(200, balancer.send("GET /ready HTTP/1.1\r\nHost: a\r\n").status());
        try (Socket kept = balancer.connect()) {
            kept.getOutputStream()
                    .write(HttpMessage.encode(
                            BalancerProcess.session(String.format("%016x", ++sent), "view"), new byte[0]));
            assertEquals(null, HttpMessage.read(kept.getInputStream()).header("Connection"));
        }
    }
}
