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
 * Calls to discovery that cross each other: {@code WatchScheduleTest} says when each goes out, and here is what becomes
 * of them.
 */
public class OverlappingDiscoveryCallsTest {
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch crossed = new CountDownLatch(1);
    private ScriptedServer server;
    private ScriptedServer discovery;
    private BalancerProcess balancer;

    @Before
    public void start() throws Exception {
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
    }

    private interface Numbered {
        byte[] answer(int number, HttpMessage request) throws Exception;
    }

    private void run(Numbered script) throws Exception {
        discovery = numbered(script);
        balancer = new BalancerProcess(discovery, server);
    }

    /** Discovery whose calls are numbered from 1, until the news is held: then it has nothing to tell. */
    private ScriptedServer numbered(Numbered script) throws Exception {
        ScriptedServer[] self = new ScriptedServer[1];
        self[0] = new ScriptedServer(
                r -> r.firstLine().contains("since=9&") ? nothing(r) : script.answer(self[0].requests.size(), r));
        return self[0];
    }

    /** As discovery does with nothing to tell: its answer comes at the end of the wait. */
    private byte[] nothing(HttpMessage request) throws Exception {
        release.await(
                Long.parseLong(request.firstLine().replaceAll(".*timeout_ms=(\\d+).*", "$1")), TimeUnit.MILLISECONDS);
        return HttpMessage.response(200, "", "{\"generation\":9,\"reset\":false,\"instances\":[]}");
    }

    private byte[] first() {
        return HttpMessage.response(200, "", discoveryList(2, "Ready", server));
    }

    private byte[] news() {
        return HttpMessage.response(200, "", discoveryList(9, "Terminating", server));
    }

    private byte[] silence() throws Exception {
        release.await();
        return null;
    }

    private void told() throws Exception {
        await("told", () -> balancer.log().contains("INFO list generation=9 whole=false entries=1"));
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        crossed.countDown();
        balancer.stop();
        server.close();
        discovery.close();
    }

    /**
     * The third call goes out while the second may still have its turn; the first, given up just then, answers too late
     * and is not missed: the third has asked from the same generation.
     */
    @Test
    public void twoSilencesInARowAndAnAnswerThatIsGivenUp() throws Exception {
        run((number, r) -> {
            if (number == 2) {
                crossed.await();
                return news();
            }
            if (number == 4) {
                crossed.countDown();
            }
            return number == 1 ? first() : number == 3 ? silence() : news();
        });
        told();
        assertEquals(2, balancer.counter("discovery_reopened"));
        assertEquals(2, balancer.counter("discovery_failures"));
        assertEquals(3, discovery.connections.size());
        assertTrue(discovery.requests.get(3).firstLine().contains("since=2&"));
        assertTrue("the second is let go", BalancerProcess.awaitEnd(discovery.connections.get(1)));
    }

    /**
     * A call that counts as silent keeps its turn: its answer is taken, the watch goes on there, and the second call
     * ends.
     */
    @Test
    public void aLateAnswerIsTaken() throws Exception {
        run((number, r) -> {
            if (number == 2) {
                crossed.await();
                return news();
            }
            if (number == 3) {
                crossed.countDown();
            }
            return number == 1 ? first() : silence();
        });
        told();
        assertTrue("the second is let go", BalancerProcess.awaitEnd(discovery.connections.get(1)));
        await("goes on", () -> discovery.requests.size() > 3);
        assertEquals(2, discovery.connections.size());
    }

    /** Connections that end as they come up, while the silent call is out: tried again, and the list comes. */
    @Test
    public void aSilenceAndThenResets() throws Exception {
        run((number, r) -> {
            if (number == 2) {
                discovery.maxConnections = 1;
                return silence();
            }
            return number == 1 ? first() : news();
        });
        await("a silence and a reset", () -> balancer.counter("discovery_failures") >= 2);
        assertFalse(balancer.log().contains("generation=9"));
        discovery.connections.get(0).setSoTimeout(50);
        assertThrows(
                "the silent one keeps its turn",
                SocketTimeoutException.class,
                () -> discovery.connections.get(0).getInputStream().read());
        discovery.maxConnections = Integer.MAX_VALUE;
        told();
        assertTrue("the silent one is let go", BalancerProcess.awaitEnd(discovery.connections.get(0)));
    }

    /**
     * What can't be read, a refusal in words and an older word, one behind the other: the list held stays, and the good
     * one comes.
     */
    @Test
    public void whatIsNoListAndThenOne() throws Exception {
        List<byte[]> bad = List.of(
                HttpMessage.response(200, "", "{\"generation\":9"),
                HttpMessage.response(200, "", discoveryList(9, "Later", server)),
                HttpMessage.response(503, "", ""),
                HttpMessage.response(
                        200, "", discoveryList(1, "Terminating", server).replace("true", "false")));
        run((number, r) -> number == 1 ? first() : number <= 5 ? bad.get(number - 2) : news());
        told();
        assertEquals(4, balancer.counter("discovery_failures"));
        assertEquals(2, balancer.counter("discovery_malformed"));
        assertEquals(1, balancer.counter("discovery_older"));
        assertTrue(discovery.requests.get(5).firstLine().contains("since=2&"));
    }

    /**
     * SIGHUP in an outage: asked at the new address from the version held, and a first call that hangs there keeps its
     * turn.
     */
    @Test
    public void aMoveInAnOutageAndAFirstCallThatHangs() throws Exception {
        run((number, r) -> number == 1 ? first() : silence());
        await("watched", () -> discovery.requests.size() == 2);
        ScriptedServer down = discovery;
        down.close();
        await("down", () -> balancer.counter("discovery_failures") >= 2);
        discovery = numbered((number, r) -> {
            if (number == 1) {
                crossed.await();
                return news();
            }
            crossed.countDown();
            return silence();
        });
        Files.writeString(
                balancer.config, Files.readString(balancer.config).replace(down.address(), discovery.address()));
        balancer.signal("HUP");
        told();
        assertTrue(discovery.requests.get(0).firstLine().contains("since=2&"));
        assertTrue("the second is let go", BalancerProcess.awaitEnd(discovery.connections.get(1)));
    }
}
