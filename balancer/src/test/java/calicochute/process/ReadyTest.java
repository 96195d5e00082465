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
 * What a process waits for before it is ready, and what comes to it before. How long it takes is measured by
 * {@link ReadyTable}.
 */
public class ReadyTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch over = new CountDownLatch(1);
    /** The answer to a session that a client tries to send from before the process starts. */
    private final CompletableFuture<HttpMessage> early = new CompletableFuture<>();

    private BalancerProcess balancer;

    @After
    public void letGo() {
        release.countDown();
        over.countDown();
        if (balancer != null) {
            balancer.process.destroyForcibly();
        }
    }

    /** Has a client try to connect from now on, whose session comes as soon as the process listens. */
    private String withAnEarlyClient(String configuration) {
        int port = Integer.parseInt(configuration.replaceAll("(?s).*\"listen\":\"127.0.0.1:(\\d+)\".*", "$1"));
        Thread client = new Thread(() -> {
            while (over.getCount() > 0) {
                // From another address: one that tries on could be given the port itself, and meet itself there.
                try (Socket socket =
                        new Socket(InetAddress.getLoopbackAddress(), port, InetAddress.getByName("127.0.0.2"), 0)) {
                    socket.setSoTimeout(30_000);
                    try {
                        socket.getOutputStream().write(HttpMessage.encode(session(ID, "view"), new byte[0]));
                        early.complete(HttpMessage.read(socket.getInputStream()));
                    } catch (IOException e) {
                        early.completeExceptionally(e);
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

    private void answeredAtOnce() throws Exception {
        assertEquals(200, early.get(30, TimeUnit.SECONDS).status());
    }

    private static ScriptedServer server() throws IOException {
        return new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
    }

    @Test
    public void readyDoesNotWaitForADiscoveryThatRefuses() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer none = ScriptedServer.silent(release);
                Socket bound = new Socket()) {
            // Bound but not listening: connections are refused, and no other socket gets the port.
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            UnaryOperator<String> refused = c -> c.replace(none.address(), "127.0.0.1:" + bound.getLocalPort());
            balancer = BalancerProcess.withEditedConfig(c -> withAnEarlyClient(refused.apply(c)), none, server);
            answeredAtOnce();
            await("refused", () -> balancer.counter("discovery_failures") > 0);
            assertTrue(none.connections.isEmpty());
            balancer.stop();
        }
    }

    @Test
    public void readyDoesNotWaitForASilentDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = ScriptedServer.silent(release)) {
            balancer = BalancerProcess.withEditedConfig(this::withAnEarlyClient, discovery, server);
            answeredAtOnce();
            await("asked", () -> !discovery.requests.isEmpty());
            balancer.stop();
        }
    }

    /** The first answer is on its way until after the yes, and then counts. */
    @Test
    public void readyDoesNotWaitForASlowDiscovery() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = new ScriptedServer(r -> {
                    release.await();
                    if (r.firstLine().contains("since=9&")) {
                        over.await();
                    }
                    return HttpMessage.response(200, "", discoveryList(9, "Terminating", server));
                })) {
            balancer = BalancerProcess.withEditedConfig(this::withAnEarlyClient, discovery, server);
            answeredAtOnce();
            assertFalse(balancer.log().contains("generation=9"));
            release.countDown();
            await("told", () -> balancer.log().contains("generation=9"));
            over.countDown();
            balancer.stop();
        }
    }

    /** Without a list from before there is nobody to send to: only here the yes comes with discovery's first list. */
    @Test
    public void withoutAListReadyComesWithTheFirst() throws Exception {
        try (ScriptedServer server = server();
                ScriptedServer discovery = new ScriptedServer(r -> {
                    release.await();
                    if (!r.firstLine().contains("since=0&")) {
                        over.await();
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
            int at = port.get(30, TimeUnit.SECONDS);
            await("no, and that is said", () -> status(at, "GET /ready HTTP/1.1\r\nHost: a\r\n") == 503);
            await("asked", () -> !discovery.requests.isEmpty());
            assertEquals(503, status(at, session(ID, "view").replace(": 8000", ": 300")));
            assertFalse(starting.isDone());
            release.countDown();
            balancer = starting.get(30, TimeUnit.SECONDS);
            assertEquals(200, balancer.send(session("9b1f03aa5c7e2d42", "view")).status());
            over.countDown();
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
