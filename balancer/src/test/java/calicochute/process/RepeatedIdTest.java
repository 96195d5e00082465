package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.freePort;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Guards against a request that runs twice because its id comes again: after its client has left, after its response
 * was lost, or at the other process of an upgrade.
 */
public class RepeatedIdTest {
    private static final String ID = "9b1f03aa5c7e2d41";

    private final CountDownLatch release = new CountDownLatch(1);
    private ScriptedServer discovery;
    private ScriptedServer server;

    @Before
    public void start() throws Exception {
        discovery = ScriptedServer.silent(release);
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        server.close();
        discovery.close();
    }

    private void holdBackResponses() {
        server.script = r -> {
            release.await();
            return HttpMessage.response(200, "", "late");
        };
    }

    private void serveAtOnce() {
        server.script = r -> HttpMessage.response(200, "", "a map");
    }

    @Test
    public void idOfAClientThatLeftIsNotSentAgain() throws Exception {
        BalancerProcess balancer = new BalancerProcess(discovery, server);
        for (String lane : new String[] {"order", "scan"}) {
            server.requests.clear();
            String head = session(lane.equals("order") ? ID : ID.replace('9', '8'), lane);
            holdBackResponses();
            long goneBefore = balancer.counter("sessions_client_gone");
            try (Socket client = balancer.connect()) {
                client.getOutputStream().write(HttpMessage.encode(head, new byte[1]));
                await("dispatched", () -> server.requests.size() == 1);
            }
            await("the client is gone", () -> balancer.counter("sessions_client_gone") == goneBefore + 1);
            serveAtOnce();
            assertEquals(409, balancer.send(head, new byte[1]).status());
            assertEquals(1, server.requests.size());
        }
        balancer.stop();
    }

    @Test
    public void idThatWasServedIsNotSentAgain() throws Exception {
        BalancerProcess balancer = new BalancerProcess(discovery, server);
        assertEquals(200, balancer.send(session(ID, "order"), new byte[1]).status());
        assertEquals(409, balancer.send(session(ID, "order"), new byte[1]).status());
        assertEquals(1, server.requests.size());
        assertEquals(200, balancer.send(session(ID, "view")).status());
        assertEquals(
                "what may be repeated is",
                200,
                balancer.send(session(ID, "view")).status());
        balancer.stop();
    }

    @Test
    public void idIsNotSentAgainByTheNextProcess() throws Exception {
        Supervisor supervisor = new Supervisor();
        try {
            int old = supervisor.start(freePort(), discovery, server);
            String open = session(ID, "order");
            String served = session(ID.replace('9', '7'), "order");
            assertEquals(200, supervisor.send(served, new byte[1]).status());
            holdBackResponses();
            try (Socket client = supervisor.connect()) {
                client.getOutputStream().write(HttpMessage.encode(open, new byte[1]));
                await("dispatched", () -> server.requests.size() == 2);
                supervisor.start(freePort(), discovery, server);
                supervisor.signal(old, "TERM");
                await("the old process drains", () -> supervisor.log(old).contains("draining"));
            }
            serveAtOnce();
            assertEquals(409, supervisor.send(open, new byte[1]).status());
            assertEquals(409, supervisor.send(served, new byte[1]).status());
            assertEquals(2, server.requests.size());
            assertEquals(
                    200,
                    supervisor
                            .send(session(ID.replace('9', '6'), "order"), new byte[1])
                            .status());
            assertTrue(supervisor.log(old), !supervisor.log(old).contains("invariants_broken 1"));
        } finally {
            supervisor.close();
        }
    }
}
