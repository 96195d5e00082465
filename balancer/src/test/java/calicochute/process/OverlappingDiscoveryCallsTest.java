package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Calls to discovery that overlap: which response is used and which connection is closed. {@code WatchScheduleTest}
 * covers the times of the calls.
 */
public class OverlappingDiscoveryCallsTest {
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch nextCall = new CountDownLatch(1);
    private ScriptedServer server;
    private ScriptedServer discovery;
    private BalancerProcess balancer;

    @Before
    public void start() throws Exception {
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
    }

    private interface NumberedScript {
        byte[] respond(int number, HttpMessage request) throws Exception;
    }

    private void startWith(NumberedScript script) throws Exception {
        discovery = numbered(script);
        balancer = new BalancerProcess(discovery, server);
    }

    /**
     * Returns a discovery service whose script gets the number of each call, from 1; once the balancer has generation 9
     * there are no further changes.
     */
    private ScriptedServer numbered(NumberedScript script) throws Exception {
        ScriptedServer[] self = new ScriptedServer[1];
        self[0] = new ScriptedServer(
                r -> r.firstLine().contains("since=9&") ? noChanges(r) : script.respond(self[0].requests.size(), r));
        return self[0];
    }

    /** Responds like discovery without changes: at the end of the requested wait. */
    private byte[] noChanges(HttpMessage request) throws Exception {
        release.await(
                Long.parseLong(request.firstLine().replaceAll(".*timeout_ms=(\\d+).*", "$1")), TimeUnit.MILLISECONDS);
        return HttpMessage.response(200, "", "{\"generation\":9,\"reset\":false,\"instances\":[]}");
    }

    private byte[] firstList() {
        return HttpMessage.response(200, "", discoveryList(2, "Ready", server));
    }

    private byte[] changes() {
        return HttpMessage.response(200, "", discoveryList(9, "Terminating", server));
    }

    private byte[] noResponse() throws Exception {
        release.await();
        return null;
    }

    private void awaitChanges() throws Exception {
        await("the changes are applied", () -> balancer.log().contains("INFO list generation=9 whole=false entries=1"));
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        nextCall.countDown();
        balancer.stop();
        server.close();
        discovery.close();
    }

    /**
     * Two calls in a row stay unanswered. When the third is sent the first of them is abandoned; its late response is
     * not needed, since the third call asks from the same generation.
     */
    @Test
    public void twoUnansweredCallsAndAnAbandonedOne() throws Exception {
        startWith((number, r) -> {
            if (number == 2) {
                nextCall.await();
                return changes();
            }
            if (number == 4) {
                nextCall.countDown();
            }
            return number == 1 ? firstList() : number == 3 ? noResponse() : changes();
        });
        awaitChanges();
        assertEquals(2, balancer.counter("discovery_reopened"));
        assertEquals(2, balancer.counter("discovery_failures"));
        assertEquals(3, discovery.connections.size());
        assertTrue(discovery.requests.get(3).firstLine().contains("since=2&"));
        assertTrue("the second connection is closed", BalancerProcess.awaitEnd(discovery.connections.get(1)));
    }

    /**
     * An unanswered call stays open: its late response is used, the watch continues on its connection, and the second
     * call is closed.
     */
    @Test
    public void lateResponseIsUsed() throws Exception {
        startWith((number, r) -> {
            if (number == 2) {
                nextCall.await();
                return changes();
            }
            if (number == 3) {
                nextCall.countDown();
            }
            return number == 1 ? firstList() : noResponse();
        });
        awaitChanges();
        assertTrue("the second connection is closed", BalancerProcess.awaitEnd(discovery.connections.get(1)));
        await("the watch continues", () -> discovery.requests.size() > 3);
        assertEquals(2, discovery.connections.size());
    }

    /**
     * Connections that are closed on accept while an unanswered call is open: the call is retried until the list
     * arrives.
     */
    @Test
    public void unansweredCallAndThenClosedConnections() throws Exception {
        startWith((number, r) -> {
            if (number == 2) {
                discovery.maxConnections = 1;
                return noResponse();
            }
            return number == 1 ? firstList() : changes();
        });
        await("an unanswered call and a closed connection", () -> balancer.counter("discovery_failures") >= 2);
        assertFalse(balancer.log().contains("generation=9"));
        discovery.connections.get(0).setSoTimeout(50);
        assertThrows(
                "the unanswered call stays open",
                SocketTimeoutException.class,
                () -> discovery.connections.get(0).getInputStream().read());
        discovery.maxConnections = Integer.MAX_VALUE;
        awaitChanges();
        assertTrue("the unanswered call is closed", BalancerProcess.awaitEnd(discovery.connections.get(0)));
    }

    /**
     * Malformed lists, an error status and an older generation in a row: the current list stays until a valid one
     * arrives.
     */
    @Test
    public void invalidResponsesAndThenAValidOne() throws Exception {
        List<byte[]> invalid = List.of(
                HttpMessage.response(200, "", "{\"generation\":9"),
                HttpMessage.response(200, "", discoveryList(9, "Later", server)),
                HttpMessage.response(503, "", ""),
                HttpMessage.response(
                        200, "", discoveryList(1, "Terminating", server).replace("true", "false")));
        startWith((number, r) -> number == 1 ? firstList() : number <= 5 ? invalid.get(number - 2) : changes());
        awaitChanges();
        assertEquals(4, balancer.counter("discovery_failures"));
        assertEquals(2, balancer.counter("discovery_malformed"));
        assertEquals(1, balancer.counter("discovery_older"));
        assertTrue(discovery.requests.get(5).firstLine().contains("since=2&"));
    }

    /**
     * SIGHUP with a new discovery address during an outage: the new address is asked for changes since the current
     * generation, and a first call that hangs there stays open.
     */
    @Test
    public void newAddressInAnOutageAndAHangingFirstCall() throws Exception {
        startWith((number, r) -> number == 1 ? firstList() : noResponse());
        await("the watch is open", () -> discovery.requests.size() == 2);
        ScriptedServer down = discovery;
        down.close();
        await("discovery is unreachable", () -> balancer.counter("discovery_failures") >= 2);
        discovery = numbered((number, r) -> {
            if (number == 1) {
                nextCall.await();
                return changes();
            }
            nextCall.countDown();
            return noResponse();
        });
        Files.writeString(
                balancer.config, Files.readString(balancer.config).replace(down.address(), discovery.address()));
        balancer.signal("HUP");
        awaitChanges();
        assertTrue(discovery.requests.get(0).firstLine().contains("since=2&"));
        assertTrue("the second connection is closed", BalancerProcess.awaitEnd(discovery.connections.get(1)));
    }
}
