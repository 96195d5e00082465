package calicochute.lab.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicochute.lab.world.World;
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
    private static final class Recorder implements Link.Owner {
        final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
        volatile Link last;

        @Override
        public void accepted(Link link) {
            last = link;
            events.add("accepted");
        }

        @Override
        public void message(Link link, HttpMessage message) {
            events.add(message.startLine());
        }

        @Override
        public void unreadable(Link link, String why) {
            events.add("unreadable");
        }

        @Override
        public void closed(Link link, boolean reset, boolean midway) {
            events.add("closed" + (reset ? " reset" : "") + (midway ? " midway" : ""));
        }

        String next() throws InterruptedException {
            return events.poll(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void everyEndOfAConnectionIsHeardAsWhatItWas() throws Exception {
        World world = new World();
        world.start();
        Recorder owner = new Recorder();
        try (Sockets sockets = new Sockets(world)) {
            ListenerEndpoint listener =
                    sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), from -> owner);
            InetSocketAddress at = (InetSocketAddress) listener.getAddress();
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                assertEquals("accepted", owner.next());
                client.getOutputStream().write("GET /a HTTP/1.1\r\n\r\nGET /b HT".getBytes());
                assertEquals("GET /a HTTP/1.1", owner.next());
            }
            assertEquals("closed midway", owner.next());
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                assertEquals("accepted", owner.next());
                client.setSoLinger(true, 0);
            }
            assertEquals("closed reset", owner.next());
            try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                assertEquals("accepted", owner.next());
                client.getOutputStream().write("noise\r\n\r\n".getBytes());
                assertEquals("unreadable", owner.next());
                owner.last.reset();
                client.setSoTimeout(20_000);
                assertThrows(
                        java.net.SocketException.class,
                        () -> client.getInputStream().read());
            }
            Closer.closeQuietly(listener);
            // The address is free again for a black hole, where connections never come up, and then for a listener.
            try (Blackhole hole = new Blackhole(at)) {
                assertEquals(0, owner.events.size());
                Socket never = new Socket();
                assertThrows(SocketTimeoutException.class, () -> never.connect(at, 200), hole::toString);
            }
            Closer.closeQuietly(sockets.listen(at, from -> owner));
        }
        world.stop();
    }

    /** No name is asked for: it can take seconds and would hold up the world. */
    @Test
    void noNameIsLookedUpForAnAddress() throws Exception {
        World world = new World();
        world.start();
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 77, 33, 12});
        LinkedBlockingQueue<Link> opened = new LinkedBlockingQueue<>();
        try (ServerSocket server = new ServerSocket(0, 5, address);
                Sockets sockets = new Sockets(world)) {
            sockets.connect(
                    new InetSocketAddress(address, server.getLocalPort()),
                    5_000_000,
                    new Recorder(),
                    opened::add,
                    () -> {});
            opened.poll(20, TimeUnit.SECONDS).reset();
            assertEquals('/', address.toString().charAt(0));
        }
        world.stop();
    }
}
