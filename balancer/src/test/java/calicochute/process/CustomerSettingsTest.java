package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.Test;

/**
 * Settings of different customers in a balancer process: it starts, gives each session one response, reloads and stops.
 */
public class CustomerSettingsTest {
    private static final int SESSIONS = 24;
    private final CountDownLatch release = new CountDownLatch(1);
    private final AtomicInteger sessionNumber = new AtomicInteger();

    private String nextSession(String lane, int remainingMs) {
        return session(String.format("%016x", sessionNumber.incrementAndGet()), lane)
                        .replace(": 8000", ": " + remainingMs)
                + (lane.startsWith("c") ? "Idempotency-Key: k" + sessionNumber + "\r\n" : "");
    }

    private void checkServes(UnaryOperator<String> settings, int remainingMs, String... lanes) throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> {
                    if (requestCount.incrementAndGet() % 3 == 0) {
                        release.await();
                    }
                    return HttpMessage.response(200, "", "a map");
                })) {
            BalancerProcess balancer = BalancerProcess.withEditedConfig(settings, discovery, server);
            Set<Integer> statuses = new TreeSet<>();
            for (int i = 0; i < SESSIONS; i++) {
                statuses.add(balancer.send(nextSession(lanes[i % lanes.length], remainingMs), new byte[0])
                        .status());
            }
            assertTrue(statuses.toString(), Set.of(200, 502, 503, 504).containsAll(statuses));
            assertEquals(SESSIONS, balancer.counter("sessions_taken"));
            assertEquals(0, balancer.counter("invariants_broken"));
            assertEquals(0, balancer.counter("module_faults"));
            balancer.signal("HUP");
            await("reloaded", () -> balancer.counter("reloads") == 1);
            balancer.send(nextSession(lanes[0], remainingMs));
            balancer.process.destroy();
            assertTrue(balancer.process.waitFor(30, TimeUnit.SECONDS));
            assertTrue(balancer.log(), balancer.log().contains("drained unanswered=0"));
        } finally {
            release.countDown();
        }
    }

    /** One class, no tenants, times that are short or zero, no retries, no cancellation. */
    @Test
    public void smallestSettings() throws Exception {
        checkServes(
                c -> c.replaceAll("\"accounts\":\\[.*?\\],", "")
                        .replaceAll(
                                "(?s)\"classes\":\\[.*\\],", "\"classes\":[{\"name\":\"order\",\"deadline\":80000}],")
                        .replace("\"conn_idle\":30000000", "\"conn_idle\":1")
                        .replace("\"connect_timeout\":500000", "\"connect_timeout\":10000000")
                        .replace("\"max_attempts\":3", "\"max_attempts\":1")
                        .replace("\"max_open\":20000", "\"max_open\":1")
                        .replace("\"retry_after\":true", "\"retry_after\":false")
                        .replace("\"cancel\":true", "\"cancel\":false")
                        .replace("\"warm_up\":1000", "\"warm_up\":0")
                        .replace("\"fall\":3000000", "\"fall\":0")
                        .replace("\"ask_every\":1000000", "\"ask_every\":1")
                        .replace("\"tick\":5000", "\"tick\":1"),
                80,
                "order");
    }

    /** Thirty classes, twenty tenants and practically infinite times. */
    @Test
    public void largestSettings() throws Exception {
        StringBuilder classes = new StringBuilder();
        StringBuilder tenants = new StringBuilder("{\"name\":\"library\",\"portion\":0.0,\"allowance_per_s\":0.0}");
        for (int i = 0; i < 30; i++) {
            classes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"c")
                    .append(i)
                    .append("\",\"deadline\":86400000000,\"effect\":\"by_key\",\"window\":")
                    .append(i * 1000)
                    .append(",\"points\":0}");
            tenants.append(i < 19 ? ",{\"name\":\"t" + i + "\"}" : "");
        }
        checkServes(
                c -> c.replaceAll("\"accounts\":\\[.*?\\],", "\"accounts\":[" + tenants + "],")
                        .replaceAll("(?s)\"classes\":\\[.*\\],", "\"classes\":[" + classes + "],")
                        .replaceAll(
                                "\"(conn_idle|connect_timeout|ask_every|warm_up|fall|tick)\":\\d+",
                                "\"$1\":576460752303423487")
                        .replace("\"max_attempts\":3", "\"max_attempts\":1000"),
                300,
                "c0",
                "c1",
                "c15",
                "c29");
    }

    /** 256 descriptors and 32 MB, the smallest limits of any platform. */
    @Test
    public void fewDescriptorsAndLittleMemory() throws Exception {
        checkServes(
                c -> c.replace("\"memory_mb\":128,\"sockets\":1024", "\"memory_mb\":32,\"sockets\":256"),
                300,
                "view",
                "order",
                "scan");
    }

    /**
     * For a client with only a few milliseconds the margin for the response is a quarter of them, so that some time is
     * left for the dispatch.
     */
    @Test
    public void shortRemainingTimeAllowsDispatch() throws Exception {
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"))) {
            BalancerProcess balancer = new BalancerProcess(discovery, server);
            await("a session is dispatched", () -> {
                balancer.send(nextSession("view", 14));
                return balancer.counter("dispatches_sent") > 0;
            });
            balancer.stop();
        } finally {
            release.countDown();
        }
    }
}
