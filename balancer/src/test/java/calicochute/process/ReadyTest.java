package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.discoveryList;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Test;

/**
 * What a process waits for before it is ready, and sessions that arrive earlier. {@link ReadyTable} measures the time.
 */
public class ReadyTest {
    private static final String SESSION_ID = "9b1f03aa5c7e2d41";
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch finished = new CountDownLatch(1);
    /** Response to a session that a client tries to send from before the process starts. */
    private final CompletableFuture<HttpMessage> earlyResponse = new CompletableFuture<>();

    private BalancerProcess balancer;

    @After
    public void releaseAll() {
        release.countDown();
        finished.countDown();
        if (balancer != null) {
            balancer.process.destroyForcibly();
        }
    }

    /** Starts a client that tries to connect until the process listens, and then sends a session. */
    private String startEarlyClient(String configuration) {
        int port = Integer.parseInt(configuration.replaceAll("(?s).*\"listen\":\"127.0.0.1:(\\d+)\".*", "$1"));
        Thread client = new Thread(() -> {
            while (finished.getCount() > 0) {
                // From another address: repeated attempts from the same one could get the port as local port and
                // connect to themselves.
                try (Socket socket =
                        new Socket(InetAddress.getLoopbackAddress(), port, InetAddress.getByName("127.0.0.2"), 0)) {
                    socket.setSoTimeout(30_000);
                    try {
                        socket.getOutputStream().write(HttpMessage.encode(session(SESSION_ID, "view"), new byte[0]));
                        earlyResponse.complete(HttpMessage.read(socket.getInputStream()));
                    } catch (IOException e) {
                        earlyResponse.completeExceptionally(e);
                    }
                    return;
                } catch (IOException e) {
                    // Nobody listens yet.
                }
            }
        });
        client.setDaemon(true);
        client.start();
        return configuration;
    }

    private void assertEarlySessionServed() throws Exception {
        assertEquals(200, earlyResponse.get(30, TimeUnit.SECONDS).status());
    }

    private static ScriptedServer server() throws IOException {
        return new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
    }

    @Test
    public void readyDoesNotWaitForRefusedDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer unused = ScriptedServer.silent(release);
                Socket bound = new Socket()) {
            // Bound but not listening: connections are refused, and no other socket gets the port.
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            UnaryOperator<String> refused = c -> c.replace(unused.address(), "127.0.0.1:" + bound.getLocalPort());
            balancer = BalancerProcess.withEditedConfig(c -> startEarlyClient(refused.apply(c)), unused, server);
            assertEarlySessionServed();
            await("the connection to discovery is refused", () -> balancer.counter("discovery_failures") > 0);
            assertTrue(unused.connections.isEmpty());
            balancer.stop();
        }
    }

    @Test
    public void readyDoesNotWaitForSilentDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = ScriptedServer.silent(release)) {
            balancer = BalancerProcess.withEditedConfig(this::startEarlyClient, discovery, server);
            assertEarlySessionServed();
            await("discovery is called", () -> !discovery.requests.isEmpty());
            balancer.stop();
        }
    }

    /** The first response of discovery arrives after the process is ready, and is then applied. */
    @Test
    public void readyDoesNotWaitForSlowDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = new ScriptedServer(r -> {
                    release.await();
                    if (r.firstLine().contains("since=9&")) {
                        finished.await();
                    }
                    return HttpMessage.response(200, "", discoveryList(9, "Terminating", server));
                })) {
            balancer = BalancerProcess.withEditedConfig(this::startEarlyClient, discovery, server);
            assertEarlySessionServed();
            assertFalse(balancer.log().contains("generation=9"));
            release.countDown();
            await("the list is applied", () -> balancer.log().contains("generation=9"));
            finished.countDown();
            balancer.stop();
        }
    }

    /** Without a known list there are no backend servers: the process is ready only after discovery's first list. */
    @Test
    public void withoutKnownListReadyWaitsForDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = new ScriptedServer(r -> {
                    release.await();
                    if (!r.firstLine().contains("since=0&")) {
                        finished.await();
                    }
                    return HttpMessage.response(200, "", discoveryList(1, "Ready", server));
                })) {
            CompletableFuture<Integer> port = new CompletableFuture<>();
            CompletableFuture<BalancerProcess> starting = CompletableFuture.supplyAsync(() -> {
                try {
                    return BalancerProcess.withEditedConfig(
                            c -> {
                                port.complete(Integer.parseInt(
                                        c.replaceAll("(?s).*\"listen\":\"127.0.0.1:(\\d+)\".*", "$1")));
                                return c.replaceAll("\"known\":\\{.*?\\]\\},", "");
                            },
                            discovery,
                            server);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            int listenPort = port.get(30, TimeUnit.SECONDS);
            await("not ready", () -> status(listenPort, "GET /ready HTTP/1.1\r\nHost: a\r\n") == 503);
            await("discovery is called", () -> !discovery.requests.isEmpty());
            assertEquals(503, status(listenPort, session(SESSION_ID, "view").replace(": 8000", ": 300")));
            assertFalse(starting.isDone());
            release.countDown();
            balancer = starting.get(30, TimeUnit.SECONDS);
            assertEquals(200, balancer.send(session("9b1f03aa5c7e2d42", "view")).status());
            finished.countDown();
            balancer.stop();
        }
    }

    private static int status(int port, String head) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(HttpMessage.encode(head, new byte[0]));
            return HttpMessage.read(socket.getInputStream()).status();
        }
    }
}
