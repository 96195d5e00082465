package calicochute.process;

import static calicochute.process.Program.await;
import static calicochute.process.Program.host;
import static calicochute.process.Program.list;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** The second address, as operators' staff meet it. */
public class AdminTest extends OneServer {
    private int sent;

    @Override
    Program program() throws Exception {
        return Program.withAdmin(discovery, server);
    }

    private Http session(String lane) throws Exception {
        return program.send(Program.session(String.format("%016x", ++sent), lane));
    }

    private int admin(String call, String body) throws Exception {
        return program.admin(call, body).status();
    }

    @Test
    public void callsThatAreNotOursAreANo() throws Exception {
        assertEquals(200, admin("GET health", ""));
        assertEquals(404, admin("GET elsewhere", ""));
        assertEquals(405, admin("POST health", ""));
        assertEquals(405, admin("GET quiesce", ""));
        assertEquals(400, admin("POST cordon", ""));
        assertEquals(400, admin("POST cordon", "{\"host\":"));
        assertEquals(400, admin("POST cordon", "{\"host\":7}"));
        assertEquals(400, admin("POST uncordon", "[]"));
        assertEquals(
                "no JSON, though a lenient reader takes it",
                400,
                admin("POST cordon", host(server).replace('"', '\'')));
        assertEquals(400, admin("POST cordon", host(server) + "// and more"));
        assertEquals(0, program.figure("members_unavailable"));
        assertEquals(404, admin("POST cordon", "{\"host\":\"never-listed\"}"));
        assertEquals(404, admin("POST uncordon", "{\"host\":\"never-listed\"}"));
        assertEquals("close", program.admin("GET health", "").header("Connection"));
    }

    /** A call whose head breaks off behind any byte is not carried out. */
    @Test
    public void aCallCutShortIsNone() throws Exception {
        String call = "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\n";
        for (int bytes = 1; bytes <= call.length(); bytes++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), program.admin)) {
                socket.getOutputStream().write(call.substring(0, bytes).getBytes());
                socket.shutdownOutput();
                assertTrue(Program.ended(socket));
            }
            assertEquals("cut behind byte " + bytes, 0, program.counter("admin_calls"));
        }
    }

    /**
     * Taken = completed + rejected + failed + pending, and an attempt counts once it is written, not once it is
     * answered.
     */
    @Test
    public void figuresCountWhatHappened() throws Exception {
        assertEquals(0, program.figure("completed.view"));
        assertEquals(1, program.figure("members"));
        assertEquals(0, program.figure("members_unavailable"));
        assertEquals(200, session("view").status());
        server.script = r -> Http.answer(503, "X-Turned-Away: 1\r\n", "");
        assertEquals(503, session("order").status());
        server.script = r -> Http.answer(500, "", "");
        assertEquals(502, session("order").status());
        long before = program.figure("upstream_requests");
        server.script = r -> {
            release.await();
            return Http.answer(200, "", "late");
        };
        CompletableFuture<Http> open = CompletableFuture.supplyAsync(() -> {
            try {
                return session("view");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        await("the attempt under way counts", () -> program.figure("upstream_requests") == before + 1);
        assertEquals(1, program.figure("pending"));
        release.countDown();
        assertEquals(200, open.get().status());
        await("nothing is pending", () -> program.figure("pending") == 0);
        assertEquals(2, program.figure("completed.view"));
        assertEquals(1, program.figure("rejected.order"));
        assertEquals(1, program.figure("failed.order"));
        assertEquals(0, program.figure("failed.scan"));
        assertEquals(program.counter("sessions_taken"), 4);
    }

    /** Callers who sit on half a call, more of them than there is room for, keep nobody else waiting. */
    @Test
    public void callersWithoutAWholeCallCostNothing() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), program.admin);
            socket.getOutputStream().write("POST /admin/cor".getBytes());
            idle.add(socket);
        }
        assertEquals(200, admin("GET health", ""));
        await("the crowd has been noticed", () -> program.counter("admin_callers_closed") > 0);
        assertEquals(200, admin("GET stats", ""));
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
        assertEquals(200, admin("POST cordon", host(server)));
        assertEquals(200, admin("POST cordon", host(server)));
        int before = server.requests.size();
        assertEquals(
                503,
                program.send(Program.session(ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(1, program.figure("members_unavailable"));
        assertEquals(1, program.figure("members"));
        assertEquals(before, server.requests.size());
        assertEquals(200, admin("POST uncordon", host(server)));
        assertEquals(0, program.figure("members_unavailable"));
        assertEquals(200, session("view").status());
    }

    /** A whole list from discovery with the same server on it, started anew, lifts no ban. */
    @Test
    public void discoveryLiftsNoBan() throws Exception {
        program.stop();
        CompletableFuture<Void> told = new CompletableFuture<>();
        discovery.script = r -> {
            if (r.firstLine().contains("since=1&")) {
                told.get();
                return Http.answer(200, "", list(2, "Ready", server).replace("\"reset\":false", "\"reset\":true"));
            }
            release.await();
            return null;
        };
        program = program();
        assertEquals(200, admin("POST cordon", host(server)));
        told.complete(null);
        await("the whole list is heard", () -> program.log().contains("generation=2 whole=true"));
        assertEquals(
                503,
                program.send(Program.session(ID, "view").replace(": 8000", ": 300"))
                        .status());
        assertEquals(0, server.requests.size());
        assertEquals(200, admin("POST uncordon", host(server)));
        assertEquals(200, session("view").status());
    }

    /** Sent away: a no at once, each answer the last, idle connections ended; and back again. */
    @Test
    public void clientsAreSentAwayAndTakenBack() throws Exception {
        try (Socket kept = program.connect();
                Socket idle = program.connect()) {
            for (Socket socket : List.of(kept, idle)) {
                socket.getOutputStream()
                        .write(Http.message(Program.session(String.format("%016x", ++sent), "view"), new byte[0]));
                assertEquals(200, Http.read(socket.getInputStream()).status());
            }
            assertEquals(200, admin("POST quiesce", ""));
            assertEquals(503, program.send("GET /ready HTTP/1.1\r\nHost: a\r\n").status());
            kept.getOutputStream()
                    .write(Http.message(Program.session(String.format("%016x", ++sent), "view"), new byte[0]));
            Http last = Http.read(kept.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.header("Connection"));
            assertTrue(Program.ended(idle));
            assertEquals(
                    "who comes all the same is served", 200, session("view").status());
            assertEquals(200, admin("GET health", ""));
        }
        assertEquals(200, admin("POST resume", ""));
        assertEquals(200, program.send("GET /ready HTTP/1.1\r\nHost: a\r\n").status());
        try (Socket kept = program.connect()) {
            kept.getOutputStream()
                    .write(Http.message(Program.session(String.format("%016x", ++sent), "view"), new byte[0]));
            assertEquals(null, Http.read(kept.getInputStream()).header("Connection"));
        }
    }
}
