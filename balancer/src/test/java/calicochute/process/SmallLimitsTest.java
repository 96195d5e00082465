package calicochute.process;

import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.Test;

/**
 * Another customer's limits: few descriptors, a small memory and short deadlines, under the very flags that the deploy
 * file starts the balancer with.
 */
public class SmallLimitsTest extends SingleServerFixture {
    private static final int DESCRIPTORS = 256;
    private static final int CLIENTS = 60;

    /** Without the archive and the place of the log's lines: both are of the built file, not of the flags' sizes. */
    private static String flags() throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar ")
                .matcher(Files.readString(Path.of("../deploy/balancer.toml")));
        assertTrue(run.find());
        return run.group(1)
                .replaceAll("-XX:SharedArchiveFile=\\S+|-Xlog:\\S+", "")
                .trim();
    }

    @Override
    BalancerProcess startBalancer() throws Exception {
        return new BalancerProcess(
                "ulimit -n " + DESCRIPTORS + "; export JAVA_TOOL_OPTIONS='" + flags() + "'; ",
                DESCRIPTORS,
                discovery,
                server);
    }

    /** Each client on a connection of its own, all open at once and held open; the second time on kept ones. */
    @Test
    public void theDeployedFlagsServeWithFewDescriptors() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * CLIENTS; i++) {
                if (i < CLIENTS) {
                    // Only now: a connection has its first request within 2.4 s, which those before it may take on a
                    // loaded machine.
                    clients.add(balancer.connect());
                }
                clients.get(i % CLIENTS)
                        .getOutputStream()
                        .write(HttpMessage.encode(session(String.format("%016x", i + 1), "scan"), new byte[1000]));
                HttpMessage answer = HttpMessage.read(clients.get(i % CLIENTS).getInputStream());
                assertEquals(200, answer.status());
                assertEquals("a map", new String(answer.body()));
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
        assertEquals(2 * CLIENTS, server.requests.size());
        assertEquals(0, balancer.counter("acceptor_waits"));
        assertEquals(0, balancer.counter("clients_closed_for_room"));
    }
}
