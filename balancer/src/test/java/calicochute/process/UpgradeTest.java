package calicochute.process;

import static calicochute.process.Program.await;
import static calicochute.process.Program.freePort;
import static calicochute.process.Program.host;
import static calicochute.process.Program.session;
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

/** A new version beside the old one, on a listening socket that the platform holds. */
public class UpgradeTest {
    private final CountDownLatch release = new CountDownLatch(1);
    private Peer discovery;
    private Peer server;
    private Platform platform;
    private int sent;

    @Before
    public void start() throws Exception {
        discovery = Peer.silent(release);
        server = new Peer(r -> Http.answer(200, "", "a map"));
        platform = new Platform();
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        platform.close();
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
        int old = platform.start(freePort(), discovery, server);
        CountDownLatch answer = new CountDownLatch(1);
        try (Socket kept = platform.connect();
                Socket idle = platform.connect();
                Socket open = platform.connect()) {
            for (Socket socket : new Socket[] {kept, idle}) {
                socket.getOutputStream().write(Http.message(view(), new byte[0]));
                assertEquals(200, Http.read(socket.getInputStream()).status());
            }
            server.script = r -> {
                answer.await();
                return Http.answer(200, "", "late");
            };
            open.getOutputStream().write(Http.message(view(), new byte[0]));
            await("it is with the server", () -> server.requests.size() == 3);
            int next = platform.start(freePort(), discovery, server);
            platform.signal(old, "TERM");
            await("the old one leaves", () -> platform.log(old).contains("draining"));
            assertTrue(platform.log(old), platform.log(old).contains("accompanied=true"));
            server.script = r -> Http.answer(200, "", "a map");
            kept.getOutputStream().write(Http.message(view(), new byte[0]));
            Http last = Http.read(kept.getInputStream());
            assertEquals(200, last.status());
            assertEquals("close", last.header("Connection"));
            for (int i = 0; i < 20; i++) {
                assertEquals(200, platform.send(view()).status());
            }
            assertTrue(Program.ended(idle));
            assertFalse(platform.ended(old));
            answer.countDown();
            assertEquals(200, Http.read(open.getInputStream()).status());
            await("the old one ends", () -> platform.ended(old));
            assertTrue(platform.log(old), platform.log(old).contains("drained unanswered=0"));
            assertEquals(200, platform.send(view()).status());
            assertFalse(platform.ended(next));
        }
    }

    /**
     * A ban outlives the process that heard it, is lifted by a call to the other one, and a torn file changes nothing.
     */
    @Test
    public void aBanHoldsAcrossAnUpgrade() throws Exception {
        int oldAdmin = freePort();
        int newAdmin = freePort();
        int old = platform.start(oldAdmin, discovery, server);
        assertEquals(200, Program.admin(oldAdmin, "POST cordon", host(server)).status());
        platform.start(newAdmin, discovery, server);
        platform.signal(old, "KILL");
        await("the old one is gone", () -> platform.ended(old));
        assertEquals(503, platform.send(view().replace(": 8000", ": 300")).status());
        assertEquals(0, server.requests.size());
        Files.writeString(platform.shared().resolve("calicochute-n0.out"), "{\"version\":1,\"out\":[{");
        assertEquals(503, platform.send(view().replace(": 8000", ": 300")).status());
        assertEquals(200, Program.admin(newAdmin, "POST uncordon", host(server)).status());
        assertEquals(200, platform.send(view()).status());
    }

    /** While both live each hears of a call to the other. */
    @Test
    public void bothProcessesHearACall() throws Exception {
        int one = freePort();
        int two = freePort();
        platform.start(one, discovery, server);
        platform.start(two, discovery, server);
        assertEquals(200, Program.admin(two, "POST cordon", host(server)).status());
        await("the first one has heard", () -> unavailable(one) == 1);
        assertEquals(200, Program.admin(one, "POST uncordon", host(server)).status());
        await("the second one has heard", () -> unavailable(two) == 0);
    }

    /** The newcomer knows what the old one has learnt; what no module can have learnt is not taken. */
    @Test
    public void whatWasLearntGoesOver() throws Exception {
        platform.start(freePort(), discovery, server);
        assertEquals(200, platform.send(view()).status());
        await(
                "it has noted an answer",
                () -> Files.readString(platform.shared().resolve("calicochute-n0.learnt"))
                        .contains("\"answers\":1"));
        int next = platform.start(freePort(), discovery, server);
        assertTrue(platform.log(next), platform.log(next).contains("recalled"));
        platform.signal(0, "KILL");
        platform.signal(next, "KILL");
        await("both are gone", () -> platform.ended(0) && platform.ended(next));
        Path file = platform.shared().resolve("calicochute-n0.learnt");
        Files.writeString(file, Files.readString(file).replaceFirst("\"typical\":[^,]*", "\"typical\":-1"));
        int third = platform.start(freePort(), discovery, server);
        assertFalse(platform.log(third), platform.log(third).contains("recalled"));
        assertEquals(200, platform.send(view()).status());
    }

    /**
     * A class of the same name that may not run twice any more is another class: what was learnt of it and around it is
     * not taken.
     */
    @Test
    public void whatWasLearntUnderOtherEffectsStaysBehind() throws Exception {
        platform.start(freePort(), discovery, server);
        await("it has noted", () -> Files.exists(platform.shared().resolve("calicochute-n0.learnt")));
        int next = platform.start(
                text -> text.replace("\"effect\":\"repeatable\"", "\"effect\":\"once\""),
                freePort(),
                discovery,
                server);
        assertTrue(platform.log(next), platform.log(next).contains("learnt-foreign"));
        assertFalse(platform.log(next), platform.log(next).contains("recalled"));
        // Both accept at the one socket, and the first one still takes the class for what it was.
        platform.signal(0, "KILL");
        await("the first is gone", () -> platform.ended(0));
        assertEquals(200, platform.send(view().replace("GET", "POST")).status());
    }

    private static int unavailable(int admin) throws Exception {
        String text = new String(Program.admin(admin, "GET stats", "").body());
        return Integer.parseInt(text.replaceAll("(?s).*members_unavailable:(\\d+).*", "$1"));
    }
}
