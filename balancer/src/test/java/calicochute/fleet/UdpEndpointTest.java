package calicochute.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.errors.Code;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an unbounded backlog of datagrams, and against send and receive failures that nobody sees. */
class UdpEndpointTest {
    private static final int MAX_QUEUED = 512;
    private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<byte[]> otherReceived = new LinkedBlockingQueue<>();
    private InetSocketAddress address;
    private InetSocketAddress otherAddress;
    private UdpEndpoint endpoint;
    private UdpEndpoint other;

    @BeforeEach
    void open() throws Exception {
        address = freeAddress();
        endpoint = new UdpEndpoint(address, received::add);
        otherAddress = freeAddress();
        other = new UdpEndpoint(otherAddress, otherReceived::add);
    }

    @AfterEach
    void close() {
        endpoint.close();
        other.close();
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    @Test
    void datagramsArriveInBothDirections() throws Exception {
        other.send(address, new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {1, 2, 3}, received.poll(30, TimeUnit.SECONDS));
        endpoint.send(otherAddress, new byte[1_200]);
        assertArrayEquals(new byte[1_200], otherReceived.poll(30, TimeUnit.SECONDS));
        assertEquals(0, endpoint.overflowed() + endpoint.unsent() + other.overflowed() + other.unsent());
    }

    /** Sends one datagram at a time, so that the operating system drops none. */
    @Test
    void datagramsBeyondTheLimitAreCountedAndDropped() {
        for (int i = 1; i <= MAX_QUEUED + 20; i++) {
            other.send(address, new byte[] {1});
            awaitDatagrams(i);
        }
        assertEquals(MAX_QUEUED, received.size());
        assertEquals(20, endpoint.overflowed());
        endpoint.release();
        other.send(address, new byte[] {2});
        awaitDatagrams(MAX_QUEUED + 21);
        assertEquals(MAX_QUEUED + 1, received.size());
        assertEquals(20, endpoint.overflowed());
    }

    private void awaitDatagrams(int count) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (received.size() + endpoint.overflowed() < count) {
            assertTrue(System.nanoTime() < until, () -> "only " + received.size() + " arrived");
            Thread.onSpinWait();
        }
    }

    @Test
    void bindAndSendFailuresAreReported() {
        FleetException e = assertThrows(FleetException.class, () -> new UdpEndpoint(address, received::add));
        assertEquals(Code.FLEET_ADDRESS, e.code());
        assertEquals(address.toString(), e.location());
        other.close();
        other.send(address, new byte[1]);
        assertEquals(1, other.unsent());
    }

    @Test
    void readerThreadEndsWhenTheSocketIsClosed() throws Exception {
        BlockingQueue<Throwable> thrown = new LinkedBlockingQueue<>();
        List<Thread> readers = Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("fleet"))
                .toList();
        readers.forEach(reader -> reader.setUncaughtExceptionHandler((thread, e) -> thrown.add(e)));
        close();
        for (Thread thread : readers) {
            thread.join(30_000);
            assertFalse(thread.isAlive());
        }
        assertEquals(List.of(), List.copyOf(thrown));
    }
}
