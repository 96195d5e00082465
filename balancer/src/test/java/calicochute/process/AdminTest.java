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

/** The second address, as operators' staff meet it. */
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
    public void callsThatAreNotOursAreANo() throws Exception {
        assertEquals(200, callAdmin("GET health", ""));
        assertEquals(404, callAdmin("GET elsewhere", ""));
        assertEquals(405, callAdmin("POST health", ""));
        assertEquals(405, callAdmin("GET quiesce", ""));
        assertEquals(400, callAdmin("POST cordon", ""));
        assertEquals(400, callAdmin("POST cordon", "{\"host\":"));
        assertEquals(400, callAdmin("POST cordon", "{\"host\":7}"));
        assertEquals(400, callAdmin("POST uncordon", "[]"));
        assertEquals(
                "no JSON, though a lenient reader takes it",
                400,
                callAdmin("POST cordon", hostBody(server).replace('"', '\'')));
        assertEquals(400, callAdmin("POST cordon", hostBody(server) + "// and more"));
        assertEquals(0, balancer.stat("members_unavailable"));
        assertEquals(404, callAdmin("POST cordon", "{\"host\":\"never-listed\"}"));
        assertEquals(404, callAdmin("POST uncordon", "{\"host\":\"never-listed\"}"));
        assertEquals("close", balancer.callAdmin("GET health", "").header("Connection"));
    }

    /** A call whose head breaks off behind any byte is not carried out. */
    @Test
    public void aCallCutShortIsNone() throws Exception {
        String call = "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\n";
        for (int bytes = 1; bytes <= call.length(); bytes++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), balancer.adminPort)) {
                socket.getOutputStream().write(call.substring(0, bytes).getBytes());
                socket.shutdownOutput();
                assertTrue(BalancerProcess.awaitEnd(socket));
            }
            assertEquals("cut behind byte " + bytes, 0, balancer.counter("admin_calls"));
        }
    }

    /**
     * Taken = completed + rejected + failed + pending, and an attempt counts once it is written, not once it is
     * answered.
     */
    @Test
    public void figuresCountWhatHappened() throws Exception {
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
        await("the attempt under way counts", () -> balancer.stat("upstream_requests") == before + 1);
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

    /** Callers who sit on half a call, more of them than there is room for, keep nobody else waiting. */
    @Test
    public void callersWithoutAWholeCallCostNothing() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), balancer.adminPort);
            socket.getOutputStream().write("POST /admin/cor".getBytes());
            idle.add(socket);
        }
        assertEquals(200, callAdmin("GET health", ""));
        await("the crowd has been noticed", () -> balancer.counter("admin_callers_closed") > 0);
        assertEquals(200, callAdmin("GET stats", ""));
        for (Socket socket : idle) {
            socket.close();
        }
    }

    /**
     * Once the yes is out nothing new goes there, whatever discovery says; one call back ends any number of calls out.
     */
    @Test
    public void aServerOutByHandGetsNothingUntilItIsCalledBack() throws Exception {
        assertEquals(200, session("view").status());
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        int before = server.requests.size();
        assertEquals(
                503,
                balancer.send(BalancerProcess.session(ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(1, balancer.stat("members_unavailable"));
        assertEquals(1, balancer.stat("members"));
        assertEquals(before, server.requests.size());
        assertEquals(200, callAdmin("POST uncordon", hostBody(server)));
        assertEquals(0, balancer.stat("members_unavailable"));
        assertEquals(200, session("view").status());
    }

    /** A whole list from discovery with the same server on it, started anew, lifts no ban. */
    @Test
    public void discoveryLiftsNoBan() throws Exception {
        balancer.stop();
        CompletableFuture<Void> told = new CompletableFuture<>();
        discovery.script = r -> {
            if (r.firstLine().contains("since=1&")) {
                told.get();
                return HttpMessage.response(
                        200, "", discoveryList(2, "Ready", server).replace("\"reset\":false", "\"reset\":true"));
            }
            release.await();
            return null;
        };
        balancer = startBalancer();
        assertEquals(200, callAdmin("POST cordon", hostBody(server)));
        told.complete(null);
        await("the whole list is heard", () -> balancer.log().contains("generation=2 whole=true"));
        assertEquals(
                503,
                balancer.send(BalancerProcess.session(ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(0, server.requests.size());
        assertEquals(200, callAdmin("POST uncordon", hostBody(server)));
        assertEquals(200, session("view").status());
    }

    /** Sent away: a no at once, each answer the last, idle connections ended; and back again. */
    @Test
    public void clientsAreSentAwayAndTakenBack() throws Exception {
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
                    "who comes all the same is served", 200, session("view").status());
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
