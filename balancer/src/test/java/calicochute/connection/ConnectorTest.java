package calicochute.connection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.Test;

public class ConnectorTest {
    /**
     * Guards against taking data for a response that was received before the call sent its first byte but read after
     * the call was enqueued. The call must fail without sending anything.
     */
    @Test
    public void dataReceivedBeforeTheFirstRequestByteIsNotItsResponse() throws Exception {
        BlockingQueue<CallResult> results = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                Connector connector = new Connector()) {
            connector.start();
            Connection connection = connector.open(
                    (InetSocketAddress) server.getLocalSocketAddress(),
                    5_000_000,
                    c -> c.call(new BasicHttpRequest("GET", "/1"), new byte[0], 1000, results::add),
                    e -> {},
                    c -> {});
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(20_000);
                InputStream input = socket.getInputStream();
                input.readNBytes("GET /1 HTTP/1.1\r\n\r\n".length());
                CountDownLatch ioThreadBlocked = new CountDownLatch(1);
                CountDownLatch unblockIoThread = new CountDownLatch(1);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertNotNull(results.poll(20, TimeUnit.SECONDS));
                // Blocks the I/O thread in the callback of a second connection until both the partial line and the
                // call are there.
                connector.open(
                        (InetSocketAddress) server.getLocalSocketAddress(),
                        5_000_000,
                        c -> {
                            ioThreadBlocked.countDown();
                            try {
                                unblockIoThread.await();
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        e -> {},
                        c -> {});
                assertTrue(ioThreadBlocked.await(20, TimeUnit.SECONDS));
                socket.getOutputStream().write("HTTP/1.1 2".getBytes(StandardCharsets.US_ASCII));
                connection.call(new BasicHttpRequest("GET", "/2"), new byte[0], 1000, results::add);
                unblockIoThread.countDown();
                CallResult result = results.poll(20, TimeUnit.SECONDS);
                assertTrue(
                        result.response() == null && !result.requestStarted() && connection.receivedUnsolicitedData());
                assertEquals("nothing was sent", -1, input.read());
            }
        }
    }

    /**
     * Guards against a reverse lookup on the thread that opens connections, such as the decision thread: without a
     * responding name server, the first connection to each server blocked all sessions for seconds. An address that was
     * looked up has its name before the slash.
     */
    @Test
    public void connectingDoesNotResolveTheAddressName() throws Exception {
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 77, 33, 11});
        try (ServerSocket server = new ServerSocket(0, 5, address);
                Connector connector = new Connector()) {
            connector.start();
            CountDownLatch opened = new CountDownLatch(1);
            connector.open(
                    new InetSocketAddress(address, server.getLocalPort()),
                    5_000_000,
                    c -> opened.countDown(),
                    e -> {},
                    c -> {});
            assertTrue(opened.await(20, TimeUnit.SECONDS));
            assertTrue(address.toString(), address.toString().startsWith("/"));
        }
    }

    /**
     * A connect is retried if file descriptors are exhausted, unless it was cancelled meanwhile; other failures are not
     * retried.
     */
    @Test
    public void connectIsRetriedOnDescriptorShortage() throws Exception {
        for (String scenario : List.of("no shortage", "shortage", "cancelled during shortage", "permanent shortage")) {
            InetSocketAddress address;
            try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                address = (InetSocketAddress) free.getLocalSocketAddress();
            }
            BlockingQueue<String> events = new LinkedBlockingQueue<>();
            List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
            CompletableFuture<Connection> connectionFuture = new CompletableFuture<>();
            AtomicInteger shortageChecks = new AtomicInteger();
            try (Connector connector = new Connector()) {
                connector.onDescriptorShortage(() -> {
                    shortageChecks.incrementAndGet();
                    try {
                        if (scenario.equals("shortage")) {
                            listeners.add(new ServerSocket(address.getPort(), 5, address.getAddress()));
                        } else if (scenario.equals("cancelled during shortage")) {
                            connectionFuture.join().cancelConnect();
                        }
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                    return !scenario.equals("no shortage");
                });
                connector.start();
                connectionFuture.complete(connector.open(
                        address, 5_000_000, c -> events.add("opened"), e -> events.add("failed"), c -> {}));
                assertEquals(
                        scenario, scenario.equals("shortage") ? "opened" : "failed", events.poll(20, TimeUnit.SECONDS));
                assertEquals(scenario, scenario.equals("permanent shortage") ? 3 : 1, shortageChecks.get());
                assertTrue(scenario, events.isEmpty());
            } finally {
                for (ServerSocket listener : listeners) {
                    listener.close();
                }
            }
        }
    }
}
