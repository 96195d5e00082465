package calicochute.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** SIGTERM as soon as the balancer listens. */
public class EarlyStopTest {
    private static final int ROUNDS = 12;

    private static Socket connectWhenListening(int port) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                assertTrue("does not listen", System.nanoTime() < deadline);
            }
        }
    }

    /** The session on an accepted connection is answered, and the exit status is 0. */
    @Test
    public void sessionAcceptedRightAfterStartIsAnswered() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"))) {
            for (int round = 0; round < ROUNDS; round++) {
                int port = BalancerProcess.freePort();
                Path config = Files.createTempFile("calicochute", ".json");
                Files.writeString(config, BalancerProcess.configuration(port, 0, 1024, discovery, server));
                Path log = Files.createTempFile("calicochute", ".log");
                Process process = BalancerProcess.start(log, "serve", "--config", config.toString());
                try (Socket socket = connectWhenListening(port)) {
                    process.destroy();
                    socket.setSoTimeout(30_000);
                    socket.getOutputStream()
                            .write(HttpMessage.encode(
                                    BalancerProcess.session(String.format("%016x", round), "view"), new byte[0]));
                    HttpMessage response = HttpMessage.read(socket.getInputStream());
                    assertNotNull("round " + round + ": " + Files.readString(log), response);
                    assertEquals(200, response.status());
                }
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
                assertEquals(Files.readString(log), 0, process.exitValue());
                assertTrue(Files.readString(log).contains("invariants_broken 0"));
            }
        } finally {
            release.countDown();
        }
    }
}
