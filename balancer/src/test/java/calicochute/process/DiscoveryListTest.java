package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Lists from discovery that are large, outdated, malformed or contain duplicates; docs/oncall.md states the rule for
 * each case.
 */
public class DiscoveryListTest {
    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private ScriptedServer discovery;
    private ScriptedServer server;
    private ScriptedServer other;
    private BalancerProcess balancer;
    private int sessions;

    /** Starts a discovery service that responds with the queued lists, and a balancer with the deployed heap size. */
    @Before
    public void start() throws Exception {
        discovery = new ScriptedServer(r -> HttpMessage.response(200, "", responses.take()));
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        other = new ScriptedServer(r -> HttpMessage.response(200, "", "another"));
        balancer = BalancerProcess.withMaxHeap("96m", discovery, server);
    }

    @After
    public void stop() throws Exception {
        balancer.stop();
        assertFalse(balancer.log(), balancer.log().contains("OutOfMemory"));
        for (ScriptedServer peer : new ScriptedServer[] {discovery, server, other}) {
            peer.close();
        }
    }

    private void report(int generation, boolean full, String... entries) throws Exception {
        responses.add(listText(generation, full, entries));
        await("the list is applied", () -> balancer.log().contains("generation=" + generation + " "));
    }

    private static String listText(int generation, boolean full, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + full + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    private static String entry(String instanceId, ScriptedServer server, String lifecycle) {
        return "{\"instanceId\":\"" + instanceId + "\",\"hostPort\":\"" + server.address()
                + "\",\"zone\":\"a\",\"machineType\":\"m\"," + "\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    /** Sends a session and returns its status and body; the body names the server. */
    private String sendSession() throws Exception {
        return sendSession(8000);
    }

    private String sendSession(int remainingMs) throws Exception {
        HttpMessage response = balancer.send(BalancerProcess.session(String.format("%016x", ++sessions), "view")
                .replace(": 8000", ": " + remainingMs));
        return response.status() + new String(response.body());
    }

    /**
     * A list of 10,000 entries is applied within the deployed heap; after its replacement none of its entries is used.
     */
    @Test
    public void longListFitsTheDeployedHeap() throws Exception {
        String[] entries = new String[10_000];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = entry("backend-with-a-long-name-" + i, server, "Ready");
        }
        for (int generation = 2; generation < 6; generation++) {
            report(generation, true, entries);
            assertEquals("200a map", sendSession());
        }
        report(6, true, entry("one", other, "Ready"));
        assertEquals("200another", sendSession());
    }

    /**
     * Changes older than the current list are rejected and counted; a full list replaces it, whatever its generation.
     */
    @Test
    public void olderChangesAreRejected() throws Exception {
        report(7, true, entry("one", server, "Ready"), entry("two", other, "Terminating"));
        responses.add(listText(3, false, entry("one", server, "Terminating"), entry("two", other, "Ready")));
        await("the list is rejected", () -> balancer.counter("discovery_older") == 1);
        assertEquals("200a map", sendSession());
        int requestCount = discovery.requests.size();
        await("discovery is called again", () -> discovery.requests.size() > requestCount || requestCount > 2);
        assertTrue(discovery
                .requests
                .get(discovery.requests.size() - 1)
                .firstLine()
                .contains("since=7&"));
        report(2, true, entry("two", other, "Ready"));
        assertEquals("200another", sendSession());
        await(
                "the watch continues from generation 2",
                () -> discovery.requests.stream().anyMatch(r -> r.firstLine().contains("since=2&")));
    }

    /** An older response without entries is no failure: the watch continues from the current generation. */
    @Test
    public void olderResponseWithoutEntriesIsIgnored() throws Exception {
        report(7, true, entry("one", server, "Ready"));
        responses.add(listText(5, false));
        await("discovery is called again", () -> discovery.requests.size() >= 3);
        assertTrue(discovery.requests.get(2).firstLine().contains("since=7&"));
        assertEquals(0, balancer.counter("discovery_failures"));
    }

    /** Two instances at one address are independent: removing one does not affect the other. */
    @Test
    public void instancesAtOneAddressAreIndependent() throws Exception {
        report(2, true, entry("one", server, "Ready"), entry("two", server, "Ready"));
        assertEquals("200a map", sendSession());
        report(3, false, entry("one", server, "Terminating"));
        assertEquals("200a map", sendSession());
        report(4, false, entry("two", server, "Gone"));
        assertEquals("503", sendSession(400));
    }

    /**
     * Of several entries with one id the last counts, in a full list and in changes: an instance that is gone and then
     * ready is ready.
     */
    @Test
    public void lastEntryOfAnIdCounts() throws Exception {
        report(2, true, entry("one", server, "Ready"), entry("one", other, "Ready"));
        assertEquals("200another", sendSession());
        report(3, false, entry("one", other, "Gone"), entry("one", server, "Ready"));
        assertEquals("200a map", sendSession());
        report(4, false, entry("one", server, "Ready"), entry("one", server, "Gone"));
        assertEquals("503", sendSession(400));
    }

    /** A server without a zone is used like one in another zone; the other optional fields have defaults. */
    @Test
    public void serverWithoutZoneIsUsed() throws Exception {
        report(2, true, "{\"instanceId\":\"one\",\"hostPort\":\"" + other.address() + "\",\"lifecycle\":\"Ready\"}");
        assertEquals("200another", sendSession());
        report(
                3,
                true,
                entry("one", other, "Ready").replace("\"zone\":\"a\",", ""),
                entry("two", server, "Terminating"));
        assertEquals("200another", sendSession());
    }

    /** A malformed list between two valid ones is rejected as a whole and counted. */
    @Test
    public void malformedListsAreRejected() throws Exception {
        report(2, true, entry("one", server, "Ready"));
        responses.add(listText(
                3,
                true,
                entry("two", other, "Ready"),
                entry("three", other, "Ready").replace("\"a\"", "null")));
        await("the list is rejected", () -> balancer.counter("discovery_malformed") == 1);
        assertEquals("200a map", sendSession());
        responses.add(discoveryList(4, "Terminating", "s1:80"));
        await("the list is rejected", () -> balancer.counter("discovery_malformed") == 2);
        report(5, true, entry("two", other, "Ready"));
        assertEquals("200another", sendSession());
    }
}
