package calicochute.lab.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicochute.lab.world.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.junit.jupiter.api.Test;

class SocketsTest {
    private static final class Recorder implements Connection.Listener {
        final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
        volatile Connection lastConnection;

        @Override
        public void accepted(Connection connection) {
            lastConnection = connection;
            events.add("accepted");
        }

        @Override
        public void message(Connection connection, HttpMessage message) {
            events.add(message.startLine());
        }

        @Override
        public void malformed(Connection connection, String reason) {
            events.add("malformed");
        }

        @Override
        public void closed(Connection connection, boolean reset, boolean midMessage) {
            events.add("closed" + (reset ? " reset" : "") + (midMessage ? " mid-message" : ""));
        }

        String next() throws InterruptedException {
            return events.poll(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void eachWayInWhichAConnectionEndsIsReported() throws Exception {
        EventLoop eventLoop = new EventLoop();
        eventLoop.start();
        Recorder listener = new Recorder();
        try (Sockets sockets = new Sockets(eventLoop)) {
            ListenerEndpoint endpoint =
                    sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), from -> listener);
            InetSocketAddress address = (InetSocketAddress) endpoint.getAddress();
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertEquals("accepted", listener.next());
                client.getOutputStream().write("GET /a HTTP/1.1\r\n\r\nGET /b HT".getBytes());
                assertEquals("GET /a HTTP/1.1", listener.next());
            }
            assertEquals("closed mid-message", listener.next());
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertEquals("accepted", listener.next());
                client.setSoLinger(true, 0);
            }
            assertEquals("closed reset", listener.next());
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertEquals("accepted", listener.next());
                client.getOutputStream().write("noise\r\n\r\n".getBytes());
                assertEquals("malformed", listener.next());
                listener.lastConnection.reset();
                client.setSoTimeout(20_000);
                assertThrows(
                        java.net.SocketException.class,
                        () -> client.getInputStream().read());
            }
            Closer.closeQuietly(endpoint);
            // The address can be bound again: by a black hole, where no connection is established, and then by a
            // listener.
            try (Blackhole blackhole = new Blackhole(address)) {
                assertEquals(0, listener.events.size());
                Socket unconnected = new Socket();
                assertThrows(
                        SocketTimeoutException.class, () -> unconnected.connect(address, 200), blackhole::toString);
            }
            Closer.closeQuietly(sockets.listen(address, from -> listener));
        }
        eventLoop.stop();
    }

    /** A reverse DNS lookup can take seconds and would block the event loop. */
    @Test
    void connectingDoesNoReverseLookup() throws Exception {
        EventLoop eventLoop = new EventLoop();
        eventLoop.start();
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 77, 33, 12});
        LinkedBlockingQueue<Connection> opened = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 5, address);
                Sockets sockets = new Sockets(eventLoop)) {
            sockets.connect(
                    new InetSocketAddress(address, server.getLocalPort()),
                    5_000_000,
                    new Recorder(),
                    opened::add,
                    () -> {});
            opened.poll(20, TimeUnit.SECONDS).reset();
            assertEquals('/', address.toString().charAt(0));
        }
        eventLoop.stop();
    }
}
