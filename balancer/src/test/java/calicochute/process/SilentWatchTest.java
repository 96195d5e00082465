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
 * Watches that fall silent: {@code WatchScheduleTest} says when that is noticed, and here is what follows, at each
 * point.
 */
public class SilentWatchTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    /** Calls on a watch that stands are given 3.1 s at the least. */
    private static final long HELD_MS = 500;

    private final CountDownLatch release = new CountDownLatch(1);

    /** One balancer, whose first connection to discovery falls silent in its own way. */
    private final class Silent {
        final String point;
        final ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        final ScriptedServer discovery;
        final BalancerProcess balancer;

        /**
         * @param answers before the one that falls silent
         * @param bytes of that one that still come; over a million for all of it but the last
         */
        Silent(String point, int answers, int bytes) throws Exception {
            this.point = point;
            ScriptedServer[] self = new ScriptedServer[1];
            discovery = self[0] = new ScriptedServer(r -> {
                ScriptedServer me = self[0];
                boolean first = me.connections.size() == 1;
                int told = me.requests.size();
                if (first && told <= answers) {
                    return HttpMessage.response(200, "", discoveryList(1 + told, "Ready", server));
                }
                byte[] change = HttpMessage.response(200, "", indented(discoveryList(9, "Terminating", server)));
                if (first && bytes > 0) {
                    return Arrays.copyOf(change, Math.min(bytes, change.length - 1));
                }
                if (first) {
                    release.await();
                }
                if (r.firstLine().contains("since=9&")) {
                    // With nothing to tell. Not held back for as long as was asked: an answer that a loaded machine
                    // brings late would be a
                    // silence of its own, counted with the one that is looked at here.
                    release.await(HELD_MS, TimeUnit.MILLISECONDS);
                    return HttpMessage.response(200, "", "{\"generation\":9,\"reset\":false,\"instances\":[]}");
                }
                return change;
            });
            balancer = new BalancerProcess(discovery, server);
        }

        /**
         * The change that was made meanwhile is in force, on another connection, without a failure told to the module.
         */
        void check() throws Exception {
            await(point + ": told", () -> balancer.log().contains("generation=9"));
            assertEquals(point, 2, discovery.connections.size());
            Socket first = discovery.connections.get(0);
            assertTrue(point, first.isClosed() || BalancerProcess.awaitEnd(first));
            assertEquals(point, 1, balancer.counter("discovery_reopened"));
            assertEquals(point, 1, balancer.counter("discovery_failures"));
            int before = server.requests.size();
            assertEquals(
                    point,
                    503,
                    balancer.send(session(ID, "view").replace(": 8000", ": 300"))
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

    /** All at once, so that their waits pass together. */
    @Test
    public void aSilentWatchIsOpenedAnewAtEachPoint() throws Exception {
        List<Silent> all = new ArrayList<>();
        try {
            all.add(new Silent("before the first head", 0, 0));
            all.add(new Silent("in the first head", 0, 20));
            all.add(new Silent("in the first body", 0, 150));
            all.add(new Silent("before the last byte", 0, 1 << 20));
            all.add(new Silent("between two answers", 2, 0));
            all.add(new Silent("in a later head", 1, 20));
            all.add(new Silent("in a later body", 1, 150));
            for (Silent one : all) {
                one.check();
            }
        } finally {
            release.countDown();
            for (Silent one : all) {
                one.stop();
            }
        }
    }

    /**
     * A connection that never comes up is no silent watch but a way that is down: it is tried again on a new one, and
     * backs off.
     */
    @Test
    public void aConnectionThatNeverComesUpIsTriedAgain() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (ScriptedServer discovery = ScriptedServer.silent(release);
                ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            BalancerProcess balancer = new BalancerProcess(discovery, server);
            for (boolean more = true; more; ) {
                Socket one = new Socket();
                crowd.add(one);
                try {
                    one.connect(new InetSocketAddress(full.getInetAddress(), full.getLocalPort()), 200);
                } catch (SocketTimeoutException e) {
                    more = false;
                }
            }
            Files.writeString(
                    balancer.config,
                    Files.readString(balancer.config).replace(discovery.address(), "127.0.0.1:" + full.getLocalPort()));
            balancer.signal("HUP");
            await("given up twice", () -> balancer.counter("discovery_failures") >= 2);
            assertEquals(0, balancer.counter("discovery_reopened"));
            assertEquals(200, balancer.send(session(ID, "view")).status());
            Files.writeString(
                    balancer.config,
                    Files.readString(balancer.config).replace("127.0.0.1:" + full.getLocalPort(), discovery.address()));
            int before = discovery.requests.size();
            balancer.signal("HUP");
            await("back", () -> discovery.requests.size() > before);
            release.countDown();
            balancer.stop();
        } finally {
            for (Socket one : crowd) {
                one.close();
            }
        }
    }

    /** Where lists are pushed they come on a watch too, and what it has to tell counts from the first moment. */
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
            await("told", () -> balancer.log().contains("generation=2"));
            await("still watched", () -> discovery.requests.size() == 2);
            for (Socket socket : discovery.connections) {
                socket.close();
            }
            await("watched again", () -> discovery.requests.size() == 3);
            release.countDown();
            balancer.stop();
        }
    }

    /** A discovery that answers at once with nothing, time and again, is not called without an end. */
    @Test
    public void answersThatDoNotWaitMakeNoStorm() throws Exception {
        try (ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ScriptedServer discovery = new ScriptedServer(
                        r -> HttpMessage.response(200, "", "{\"generation\":1,\"reset\":false,\"instances\":[]}"))) {
            BalancerProcess balancer = new BalancerProcess(discovery, server);
            long begun = System.nanoTime();
            await("called again and again", () -> discovery.requests.size() >= 12);
            assertTrue("each a tenth of a second after the last", System.nanoTime() - begun > 500_000_000L);
            balancer.stop();
        }
    }
}
