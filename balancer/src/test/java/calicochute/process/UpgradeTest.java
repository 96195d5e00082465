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

/** Two balancer processes, the old and the new version, share a listening socket that the supervisor holds. */
public class UpgradeTest {
    private final CountDownLatch release = new CountDownLatch(1);
    private ScriptedServer discovery;
    private ScriptedServer server;
    private Supervisor supervisor;
    private int sessionNumber;

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
        return session(String.format("%016x", ++sessionNumber), "view");
    }

    /**
     * The old process answers its accepted sessions and closes persistent connections with a response; the new process
     * accepts all new connections.
     */
    @Test
    public void noSessionIsLostDuringUpgrade() throws Exception {
        int old = supervisor.start(freePort(), discovery, server);
        CountDownLatch respond = new CountDownLatch(1);
        try (Socket kept = supervisor.connect();
                Socket idle = supervisor.connect();
                Socket open = supervisor.connect()) {
            for (Socket socket : new Socket[] {kept, idle}) {
                socket.getOutputStream().write(HttpMessage.encode(view(), new byte[0]));
                assertEquals(200, HttpMessage.read(socket.getInputStream()).status());
            }
            server.script = r -> {
                respond.await();
                return HttpMessage.response(200, "", "late");
            };
            open.getOutputStream().write(HttpMessage.encode(view(), new byte[0]));
            await("dispatched", () -> server.requests.size() == 3);
            int next = supervisor.start(freePort(), discovery, server);
            supervisor.signal(old, "TERM");
            await("the old process drains", () -> supervisor.log(old).contains("draining"));
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
            respond.countDown();
            assertEquals(200, HttpMessage.read(open.getInputStream()).status());
            await("the old process has exited", () -> supervisor.hasExited(old));
            assertTrue(supervisor.log(old), supervisor.log(old).contains("drained unanswered=0"));
            assertEquals(200, supervisor.send(view()).status());
            assertFalse(supervisor.hasExited(next));
        }
    }

    /**
     * A cordon survives the process that received it, is lifted by a call to the other process, and is not affected by
     * a truncated file.
     */
    @Test
    public void cordonSurvivesUpgrade() throws Exception {
        int oldAdmin = freePort();
        int newAdmin = freePort();
        int old = supervisor.start(oldAdmin, discovery, server);
        assertEquals(
                200,
                BalancerProcess.callAdmin(oldAdmin, "POST cordon", hostBody(server))
                        .status());
        supervisor.start(newAdmin, discovery, server);
        supervisor.signal(old, "KILL");
        await("the old process has exited", () -> supervisor.hasExited(old));
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

    /** While both processes run, each applies the cordon calls that the other receives. */
    @Test
    public void bothProcessesApplyACall() throws Exception {
        int firstAdminPort = freePort();
        int secondAdminPort = freePort();
        supervisor.start(firstAdminPort, discovery, server);
        supervisor.start(secondAdminPort, discovery, server);
        assertEquals(
                200,
                BalancerProcess.callAdmin(secondAdminPort, "POST cordon", hostBody(server))
                        .status());
        await("the first process has applied the cordon", () -> unavailable(firstAdminPort) == 1);
        assertEquals(
                200,
                BalancerProcess.callAdmin(firstAdminPort, "POST uncordon", hostBody(server))
                        .status());
        await("the second process has applied the uncordon", () -> unavailable(secondAdminPort) == 0);
    }

    /** The new process loads the learned state of the old one; an impossible value in the file is rejected. */
    @Test
    public void learnedStateIsTransferred() throws Exception {
        supervisor.start(freePort(), discovery, server);
        assertEquals(200, supervisor.send(view()).status());
        await(
                "the learned state contains a response",
                () -> Files.readString(supervisor.sharedFolder().resolve("calicochute-n0.learnt"))
                        .contains("\"answers\":1"));
        int next = supervisor.start(freePort(), discovery, server);
        assertTrue(supervisor.log(next), supervisor.log(next).contains("recalled"));
        supervisor.signal(0, "KILL");
        supervisor.signal(next, "KILL");
        await("both processes have exited", () -> supervisor.hasExited(0) && supervisor.hasExited(next));
        Path file = supervisor.sharedFolder().resolve("calicochute-n0.learnt");
        Files.writeString(file, Files.readString(file).replaceFirst("\"typical\":[^,]*", "\"typical\":-1"));
        int third = supervisor.start(freePort(), discovery, server);
        assertFalse(supervisor.log(third), supervisor.log(third).contains("recalled"));
        assertEquals(200, supervisor.send(view()).status());
    }

    /**
     * A class that may be repeated and one of the same name that must not run twice count as different classes: learned
     * state is not loaded if an effect differs.
     */
    @Test
    public void learnedStateOfOtherEffectsIsRejected() throws Exception {
        supervisor.start(freePort(), discovery, server);
        await(
                "the learned state is written",
                () -> Files.exists(supervisor.sharedFolder().resolve("calicochute-n0.learnt")));
        int next = supervisor.start(
                config -> config.replace("\"effect\":\"repeatable\"", "\"effect\":\"once\""),
                freePort(),
                discovery,
                server);
        assertTrue(supervisor.log(next), supervisor.log(next).contains("learnt-foreign"));
        assertFalse(supervisor.log(next), supervisor.log(next).contains("recalled"));
        // Both processes accept on the shared socket, and the first still has the old effect.
        supervisor.signal(0, "KILL");
        await("the first process has exited", () -> supervisor.hasExited(0));
        assertEquals(200, supervisor.send(view().replace("GET", "POST")).status());
    }

    private static int unavailable(int adminPort) throws Exception {
        String text =
                new String(BalancerProcess.callAdmin(adminPort, "GET stats", "").body());
        return Integer.parseInt(text.replaceAll("(?s).*members_unavailable:(\\d+).*", "$1"));
    }
}
