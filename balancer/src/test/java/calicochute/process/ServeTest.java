package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** The balancer as its client, its backend servers and discovery meet it. */
public class ServeTest extends SingleServerFixture {
    /** So long after SIGTERM requests are still taken in ({@code Presence}). */
    private static final long TAKEN_IN_NANOS = 550_000_000;

    private HttpMessage send(String lane) throws Exception {
        return balancer.send(session(ID, lane), lane.equals("view") ? new byte[0] : new byte[] {1, 2, 3});
    }

    @Test
    public void whatPassesIsUnchanged() throws Exception {
        byte[] body = new byte[1 << 16];
        new Random(7).nextBytes(body);
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", r.body());
        HttpMessage answer = balancer.send(session(ID, "scan"), body);
        HttpMessage seen = server.requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", seen.firstLine());
        assertEquals(ID, seen.header("X-Txn"));
        assertEquals("k1", seen.header("Idempotency-Key"));
        assertTrue(Integer.parseInt(seen.header("X-Remaining-Ms")) <= 8000);
        assertArrayEquals(body, seen.body());
        assertEquals(200, answer.status());
        assertArrayEquals(body, answer.body());
    }

    @Test
    public void aDenySaysWhenToComeBack() throws Exception {
        HttpMessage answer = balancer.send(session(ID, "view").replace(": 8000", ": 0"));
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(0, server.requests.size());
    }

    /** A server that turned the session away has not run it: it may be sent again, and be denied in the end. */
    @Test
    public void turnedAwayIsTriedAgain() throws Exception {
        server.script = r -> HttpMessage.response(503, "X-Turned-Away: 1\r\n", "");
        assertEquals(503, send("order").status());
        assertTrue(balancer.counter("dispatches_full") >= 1);
        server.script = r -> server.requests.size() % 2 == 0
                ? HttpMessage.response(200, "", "ok")
                : HttpMessage.response(504, "X-Turned-Away: 1\r\n", "");
        assertEquals(200, send("order").status());
    }

    /** After a dispatch that may have run, a session that must not run twice fails: no deny, no second copy. */
    @Test
    public void whatMayHaveRunIsNotRepeated() throws Exception {
        server.script = r -> HttpMessage.response(500, "", "broken");
        assertEquals(502, send("order").status());
        server.script = r -> HttpMessage.response(503, "", "its own words");
        assertEquals(502, send("order").status());
        assertEquals(2, balancer.counter("dispatches_error"));
        server.script = r -> null;
        assertEquals(502, send("order").status());
        assertEquals(1, balancer.counter("dispatches_reset"));
        assertEquals(3, server.requests.size());
    }

    @Test
    public void silenceTimesOutBeforeTheDeadline() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        HttpMessage answer = balancer.send(session(ID, "order").replace(": 8000", ": 900"), new byte[1]);
        assertEquals(504, answer.status());
        assertEquals(1, balancer.counter("dispatches_timed_out"));
        assertEquals(1, server.requests.size());
        release.countDown();
        await("its late answer meets a closed connection", () -> server.endedConnections.size() == 1);
    }

    /** A server that is not there has run nothing: the client hears that trying again is harmless. */
    @Test
    public void noConnectionIsADeny() throws Exception {
        server.close();
        assertEquals(503, send("order").status());
        assertTrue(balancer.counter("dispatches_connect_failed") >= 1);
    }

    /** The server closed an idle connection: nothing was written to it, so another one is used. */
    @Test
    public void aConnectionClosedWhileIdleCostsNothing() throws Exception {
        assertEquals(200, send("order").status());
        for (Socket socket : server.connections) {
            socket.close();
        }
        assertEquals(200, send("order").status());
        assertEquals(2, server.requests.size());
    }

    /** The next call for changes names the version just heard, not the one it was asked with. */
    @Test
    public void theWatchGoesOnFromWhatItHasHeard() throws Exception {
        balancer.stop();
        discovery.requests.clear();
        discovery.script = r -> {
            if (r.firstLine().contains("since=1&")) {
                return HttpMessage.response(200, "", discoveryList(7, "Ready", server));
            }
            release.await();
            return null;
        };
        balancer = startBalancer();
        await("heard", () -> discovery.requests.size() >= 2);
        assertTrue(
                discovery.requests.get(1).firstLine(),
                discovery.requests.get(1).firstLine().contains("since=7&"));
    }

    /**
     * At SIGTERM silent connections are ended, but not one on which half a head has come: the rest of it is answered.
     */
    @Test
    public void halfAHeadIsNoIdleConnection() throws Exception {
        byte[] view = HttpMessage.encode(session(ID, "view"), new byte[0]);
        try (Socket half = balancer.connect();
                Socket silent = balancer.connect()) {
            half.getOutputStream().write(view, 0, 50);
            balancer.signal("TERM");
            assertTrue(BalancerProcess.awaitEnd(silent));
            half.getOutputStream().write(view, 50, view.length - 50);
            assertEquals(200, HttpMessage.read(half.getInputStream()).status());
        }
    }

    /**
     * What a session held goes with its answer, however long its client would have waited: twice the heap passes
     * through.
     */
    @Test
    public void anAnsweredSessionIsLetGo() throws Exception {
        balancer.stop();
        balancer = BalancerProcess.withMaxHeap("24m", discovery, server);
        for (int i = 0; i < 800; i++) {
            assertEquals(
                    200,
                    balancer.send(
                                    session(String.format("%016x", i), "scan").replace(": 8000", ": 3600000"),
                                    new byte[60_000])
                            .status());
        }
        assertFalse(balancer.log(), balancer.log().contains("OutOfMemory"));
    }

    /** One for the sessions; beside it a spare may be opened, if one met the connection before it had rested. */
    @Test
    public void connectionsAreKept() throws Exception {
        try (Socket socket = balancer.connect()) {
            for (int i = 0; i < 3; i++) {
                socket.getOutputStream().write(HttpMessage.encode(session(ID, "view"), new byte[0]));
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
        }
        assertEquals(2, balancer.counter("connections_reused"));
        assertTrue(server.connections.size() <= 1 + balancer.counter("spares_opened"));
    }

    /** While a session is open, another of the same name would be a second copy of it. */
    @Test
    public void aNameInUseIsNotForwardedTwice() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        CompletableFuture<HttpMessage> first = CompletableFuture.supplyAsync(() -> {
            try {
                return send("order");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        await("the first arrives", () -> server.requests.size() == 1);
        assertEquals(409, send("order").status());
        release.countDown();
        assertEquals(200, first.get(30, TimeUnit.SECONDS).status());
        assertEquals(1, server.requests.size());
    }

    /** The client closes: its dispatch is called off by closing the connection to the server. */
    @Test
    public void aClientThatGoesCancels() throws Exception {
        server.script = r -> {
            release.await();
            return null;
        };
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(HttpMessage.encode(session(ID, "view"), new byte[0]));
            await("dispatched", () -> server.requests.size() == 1);
        }
        await("cancelled", () -> balancer.counter("dispatches_cancelled") == 1);
        assertEquals(1, balancer.counter("sessions_client_gone"));
    }

    @Test
    public void aDrainingServerGetsNothingNew() throws Exception {
        assertEquals(200, send("view").status());
        discovery.script = r -> {
            if (r.firstLine().contains("since=2")) {
                release.await();
            }
            return HttpMessage.response(200, "", discoveryList(2, "Terminating", server));
        };
        for (Socket socket : discovery.connections) {
            socket.close();
        }
        await("told", () -> balancer.log().contains("generation=2"));
        assertEquals(
                503,
                balancer.send(session(ID, "view").replace(": 8000", ": 500")).status());
        assertEquals(1, server.requests.size());
        assertTrue(discovery.requests.get(0).firstLine().contains("since=1"));
    }

    /** Discovery that talks nonsense is asked again; the list stays as it was. */
    @Test
    public void malformedListsAreCountedOnly() throws Exception {
        discovery.script = r -> HttpMessage.response(200, "", "{\"generation\":\"x\",\"instances\":[{}]}");
        for (Socket socket : discovery.connections) {
            socket.close();
        }
        await("counted", () -> balancer.counter("discovery_malformed") >= 1);
        assertEquals(200, send("view").status());
    }

    @Test
    public void badInputIsRefusedAndNotForwarded() throws Exception {
        String view = session(ID, "view");
        String scan = session(ID, "scan");
        assertEquals(400, balancer.send(view.replace(ID, "9b1f")).status());
        assertEquals(400, balancer.send(view.replace("X-Txn", "X-Other")).status());
        assertEquals(400, balancer.send(view + "X-Txn: " + ID + "\r\n").status());
        assertEquals(
                400, balancer.send(view.replace("Lane: view", "Lane: none")).status());
        assertEquals(400, balancer.send(view.replace("library", "nobody")).status());
        assertEquals(400, balancer.send(view.replace(": 8000", ": soon")).status());
        assertEquals(400, balancer.send(view.replace(": 8000", ": -1")).status());
        assertEquals(
                400, balancer.send(scan.replace("Idempotency-Key: k1\r\n", "")).status());
        assertEquals(405, balancer.send(view.replace("GET", "POST")).status());
        assertEquals(400, balancer.send("no request at all\r\n").status());
        assertEquals(0, server.requests.size());
        assertEquals(200, send("view").status());
    }

    /** On SIGTERM what is taken is answered, with the connection's end announced, and the status is 0. */
    @Test
    public void aPlannedStopAnswersEverything() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        try (Socket taken = balancer.connect();
                Socket idle = balancer.connect()) {
            idle.getOutputStream().write(HttpMessage.encode("GET /ready HTTP/1.1\r\nHost: a\r\n", new byte[0]));
            assertEquals(200, HttpMessage.read(idle.getInputStream()).status());
            taken.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            // Only now: a connection has its first request within 2.4 s, which the first dispatch of a process may take
            // on a loaded machine.
            try (Socket later = balancer.connect()) {
                long told = System.nanoTime();
                balancer.process.destroy();
                await("draining", () -> balancer.log().contains("draining"));
                later.getOutputStream().write(HttpMessage.encode(session("0" + ID.substring(1), "order"), new byte[1]));
                // Silent until then: past that time the balancer may have ended it, which only a test that runs late
                // can
                // meet.
                boolean inTime = System.nanoTime() - told < TAKEN_IN_NANOS;
                if (inTime) {
                    await("accepted while draining", () -> server.requests.size() == 2);
                }
                // What is idle is closed while the others are still owed their answers.
                assertNull(HttpMessage.read(idle.getInputStream()));
                release.countDown();
                HttpMessage answer = HttpMessage.read(taken.getInputStream());
                assertEquals(200, answer.status());
                assertEquals("close", answer.header("Connection"));
                if (inTime || server.requests.size() == 2) {
                    assertEquals(200, HttpMessage.read(later.getInputStream()).status());
                } else {
                    assertTrue(BalancerProcess.awaitEnd(later));
                }
                assertNull(HttpMessage.read(taken.getInputStream()));
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, balancer.process.exitValue());
    }

    /** What a stop finds under way is answered before the platform ends the process, though its own time is longer. */
    @Test
    public void aPlannedStopLeavesNothingToTheKill() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        try (Socket before = balancer.connect()) {
            before.getOutputStream()
                    .write(HttpMessage.encode(session(ID, "order").replace(": 8000", ": 60000"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            // Only now: silent for longer than a first dispatch takes on a loaded machine, it would be ended.
            try (Socket after = balancer.connect()) {
                balancer.process.destroy();
                await("draining", () -> balancer.log().contains("draining"));
                after.getOutputStream()
                        .write(HttpMessage.encode(
                                session("0" + ID.substring(1), "view").replace(": 8000", ": 60000"), new byte[0]));
                assertEquals(502, HttpMessage.read(before.getInputStream()).status());
                assertEquals(502, HttpMessage.read(after.getInputStream()).status());
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 2"));
    }

    /** SIGHUP moves the watch to discovery's new address and disturbs nothing else; a bad file changes nothing. */
    @Test
    public void aHangupMovesDiscoveryOnly() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "across the reload");
        };
        try (ScriptedServer moved = new ScriptedServer(discovery.script);
                Socket taken = balancer.connect()) {
            taken.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            await("watching", () -> discovery.requests.size() == 1);
            String good = Files.readString(balancer.config);
            Files.writeString(balancer.config, good.substring(0, good.length() / 2));
            balancer.signal("HUP");
            await("refused", () -> balancer.counter("reloads_failed") == 1);
            assertEquals(0, discovery.endedConnections.size());
            Files.writeString(balancer.config, good.replace(discovery.address(), moved.address()));
            balancer.signal("HUP");
            await("asked at the new address", () -> moved.requests.size() == 1);
            assertTrue(moved.requests.get(0).firstLine().contains("since=1"));
            assertTrue("left the old address", BalancerProcess.awaitEnd(discovery.connections.get(0)));
            release.countDown();
            assertEquals(200, HttpMessage.read(taken.getInputStream()).status());
            assertEquals(1, balancer.counter("reloads"));
        }
    }

    /**
     * A class gets another effect and a new one comes; what is open keeps its rules, and a bad file changes nothing.
     */
    @Test
    public void newSettingsCountFromTheHangupOn() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(500, "", "");
        };
        try (Socket taken = balancer.connect()) {
            taken.getOutputStream().write(HttpMessage.encode(session(ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            String good = Files.readString(balancer.config);
            String order = "\"effect\":\"once\",\"key_scope\":\"all\",\"name\":\"order\"";
            assertTrue(good.contains(order));
            String changed = good.replace(order, order.replace("once", "repeatable"))
                    .replace("\"name\":\"scan\"", "\"name\":\"sheet\"");
            int bad = 0;
            for (String text : new String[] {
                "",
                changed.substring(0, changed.length() - 1),
                changed.replace("\"tick\":5000,", ""),
                changed.replace("\"layer\":0", "\"layer\":1"),
                changed.replace("\"max_attempts\":3", "\"max_attempts\":0")
            }) {
                Files.writeString(balancer.config, text);
                balancer.signal("HUP");
                int expected = ++bad;
                await("turned down", () -> balancer.counter("reloads_failed") == expected);
            }
            assertEquals(
                    405,
                    balancer.send(session(ID.replace('9', '8'), "order").replace("POST", "GET"))
                            .status());
            Files.writeString(balancer.config, changed);
            balancer.signal("HUP");
            await("taken", () -> balancer.counter("reloads") == 1);
            release.countDown();
            assertEquals(
                    "as it began: once",
                    502,
                    HttpMessage.read(taken.getInputStream()).status());
            assertEquals(1, server.requests.size());
            server.script = r -> HttpMessage.response(server.requests.size() == 2 ? 500 : 200, "", "");
            assertEquals(
                    "as it is now: repeatable",
                    200,
                    balancer.send(session(ID, "order").replace("POST", "GET")).status());
            assertEquals(3, server.requests.size());
            assertEquals(
                    200,
                    balancer.send(session(ID, "scan").replace("X-Lane: scan", "X-Lane: sheet"))
                            .status());
            assertEquals(
                    "dropped, but callers may not know yet",
                    200,
                    balancer.send(session(ID, "scan")).status());
        }
    }

    /** Logs of many machines are read together. */
    @Test
    public void theLogIsInUtcWhateverTheMachinesZone() throws Exception {
        BalancerProcess away = new BalancerProcess("export TZ=Asia/Tokyo; ", 1024, discovery, server);
        try {
            String serving = away.log()
                    .lines()
                    .filter(l -> l.contains(" INFO serving "))
                    .findFirst()
                    .orElseThrow();
            assertTrue(
                    serving,
                    serving.matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z INFO serving name=.*"));
        } finally {
            away.stop();
        }
    }

    /**
     * Started under nohup it can't hear SIGHUP: it says so at once, rather than leaving staff with settings that never
     * come.
     */
    @Test
    public void aStartWithSighupIgnoredIsTold() throws Exception {
        assertFalse(balancer.log().contains("hangup-ignored"));
        BalancerProcess deaf = new BalancerProcess("trap '' HUP; ", 1024, discovery, server);
        try {
            assertTrue(deaf.log().contains("hangup-ignored"));
        } finally {
            deaf.stop();
        }
    }

    /**
     * The node's own denies too: over the bound on open sessions they say when to come back, unless the site has none
     * of it.
     */
    @Test
    public void aDenyOverTheBoundSaysWhenToComeBack() throws Exception {
        String text = Files.readString(balancer.config).replace("\"max_open\":20000", "\"max_open\":0");
        Files.writeString(balancer.config, text);
        balancer.signal("HUP");
        await("taken", () -> balancer.counter("reloads") == 1);
        assertEquals("3.000", send("view").header("Retry-After"));
        Files.writeString(balancer.config, text.replace("\"retry_after\":true", "\"retry_after\":false"));
        balancer.signal("HUP");
        await("taken", () -> balancer.counter("reloads") == 2);
        HttpMessage denied = send("view");
        assertEquals(503, denied.status());
        assertEquals(null, denied.header("Retry-After"));
        Files.writeString(balancer.config, text.replace("\"max_retry_after\":3000000", "\"max_retry_after\":400"));
        balancer.signal("HUP");
        await("taken", () -> balancer.counter("reloads") == 3);
        assertEquals("not rounded to at once", "0.001", send("view").header("Retry-After"));
        assertEquals(3, balancer.counter("sessions_over_limit"));
    }

    @Test
    public void aBadConfigurationEndsTheStart() throws Exception {
        Path config = Files.createTempFile("calicochute", ".json");
        for (String text : new String[] {"", "{}", "[1]", "{\"settings\":{},\"seed\":\"q\"}"}) {
            Files.writeString(config, text);
            Path log = Files.createTempFile("calicochute", ".log");
            Process process = BalancerProcess.start(log, "serve", "--config", config.toString());
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
            assertTrue(Files.readString(log), Files.readString(log).startsWith("calicochute: "));
            assertTrue(Files.readString(log), Files.readAllLines(log).get(1).matches("  C1\\d\\d: .+"));
            assertEquals(2, Files.readString(log).lines().count());
        }
    }

    /** A start that fails is no planned stop: it has a message and a status of its own. */
    @Test
    public void anAddressInUseEndsTheStart() throws Exception {
        Path log = Files.createTempFile("calicochute", ".log");
        Process second = BalancerProcess.start(log, "serve", "--config", balancer.config.toString());
        assertTrue(second.waitFor(30, TimeUnit.SECONDS));
        assertEquals(Files.readString(log), 1, second.exitValue());
        assertTrue(Files.readString(log).contains("cannot listen at"));
        assertEquals(200, send("view").status());
    }
}
