package calicochute.process;

import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A balancer that loses a thread it cannot serve without. */
public class LostThreadTest {
    /** Too small for the buffers of the connections that the limit on sockets allows. */
    private static final String HEAP = "14m";

    private static final int CLIENTS = 480;
    /** Sent by each client; the rest of the body is missing, so that the balancer has to hold these bytes. */
    private static final int SENT_BYTES = 8000;

    /**
     * Guards against a process that stays after its I/O threads ended by OutOfMemoryError: it accepted connections, but
     * answered nothing, and the platform did not start it again.
     */
    @Test
    public void processExitsIfItsThreadsEnd() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"))) {
            BalancerProcess balancer = BalancerProcess.withMaxHeap(HEAP, discovery, server);
            try {
                exhaustMemory(balancer, clients);
                assertTrue("the process stays: " + balancer.log(), balancer.process.waitFor(30, TimeUnit.SECONDS));
                assertEquals(1, balancer.process.exitValue());
                assertTrue(balancer.log(), balancer.log().contains("WARN thread-lost "));
            } finally {
                balancer.process.destroyForcibly();
            }
        } finally {
            release.countDown();
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static void exhaustMemory(BalancerProcess balancer, List<Socket> clients) {
        byte[] request = HttpMessage.encode(session(SingleServerFixture.SESSION_ID, "order"), new byte[1 << 16]);
        try {
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = balancer.connect();
                clients.add(client);
                client.getOutputStream().write(request, 0, request.length - (1 << 16) + SENT_BYTES);
            }
        } catch (IOException e) {
            // The process is gone already.
        }
    }
}
