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

/** Basic behavior of the balancer towards clients, backend servers, discovery and operators' signals. */
public class ServeTest extends SingleServerFixture {
    /** Requests are still accepted for this long after SIGTERM ({@code Lifecycle}). */
    private static final long ACCEPT_AFTER_SIGTERM_NANOS = 550_000_000;

    private HttpMessage send(String lane) throws Exception {
        return balancer.send(session(newSessionId(), lane), lane.equals("view") ? new byte[0] : new byte[] {1, 2, 3});
    }

    @Test
    public void requestsAndResponsesAreForwardedUnchanged() throws Exception {
        byte[] body = new byte[1 << 16];
        new Random(7).nextBytes(body);
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", r.body());
        HttpMessage response = balancer.send(session(SESSION_ID, "scan"), body);
        HttpMessage forwarded = server.requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", forwarded.firstLine());
        assertEquals(SESSION_ID, forwarded.header("X-Txn"));
        assertEquals("k1", forwarded.header("Idempotency-Key"));
        assertTrue(Integer.parseInt(forwarded.header("X-Remaining-Ms")) <= 8000);
        assertArrayEquals(body, forwarded.body());
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
    }

    @Test
    public void denyHasRetryAfter() throws Exception {
        HttpMessage response = balancer.send(session(SESSION_ID, "view").replace(": 8000", ": 0"));
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        assertEquals(0, server.requests.size());
    }

    /** A request that a server turned away has not run: it may be retried, and the session denied in the end. */
    @Test
    public void turnedAwayRequestIsRetried() throws Exception {
        server.script = r -> HttpMessage.response(503, "X-Turned-Away: 1\r\n", "");
        assertEquals(503, send("order").status());
        assertTrue(balancer.counter("dispatches_full") >= 1);
        server.script = r -> server.requests.size() % 2 == 0
                ? HttpMessage.response(200, "", "ok")
                : HttpMessage.response(504, "X-Turned-Away: 1\r\n", "");
        assertEquals(200, send("order").status());
    }

    /** A session that must not run twice fails after a dispatch that may have run; it is neither denied nor retried. */
    @Test
    public void requestThatMayHaveRunIsNotRetried() throws Exception {
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
    public void unansweredRequestTimesOutBeforeDeadline() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        HttpMessage response = balancer.send(session(SESSION_ID, "order").replace(": 8000", ": 900"), new byte[1]);
        assertEquals(504, response.status());
        assertEquals(1, balancer.counter("dispatches_timed_out"));
        assertEquals(1, server.requests.size());
        release.countDown();
        await("the connection is closed before the late response", () -> server.endedConnections.size() == 1);
    }

    /**
     * A server that refuses connections has not run the request: the session is denied, which allows the client to
     * retry.
     */
    @Test
    public void refusedConnectionIsADeny() throws Exception {
        server.close();
        assertEquals(503, send("order").status());
        assertTrue(balancer.counter("dispatches_connect_failed") >= 1);
    }

    /** The server closed an idle connection: nothing was written to it, so the session uses another one. */
    @Test
    public void connectionClosedWhileIdleIsReplaced() throws Exception {
        assertEquals(200, send("order").status());
        for (Socket socket : server.connections) {
            socket.close();
        }
        assertEquals(200, send("order").status());
        assertEquals(2, server.requests.size());
    }

    /** The next watch starts from the generation that was received, not from the one that was requested. */
    @Test
    public void watchContinuesFromReceivedGeneration() throws Exception {
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
        await("the watch continues", () -> discovery.requests.size() >= 2);
        assertTrue(
                discovery.requests.get(1).firstLine(),
                discovery.requests.get(1).firstLine().contains("since=7&"));
    }

    /** On SIGTERM idle connections are closed, but not one with a partial head: its request is answered. */
    @Test
    public void connectionWithPartialHeadIsNotIdle() throws Exception {
        byte[] view = HttpMessage.encode(session(SESSION_ID, "view"), new byte[0]);
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
     * A session's memory is freed with its response, however long its deadline: request bodies of twice the heap size
     * pass.
     */
    @Test
    public void answeredSessionIsFreed() throws Exception {
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

    /**
     * Consecutive sessions share one connection; a spare may be opened beside it if the connection could not be reused
     * yet.
     */
    @Test
    public void backendConnectionsAreReused() throws Exception {
        try (Socket socket = balancer.connect()) {
            for (int i = 0; i < 3; i++) {
                socket.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "view"), new byte[0]));
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
        }
        assertEquals(2, balancer.counter("connections_reused"));
        assertTrue(server.connections.size() <= 1 + balancer.counter("spares_opened"));
    }

    /** A session with the id of an open one would be a duplicate, so it is rejected. */
    @Test
    public void duplicateSessionIdIsRejected() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        CompletableFuture<HttpMessage> first = CompletableFuture.supplyAsync(() -> {
            try {
                return balancer.send(session(SESSION_ID, "order"), new byte[1]);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        await("the first arrives", () -> server.requests.size() == 1);
        assertEquals(
                409, balancer.send(session(SESSION_ID, "order"), new byte[1]).status());
        release.countDown();
        assertEquals(200, first.get(30, TimeUnit.SECONDS).status());
        assertEquals(1, server.requests.size());
    }

    /** When a client disconnects its dispatch is cancelled by closing the connection to the server. */
    @Test
    public void disconnectCancelsDispatch() throws Exception {
        server.script = r -> {
            release.await();
            return null;
        };
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "view"), new byte[0]));
            await("dispatched", () -> server.requests.size() == 1);
        }
        await("cancelled", () -> balancer.counter("dispatches_cancelled") == 1);
        assertEquals(1, balancer.counter("sessions_client_gone"));
    }

    @Test
    public void terminatingServerGetsNoNewSessions() throws Exception {
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
        await("the list is applied", () -> balancer.log().contains("generation=2"));
        assertEquals(
                503,
                balancer.send(session(SESSION_ID, "view").replace(": 8000", ": 500"))
                        .status());
        assertEquals(1, server.requests.size());
        assertTrue(discovery.requests.get(0).firstLine().contains("since=1"));
    }

    /** A malformed response of discovery is counted; the current list stays in use. */
    @Test
    public void malformedListKeepsCurrentList() throws Exception {
        discovery.script = r -> HttpMessage.response(200, "", "{\"generation\":\"x\",\"instances\":[{}]}");
        for (Socket socket : discovery.connections) {
            socket.close();
        }
        await("counted", () -> balancer.counter("discovery_malformed") >= 1);
        assertEquals(200, send("view").status());
    }

    @Test
    public void invalidRequestsAreRejected() throws Exception {
        String view = session(SESSION_ID, "view");
        String scan = session(SESSION_ID, "scan");
        assertEquals(400, balancer.send(view.replace(SESSION_ID, "9b1f")).status());
        assertEquals(400, balancer.send(view.replace("X-Txn", "X-Other")).status());
        assertEquals(400, balancer.send(view + "X-Txn: " + SESSION_ID + "\r\n").status());
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

    /** On SIGTERM accepted sessions are answered with Connection: close, and the exit status is 0. */
    @Test
    public void stopAnswersAcceptedSessions() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
        try (Socket accepted = balancer.connect();
                Socket idle = balancer.connect()) {
            idle.getOutputStream().write(HttpMessage.encode("GET /ready HTTP/1.1\r\nHost: a\r\n", new byte[0]));
            assertEquals(200, HttpMessage.read(idle.getInputStream()).status());
            accepted.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            // Opened just before its first request, which is due within 2.4 s; on a loaded machine the first dispatch
            // of a process could take longer.
            try (Socket later = balancer.connect()) {
                long signalNanos = System.nanoTime();
                balancer.process.destroy();
                await("draining", () -> balancer.log().contains("draining"));
                later.getOutputStream()
                        .write(HttpMessage.encode(session("0" + SESSION_ID.substring(1), "order"), new byte[1]));
                // On a slow machine the request may be sent after that time; the balancer may then have closed the idle
                // connection.
                boolean inTime = System.nanoTime() - signalNanos < ACCEPT_AFTER_SIGTERM_NANOS;
                if (inTime) {
                    await("accepted while draining", () -> server.requests.size() == 2);
                }
                // Idle connections are closed while other sessions still wait for their responses.
                assertNull(HttpMessage.read(idle.getInputStream()));
                release.countDown();
                HttpMessage response = HttpMessage.read(accepted.getInputStream());
                assertEquals(200, response.status());
                assertEquals("close", response.header("Connection"));
                if (inTime || server.requests.size() == 2) {
                    assertEquals(200, HttpMessage.read(later.getInputStream()).status());
                } else {
                    assertTrue(BalancerProcess.awaitEnd(later));
                }
                assertNull(HttpMessage.read(accepted.getInputStream()));
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, balancer.process.exitValue());
    }

    /** On SIGTERM open sessions are answered before the platform sends SIGKILL, even if their deadlines are later. */
    @Test
    public void stopAnswersSessionsBeforeSigkill() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "too late");
        };
        try (Socket before = balancer.connect()) {
            before.getOutputStream()
                    .write(HttpMessage.encode(session(SESSION_ID, "order").replace(": 8000", ": 60000"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            // Opened just before its first request: on a loaded machine it would be closed as idle during the first
            // dispatch.
            try (Socket after = balancer.connect()) {
                balancer.process.destroy();
                await("draining", () -> balancer.log().contains("draining"));
                after.getOutputStream()
                        .write(HttpMessage.encode(
                                session("0" + SESSION_ID.substring(1), "view").replace(": 8000", ": 60000"),
                                new byte[0]));
                assertEquals(502, HttpMessage.read(before.getInputStream()).status());
                assertEquals(502, HttpMessage.read(after.getInputStream()).status());
            }
        }
        assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(balancer.log(), balancer.log().contains("sessions_ended_by_stop 2"));
    }

    /**
     * SIGHUP moves the watch to the new discovery address without affecting open sessions; an invalid file changes
     * nothing.
     */
    @Test
    public void sighupMovesDiscoveryOnly() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "across the reload");
        };
        try (ScriptedServer moved = new ScriptedServer(discovery.script);
                Socket accepted = balancer.connect()) {
            accepted.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            await("the watch is open", () -> discovery.requests.size() == 1);
            String valid = Files.readString(balancer.config);
            Files.writeString(balancer.config, valid.substring(0, valid.length() / 2));
            balancer.signal("HUP");
            await("the file is rejected", () -> balancer.counter("reloads_failed") == 1);
            assertEquals(0, discovery.endedConnections.size());
            Files.writeString(balancer.config, valid.replace(discovery.address(), moved.address()));
            balancer.signal("HUP");
            await("the new address is called", () -> moved.requests.size() == 1);
            assertTrue(moved.requests.get(0).firstLine().contains("since=1"));
            assertTrue("the old connection is closed", BalancerProcess.awaitEnd(discovery.connections.get(0)));
            release.countDown();
            assertEquals(200, HttpMessage.read(accepted.getInputStream()).status());
            assertEquals(1, balancer.counter("reloads"));
        }
    }

    /**
     * SIGHUP changes the effect of a class and adds a class; open sessions keep the old settings, and an invalid file
     * changes nothing.
     */
    @Test
    public void newSettingsApplyAfterSighup() throws Exception {
        server.script = r -> {
            release.await();
            return HttpMessage.response(500, "", "");
        };
        try (Socket accepted = balancer.connect()) {
            accepted.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "order"), new byte[1]));
            await("dispatched", () -> server.requests.size() == 1);
            String valid = Files.readString(balancer.config);
            String order = "\"effect\":\"once\",\"key_scope\":\"all\",\"name\":\"order\"";
            assertTrue(valid.contains(order));
            String changed = valid.replace(order, order.replace("once", "repeatable"))
                    .replace("\"name\":\"scan\"", "\"name\":\"sheet\"");
            int rejected = 0;
            for (String text : new String[] {
                "",
                changed.substring(0, changed.length() - 1),
                changed.replace("\"tick\":5000,", ""),
                changed.replace("\"layer\":0", "\"layer\":1"),
                changed.replace("\"max_attempts\":3", "\"max_attempts\":0")
            }) {
                Files.writeString(balancer.config, text);
                balancer.signal("HUP");
                int expected = ++rejected;
                await("the file is rejected", () -> balancer.counter("reloads_failed") == expected);
            }
            assertEquals(
                    405,
                    balancer.send(session(SESSION_ID.replace('9', '8'), "order").replace("POST", "GET"))
                            .status());
            Files.writeString(balancer.config, changed);
            balancer.signal("HUP");
            await("reloaded", () -> balancer.counter("reloads") == 1);
            release.countDown();
            assertEquals(
                    "old effect: once",
                    502,
                    HttpMessage.read(accepted.getInputStream()).status());
            assertEquals(1, server.requests.size());
            server.script = r -> HttpMessage.response(server.requests.size() == 2 ? 500 : 200, "", "");
            assertEquals(
                    "new effect: repeatable",
                    200,
                    balancer.send(session(newSessionId(), "order").replace("POST", "GET"))
                            .status());
            assertEquals(3, server.requests.size());
            assertEquals(
                    200,
                    balancer.send(session(newSessionId(), "scan").replace("X-Lane: scan", "X-Lane: sheet"))
                            .status());
            assertEquals(
                    "a removed class is still served, since clients may not know yet",
                    200,
                    balancer.send(session(newSessionId(), "scan")).status());
        }
    }

    /** The log uses UTC in any time zone, so that logs of several machines can be merged. */
    @Test
    public void logIsInUtcInAnyTimeZone() throws Exception {
        BalancerProcess tokyo = new BalancerProcess("export TZ=Asia/Tokyo; ", 1024, discovery, server);
        try {
            String serving = tokyo.log()
                    .lines()
                    .filter(l -> l.contains(" INFO serving "))
                    .findFirst()
                    .orElseThrow();
            assertTrue(
                    serving,
                    serving.matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z INFO serving name=.*"));
        } finally {
            tokyo.stop();
        }
    }

    /** A balancer started under nohup ignores SIGHUP; it logs this at the start, since reloads will have no effect. */
    @Test
    public void ignoredSighupIsLogged() throws Exception {
        assertFalse(balancer.log().contains("hangup-ignored"));
        BalancerProcess ignoring = new BalancerProcess("trap '' HUP; ", 1024, discovery, server);
        try {
            assertTrue(ignoring.log().contains("hangup-ignored"));
        } finally {
            ignoring.stop();
        }
    }

    /** Denies over the limit of open sessions have a Retry-After header too, unless the settings disable it. */
    @Test
    public void denyOverSessionLimitHasRetryAfter() throws Exception {
        String text = Files.readString(balancer.config).replace("\"max_open\":20000", "\"max_open\":0");
        Files.writeString(balancer.config, text);
        balancer.signal("HUP");
        await("reloaded", () -> balancer.counter("reloads") == 1);
        assertEquals("3.000", send("view").header("Retry-After"));
        Files.writeString(balancer.config, text.replace("\"retry_after\":true", "\"retry_after\":false"));
        balancer.signal("HUP");
        await("reloaded", () -> balancer.counter("reloads") == 2);
        HttpMessage denied = send("view");
        assertEquals(503, denied.status());
        assertEquals(null, denied.header("Retry-After"));
        Files.writeString(balancer.config, text.replace("\"max_retry_after\":3000000", "\"max_retry_after\":400"));
        balancer.signal("HUP");
        await("reloaded", () -> balancer.counter("reloads") == 3);
        assertEquals("not rounded down to 0", "0.001", send("view").header("Retry-After"));
        assertEquals(3, balancer.counter("sessions_over_limit"));
    }

    @Test
    public void invalidConfigurationIsAStartupError() throws Exception {
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

    /** A startup failure is distinct from a planned stop: it has an error message and exit status 1. */
    @Test
    public void addressInUseIsAStartupError() throws Exception {
        Path log = Files.createTempFile("calicochute", ".log");
        Process second = BalancerProcess.start(log, "serve", "--config", balancer.config.toString());
        assertTrue(second.waitFor(30, TimeUnit.SECONDS));
        assertEquals(Files.readString(log), 1, second.exitValue());
        assertTrue(Files.readString(log).contains("cannot listen at"));
        assertEquals(200, send("view").status());
    }
}
