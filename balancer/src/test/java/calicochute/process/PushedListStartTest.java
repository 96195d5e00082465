package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Guards against a process that, where lists are pushed, serves by the old list of its configuration before it has
 * asked discovery, and so sends to servers that drain.
 */
public class PushedListStartTest {
    private static final int REQUESTS = 30;
    private static final long DISCOVERY_DELAY_MS = 300;
    private static final UnaryOperator<String> PUSHED =
            config -> config.replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"");

    private ScriptedServer draining;
    private ScriptedServer ready;
    private ScriptedDiscovery discovery;
    private BalancerProcess balancer;

    @Before
    public void start() throws Exception {
        draining = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        ready = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        discovery = new ScriptedDiscovery(draining, ready);
        discovery.set(draining, "Terminating", 0);
    }

    @After
    public void stop() throws Exception {
        balancer.process.destroyForcibly();
        discovery.close();
        draining.close();
        ready.close();
    }

    private void startBalancer() throws Exception {
        balancer = BalancerProcess.withEditedConfig(PUSHED, discovery.server, draining, ready);
    }

    private void sendAll() throws Exception {
        for (int i = 1; i <= REQUESTS; i++) {
            assertEquals(
                    200,
                    balancer.send(session(String.format("%016x", i), "view")).status());
        }
    }

    @Test
    public void aProcessThatIsReadyServesByWhatDiscoveryHas() throws Exception {
        ScriptedServer.Script script = discovery.server.script;
        discovery.server.script = request -> {
            Thread.sleep(DISCOVERY_DELAY_MS);
            return script.respond(request);
        };
        startBalancer();
        sendAll();
        assertEquals(0, draining.requests.size());
        assertFalse(balancer.log(), balancer.log().contains("list-not-awaited"));
    }

    @Test
    public void aSilentDiscoveryDoesNotHoldTheStartBack() throws Exception {
        ScriptedServer.Script script = discovery.server.script;
        discovery.server.script = request -> {
            Thread.sleep(Long.MAX_VALUE);
            return null;
        };
        startBalancer();
        assertTrue(balancer.log(), balancer.log().contains("WARN list-not-awaited"));
        sendAll();
        discovery.server.script = script;
        await("the list is read", () -> balancer.log().contains("INFO list generation=2"));
    }

    @Test
    public void aDiscoveryThatIsDownDoesNotHoldTheStartBack() throws Exception {
        discovery.setDown(true);
        startBalancer();
        assertFalse(balancer.log(), balancer.log().contains("list-not-awaited"));
        sendAll();
    }
}
