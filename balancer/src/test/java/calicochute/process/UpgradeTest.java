package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.freePort;
import static calicochute.process.BalancerProcess.hostBody;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A new version beside the old one, on a listening socket that the supervisor holds. */
public class UpgradeTest {
    private final CountDownLatch release = new CountDownLatch(1);
    private ScriptedServer discovery;
    private ScriptedServer server;
    private Supervisor supervisor;
    private int sent;

    @Before
    public void start() throws Exception {
        discovery = ScriptedServer.silent(release);
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        supervisor = new Supervisor();
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        supervisor.close();
        server.close();
        discovery.close();
    }

    private String view() {
        return session(String.format("%016x", ++sent), "view");
    }

    /**
     * What the old one has taken it answers; a kept connection ends with an answer; the new one takes all that is new.
     */
    @Test
    public void nothingIsLostWhenTheNewOneTakesOver() throws Exception {
        int old = supervisor.start(freePort(), discovery, server);
        CountDownLatch answer = new CountDownLatch(1);
        try (Socket kept = supervisor.connect();
                Socket idle = supervisor.connect();
                Socket open = supervisor.connect()) {
            for (Socket socket : new Socket[] {kept, idle}) {
                socket.getOutputStream().write(HttpMessage.encode(view(), new byte[0]));
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
            server.script = r -> {
                answer.await();
                return HttpMessage.response(200, "", "late");
            };
            open.getOutputStream().write(HttpMessage.encode(view(), new byte[0]));
            await("it is with the server", () -> server.requests.size() == 3);
            int next = supervisor.start(freePort(), discovery, server);
            supervisor.signal(old, "TERM");
            await("the old one leaves", () -> supervisor.log(old).contains("draining"));
            assertTrue(supervisor.log(old), supervisor.log(old).contains("accompanied=true"));
            server.script = r -> HttpMessage.response(200, "", "a map");
            kept.getOutputStream().write(HttpMessage.encode(view(), new byte[0]));
            HttpMessage last = HttpMessage.read(kept.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.header("Connection"));
            for (int i = 0; i < 20; i++) {
                assertEquals(200, supervisor.send(view()).status());
            }
            assertTrue(BalancerProcess.awaitEnd(idle));
            assertFalse(supervisor.hasExited(old));
            answer.countDown();
            assertEquals(200, HttpMessage.read(open.getInputStream()).status());
            await("the old one ends", () -> supervisor.hasExited(old));
            assertTrue(supervisor.log(old), supervisor.log(old).contains("drained unanswered=0"));
            assertEquals(200, supervisor.send(view()).status());
            assertFalse(supervisor.hasExited(next));
        }
    }

    /**
     * A ban outlives the process that heard it, is lifted by a call to the other one, and a torn file changes nothing.
     */
    @Test
    public void aBanHoldsAcrossAnUpgrade() throws Exception {
        int oldAdmin = freePort();
        int newAdmin = freePort();
        int old = supervisor.start(oldAdmin, discovery, server);
        assertEquals(
                200,
                BalancerProcess.callAdmin(oldAdmin, "POST cordon", hostBody(server))
                        .status());
        supervisor.start(newAdmin, discovery, server);
        supervisor.signal(old, "KILL");
        await("the old one is gone", () -> supervisor.hasExited(old));
        assertEquals(503, supervisor.send(view().replace(": 8000", ": 300")).status());
        assertEquals(0, server.requests.size());
        Files.writeString(supervisor.sharedFolder().resolve("calicochute-n0.out"), "{\"version\":1,\"out\":[{");
        assertEquals(503, supervisor.send(view().replace(": 8000", ": 300")).status());
        assertEquals(
                200,
                BalancerProcess.callAdmin(newAdmin, "POST uncordon", hostBody(server))
                        .status());
        assertEquals(200, supervisor.send(view()).status());
    }

    /** While both live each hears of a call to the other. */
    @Test
    public void bothProcessesHearACall() throws Exception {
        int one = freePort();
        int two = freePort();
        supervisor.start(one, discovery, server);
        supervisor.start(two, discovery, server);
        assertEquals(
                200,
                BalancerProcess.callAdmin(two, "POST cordon", hostBody(server)).status());
        await("the first one has heard", () -> unavailable(one) == 1);
        assertEquals(
                200,
                BalancerProcess.callAdmin(one, "POST uncordon", hostBody(server))
                        .status());
        await("the second one has heard", () -> unavailable(two) == 0);
    }

    /** The newcomer knows what the old one has learnt; what no module can have learnt is not taken. */
    @Test
    public void whatWasLearntGoesOver() throws Exception {
        supervisor.start(freePort(), discovery, server);
        assertEquals(200, supervisor.send(view()).status());
        await(
                "it has noted an answer",
                () -> Files.readString(supervisor.sharedFolder().resolve("calicochute-n0.learnt"))
                        .contains("\"answers\":1"));
        int next = supervisor.start(freePort(), discovery, server);
        assertTrue(supervisor.log(next), supervisor.log(next).contains("recalled"));
        supervisor.signal(0, "KILL");
        supervisor.signal(next, "KILL");
        await("both are gone", () -> supervisor.hasExited(0) && supervisor.hasExited(next));
        Path file = supervisor.sharedFolder().resolve("calicochute-n0.learnt");
        Files.writeString(file, Files.readString(file).replaceFirst("\"typical\":[^,]*", "\"typical\":-1"));
        int third = supervisor.start(freePort(), discovery, server);
        assertFalse(supervisor.log(third), supervisor.log(third).contains("recalled"));
        assertEquals(200, supervisor.send(view()).status());
    }

    /**
     * A class of the same name that may not run twice any more is another class: what was learnt of it and around it is
     * not taken.
     */
    @Test
    public void whatWasLearntUnderOtherEffectsStaysBehind() throws Exception {
        supervisor.start(freePort(), discovery, server);
        await("it has noted", () -> Files.exists(supervisor.sharedFolder().resolve("calicochute-n0.learnt")));
        int next = supervisor.start(
                text -> text.replace("\"effect\":\"repeatable\"", "\"effect\":\"once\""),
                freePort(),
                discovery,
                server);
        assertTrue(supervisor.log(next), supervisor.log(next).contains("learnt-foreign"));
        assertFalse(supervisor.log(next), supervisor.log(next).contains("recalled"));
        // Both accept at the one socket, and the first one still takes the class for what it was.
        supervisor.signal(0, "KILL");
        await("the first is gone", () -> supervisor.hasExited(0));
        assertEquals(200, supervisor.send(view().replace("GET", "POST")).status());
    }

    private static int unavailable(int adminPort) throws Exception {
        String text =
                new String(BalancerProcess.callAdmin(adminPort, "GET stats", "").body());
        return Integer.parseInt(text.replaceAll("(?s).*members_unavailable:(\\d+).*", "$1"));
    }
}
