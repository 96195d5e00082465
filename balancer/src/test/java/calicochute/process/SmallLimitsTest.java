package calicochute.process;

import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** A balancer with few descriptors and the JVM flags of the deploy file, which set a small heap. */
public class SmallLimitsTest extends SingleServerFixture {
    private static final int DESCRIPTORS = 256;
    private static final int CLIENTS = 60;

    @Override
    BalancerProcess startBalancer() throws Exception {
        return new BalancerProcess(
                "ulimit -n " + DESCRIPTORS + "; " + BalancerProcess.exportDeployedFlags(),
                DESCRIPTORS,
                discovery,
                server);
    }

    /** Each client sends twice on a connection of its own; all connections are open at the same time. */
    @Test
    public void deployedFlagsServeWithFewDescriptors() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * CLIENTS; i++) {
                if (i < CLIENTS) {
                    // Opened just before its first request, which is due within 2.4 s; on a loaded machine the
                    // earlier requests could take longer.
                    clients.add(balancer.connect());
                }
                clients.get(i % CLIENTS)
                        .getOutputStream()
                        .write(HttpMessage.encode(session(String.format("%016x", i + 1), "scan"), new byte[1000]));
                HttpMessage response = HttpMessage.read(clients.get(i % CLIENTS).getInputStream());
                assertEquals(200, response.status());
                assertEquals("a map", new String(response.body()));
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
