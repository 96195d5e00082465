package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * Watches whose connection goes silent at different points of a response: the watch is opened anew.
 * {@code WatchScheduleTest} covers the time until then.
 */
public class SilentWatchTest {
    private static final String SESSION_ID = "9b1f03aa5c7e2d41";
    /** How long a call without changes is held; the balancer waits for at least 3.1 s. */
    private static final long HOLD_MS = 500;

    private final CountDownLatch release = new CountDownLatch(1);

    /** A balancer whose first connection to discovery goes silent at a given point. */
    private final class SilentDiscovery {
        final String point;
        final ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        final ScriptedServer discovery;
        final BalancerProcess balancer;

        /**
         * @param responses number of complete responses before the silence
         * @param bytes number of bytes that are sent of the next response; at most all but the last one
         */
        SilentDiscovery(String point, int responses, int bytes) throws Exception {
            this.point = point;
            ScriptedServer[] self = new ScriptedServer[1];
            discovery = self[0] = new ScriptedServer(r -> {
                ScriptedServer current = self[0];
                boolean first = current.connections.size() == 1;
                int received = current.requests.size();
                if (first && received <= responses) {
                    return HttpMessage.response(200, "", discoveryList(1 + received, "Ready", server));
                }
                byte[] change = HttpMessage.response(200, "", indented(discoveryList(9, "Terminating", server)));
                if (first && bytes > 0) {
                    return Arrays.copyOf(change, Math.min(bytes, change.length - 1));
                }
                if (first) {
                    release.await();
                }
                if (r.firstLine().contains("since=9&")) {
                    // No further changes. Held for less than the requested time: a response that is late on a
                    // loaded machine would count as a second silence.
                    release.await(HOLD_MS, TimeUnit.MILLISECONDS);
                    return HttpMessage.response(200, "", "{\"generation\":9,\"reset\":false,\"instances\":[]}");
                }
                return change;
            });
            balancer = new BalancerProcess(discovery, server);
        }

        /** Checks that the changes arrived on a second connection after one counted failure, and are in force. */
        void check() throws Exception {
            await(point + ": the changes are applied", () -> balancer.log().contains("generation=9"));
            assertEquals(point, 2, discovery.connections.size());
            Socket first = discovery.connections.get(0);
            assertTrue(point, first.isClosed() || BalancerProcess.awaitEnd(first));
            assertEquals(point, 1, balancer.counter("discovery_reopened"));
            assertEquals(point, 1, balancer.counter("discovery_failures"));
            int before = server.requests.size();
            assertEquals(
                    point,
                    503,
                    balancer.send(session(SESSION_ID, "view").replace(": 8000", ": 300"))
                            .status());
            assertEquals(point, before, server.requests.size());
        }

        void stop() throws Exception {
            balancer.stop();
            server.close();
            discovery.close();
        }
    }

    private static String indented(String list) {
        return list.replace("{", "{\n\t")
                .replace(",", ",\r\n    ")
                .replace("\":", "\" : ")
                .replace("]", "\n  ]\n");
    }

    /** All points are tested at the same time, so that the timeouts overlap. */
    @Test
    public void silentWatchIsReopened() throws Exception {
        List<SilentDiscovery> discoveries = new ArrayList<>();
        try {
            discoveries.add(new SilentDiscovery("before the first head", 0, 0));
            discoveries.add(new SilentDiscovery("in the first head", 0, 20));
            discoveries.add(new SilentDiscovery("in the first body", 0, 150));
            discoveries.add(new SilentDiscovery("before the last byte", 0, 1 << 20));
            discoveries.add(new SilentDiscovery("between two answers", 2, 0));
            discoveries.add(new SilentDiscovery("in a later head", 1, 20));
            discoveries.add(new SilentDiscovery("in a later body", 1, 150));
            for (SilentDiscovery discovery : discoveries) {
                discovery.check();
            }
        } finally {
            release.countDown();
            for (SilentDiscovery discovery : discoveries) {
                discovery.stop();
            }
        }
    }

    /** A connection that cannot be established is no silent watch: it is retried with backoff. */
    @Test
    public void failedConnectionIsRetried() throws Exception {
        List<Socket> queue = new ArrayList<>();
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            BalancerProcess balancer = new BalancerProcess(discovery, server);
            for (boolean more = true; more; ) {
                Socket client = new Socket();
                queue.add(client);
                try {
                    client.connect(new InetSocketAddress(full.getInetAddress(), full.getLocalPort()), 200);
                } catch (SocketTimeoutException e) {
                    more = false;
                }
            }
            Files.writeString(
                    balancer.config,
                    Files.readString(balancer.config).replace(discovery.address(), "127.0.0.1:" + full.getLocalPort()));
            balancer.signal("HUP");
            await("two attempts have failed", () -> balancer.counter("discovery_failures") >= 2);
            assertEquals(0, balancer.counter("discovery_reopened"));
            assertEquals(200, balancer.send(session(SESSION_ID, "view")).status());
            Files.writeString(
                    balancer.config,
                    Files.readString(balancer.config).replace("127.0.0.1:" + full.getLocalPort(), discovery.address()));
            int before = discovery.requests.size();
            balancer.signal("HUP");
            await("discovery is called again", () -> discovery.requests.size() > before);
            release.countDown();
            balancer.stop();
        } finally {
            for (Socket client : queue) {
                client.close();
            }
        }
    }

    /** With discovery mode {@code pushed} the lists arrive on a watch too, and the first response is applied. */
    @Test
    public void pushedListsAreWatchedFromTheStart() throws Exception {
        try (ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ScriptedServer discovery = new ScriptedServer(r -> {
                    if (r.firstLine().contains("since=2&")) {
                        release.await();
                    }
                    return HttpMessage.response(200, "", discoveryList(2, "Terminating", server));
                })) {
            BalancerProcess balancer = BalancerProcess.withEditedConfig(
                    c -> c.replace("on_request", "pushed").replace("\"ask_every\":1000000,", ""), discovery, server);
            await("the list is applied", () -> balancer.log().contains("generation=2"));
            await("the watch continues", () -> discovery.requests.size() == 2);
            for (Socket socket : discovery.connections) {
                socket.close();
            }
            await("the watch is reopened", () -> discovery.requests.size() == 3);
            release.countDown();
            balancer.stop();
        }
    }

    /** A discovery service that responds at once without changes is called at a limited rate. */
    @Test
    public void immediateResponsesLimitTheCallRate() throws Exception {
        try (ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ScriptedServer discovery = new ScriptedServer(
                        r -> HttpMessage.response(200, "", "{\"generation\":1,\"reset\":false,\"instances\":[]}"))) {
            BalancerProcess balancer = new BalancerProcess(discovery, server);
            long startNanos = System.nanoTime();
            await("12 calls", () -> discovery.requests.size() >= 12);
            assertTrue("calls are at least 0.1 s apart", System.nanoTime() - startNanos > 500_000_000L);
            balancer.stop();
        }
    }
}
