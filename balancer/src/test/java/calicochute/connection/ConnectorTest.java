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
     * Half a line that has come before a call's first byte belongs to no call, also if it is read only after the call
     * was asked for: taken for the beginning of its answer it spoilt one that had been sent; now nothing is sent.
     */
    @Test
    public void whatCameBeforeACallsFirstByteIsNotItsAnswer() throws Exception {
        BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                Connector connector = new Connector()) {
            connector.start();
            Connection connection = connector.open(
                    (InetSocketAddress) server.getLocalSocketAddress(),
                    5_000_000,
                    c -> c.call(new BasicHttpRequest("GET", "/1"), new byte[0], 1000, replies::add),
                    e -> {},
                    c -> {});
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(20_000);
                InputStream in = socket.getInputStream();
                in.readNBytes("GET /1 HTTP/1.1\r\n\r\n".length());
                CountDownLatch busy = new CountDownLatch(1);
                CountDownLatch go = new CountDownLatch(1);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertNotNull(replies.poll(20, TimeUnit.SECONDS));
                // The I/O thread is held up, by a second connection's coming up, until both the half line and the call
                // are there.
                connector.open(
                        (InetSocketAddress) server.getLocalSocketAddress(),
                        5_000_000,
                        c -> {
                            busy.countDown();
                            try {
                                go.await();
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        },
                        e -> {},
                        c -> {});
                assertTrue(busy.await(20, TimeUnit.SECONDS));
                socket.getOutputStream().write("HTTP/1.1 2".getBytes(StandardCharsets.US_ASCII));
                connection.call(new BasicHttpRequest("GET", "/2"), new byte[0], 1000, replies::add);
                go.countDown();
                Reply reply = replies.poll(20, TimeUnit.SECONDS);
                assertTrue(reply.response() == null && !reply.begun() && connection.spoilt());
                assertEquals("nothing was sent", -1, in.read());
            }
        }
    }

    /**
     * Guards against a name lookup on the thread that opens connections, the decision thread among them: where nobody
     * answers for the address's name, each first connection to a server held up all sessions (measured: for seconds).
     * An address that has been looked up carries its name before the slash.
     */
    @Test
    public void noNameIsLookedUpForAnAddress() throws Exception {
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

    /** For lack of descriptors it is tried again, unless it was given up meanwhile; for any other reason it is not. */
    @Test
    public void aLackOfDescriptorsIsTriedAgain() throws Exception {
        for (String order : List.of("no lack", "lack", "given up in a lack", "lack for good")) {
            InetSocketAddress address;
            try (ServerSocket free = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                address = (InetSocketAddress) free.getLocalSocketAddress();
            }
            BlockingQueue<String> heard = new LinkedBlockingQueue<>();
            List<ServerSocket> listeners = new CopyOnWriteArrayList<>();
            CompletableFuture<Connection> opening = new CompletableFuture<>();
            AtomicInteger asked = new AtomicInteger();
            try (Connector connector = new Connector()) {
                connector.whenLacking(() -> {
                    asked.incrementAndGet();
                    try {
                        if (order.equals("lack")) {
                            listeners.add(new ServerSocket(address.getPort(), 5, address.getAddress()));
                        } else if (order.equals("given up in a lack")) {
                            opening.join().giveUp();
                        }
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                    return !order.equals("no lack");
                });
                connector.start();
                opening.complete(connector.open(
                        address, 5_000_000, c -> heard.add("opened"), e -> heard.add("failed"), c -> {}));
                assertEquals(order, order.equals("lack") ? "opened" : "failed", heard.poll(20, TimeUnit.SECONDS));
                assertEquals(order, order.equals("lack for good") ? 3 : 1, asked.get());
                assertTrue(order, heard.isEmpty());
            } finally {
                for (ServerSocket listener : listeners) {
                    listener.close();
                }
            }
        }
    }
}
