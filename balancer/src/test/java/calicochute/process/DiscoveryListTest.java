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

/** Lists that are large, old or say one thing twice: each follows a rule that docs/oncall.md states. */
public class DiscoveryListTest {
    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    private ScriptedServer discovery;
    private ScriptedServer server;
    private ScriptedServer other;
    private BalancerProcess balancer;
    private int sessions;

    /** Discovery that tells what the test puts in line; the heap is that of the deployment. */
    @Before
    public void start() throws Exception {
        discovery = new ScriptedServer(r -> HttpMessage.response(200, "", lists.take()));
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

    private void tell(int generation, boolean whole, String... entries) throws Exception {
        lists.add(whole(generation, whole, entries));
        await("told", () -> balancer.log().contains("generation=" + generation + " "));
    }

    private static String whole(int generation, boolean whole, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    private static String entry(String id, ScriptedServer at, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + at.address()
                + "\",\"zone\":\"a\",\"machineType\":\"m\"," + "\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    /** A session's answer: its status and, if it was served, by whom. */
    private String served() throws Exception {
        return session(8000);
    }

    private String session(int remainingMs) throws Exception {
        HttpMessage answer = balancer.send(BalancerProcess.session(String.format("%016x", ++sessions), "view")
                .replace(": 8000", ": " + remainingMs));
        return answer.status() + new String(answer.body());
    }

    /** Taken in whole within the deployment's heap, and left again; nothing of it is used afterwards. */
    @Test
    public void tenThousandEntries() throws Exception {
        String[] many = new String[10_000];
        for (int i = 0; i < many.length; i++) {
            many[i] = entry("backend-with-a-long-name-" + i, server, "Ready");
        }
        for (int generation = 2; generation < 6; generation++) {
            tell(generation, true, many);
            assertEquals("200a map", served());
        }
        tell(6, true, entry("one", other, "Ready"));
        assertEquals("200another", served());
    }

    /**
     * Changes older than the list held are refused and counted; a whole list says anew what there is, however it is
     * numbered.
     */
    @Test
    public void anOlderGeneration() throws Exception {
        tell(7, true, entry("one", server, "Ready"), entry("two", other, "Terminating"));
        lists.add(whole(3, false, entry("one", server, "Terminating"), entry("two", other, "Ready")));
        await("refused", () -> balancer.counter("discovery_older") == 1);
        assertEquals("200a map", served());
        int asked = discovery.requests.size();
        await("asked again", () -> discovery.requests.size() > asked || asked > 2);
        assertTrue(discovery
                .requests
                .get(discovery.requests.size() - 1)
                .firstLine()
                .contains("since=7&"));
        tell(2, true, entry("two", other, "Ready"));
        assertEquals("200another", served());
        await(
                "goes on from there",
                () -> discovery.requests.stream().anyMatch(r -> r.firstLine().contains("since=2&")));
    }

    /** Nothing is in an older answer without entries: the watch goes on from the newest held. */
    @Test
    public void anOlderAnswerThatTellsNothing() throws Exception {
        tell(7, true, entry("one", server, "Ready"));
        lists.add(whole(5, false));
        await("asked again", () -> discovery.requests.size() >= 3);
        assertTrue(discovery.requests.get(2).firstLine().contains("since=7&"));
        assertEquals(0, balancer.counter("discovery_failures"));
    }

    /** Two names of one machine: each stands for itself, and the one that goes takes nothing from the other. */
    @Test
    public void twoEntriesAtOneAddress() throws Exception {
        tell(2, true, entry("one", server, "Ready"), entry("two", server, "Ready"));
        assertEquals("200a map", served());
        tell(3, false, entry("one", server, "Terminating"));
        assertEquals("200a map", served());
        tell(4, false, entry("two", server, "Gone"));
        assertEquals("503", session(400));
    }

    /** The last entry of an id counts, in a whole list and among changes: gone and back at once is back. */
    @Test
    public void twoEntriesWithOneId() throws Exception {
        tell(2, true, entry("one", server, "Ready"), entry("one", other, "Ready"));
        assertEquals("200another", served());
        tell(3, false, entry("one", other, "Gone"), entry("one", server, "Ready"));
        assertEquals("200a map", served());
        tell(4, false, entry("one", server, "Ready"), entry("one", server, "Gone"));
        assertEquals("503", session(400));
    }

    /**
     * One without a zone is in none of the named ones, and is used like one abroad; other fields have plain defaults.
     */
    @Test
    public void anEntryWithoutAZone() throws Exception {
        tell(2, true, "{\"instanceId\":\"one\",\"hostPort\":\"" + other.address() + "\",\"lifecycle\":\"Ready\"}");
        assertEquals("200another", served());
        tell(3, true, entry("one", other, "Ready").replace("\"zone\":\"a\",", ""), entry("two", server, "Terminating"));
        assertEquals("200another", served());
    }

    /** What is no list at all is refused whole and counted, between two good ones. */
    @Test
    public void whatIsNoListIsRefused() throws Exception {
        tell(2, true, entry("one", server, "Ready"));
        lists.add(whole(
                3,
                true,
                entry("two", other, "Ready"),
                entry("three", other, "Ready").replace("\"a\"", "null")));
        await("refused", () -> balancer.counter("discovery_malformed") == 1);
        assertEquals("200a map", served());
        lists.add(discoveryList(4, "Terminating", "s1:80"));
        await("refused", () -> balancer.counter("discovery_malformed") == 2);
        tell(5, true, entry("two", other, "Ready"));
        assertEquals("200another", served());
    }
}
