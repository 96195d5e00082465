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

class DatagramsTest {
    private static final int MOST_WAITING = 512;
    private final BlockingQueue<byte[]> heard = new LinkedBlockingQueue<>();
    private final BlockingQueue<byte[]> back = new LinkedBlockingQueue<>();
    private InetSocketAddress here;
    private InetSocketAddress there;
    private Datagrams one;
    private Datagrams other;

    @BeforeEach
    void open() throws Exception {
        here = free();
        one = new Datagrams(here, heard::add);
        there = free();
        other = new Datagrams(there, back::add);
    }

    @AfterEach
    void close() {
        one.close();
        other.close();
    }

    private static InetSocketAddress free() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    @Test
    void whatIsSentIsHeard() throws Exception {
        other.send(here, new byte[] {1, 2, 3});
        assertArrayEquals(new byte[] {1, 2, 3}, heard.poll(30, TimeUnit.SECONDS));
        one.send(there, new byte[1_200]);
        assertArrayEquals(new byte[1_200], back.poll(30, TimeUnit.SECONDS));
        assertEquals(0, one.overflowed() + one.unsent() + other.overflowed() + other.unsent());
    }

    /** One is out at a time, so that the system loses none of them. */
    @Test
    void beyondTheBoundTheyAreCountedAndNotKept() {
        for (int i = 1; i <= MOST_WAITING + 20; i++) {
            other.send(here, new byte[] {1});
            await(i);
        }
        assertEquals(MOST_WAITING, heard.size());
        assertEquals(20, one.overflowed());
        one.taken();
        other.send(here, new byte[] {2});
        await(MOST_WAITING + 21);
        assertEquals(MOST_WAITING + 1, heard.size());
        assertEquals(20, one.overflowed());
    }

    private void await(int came) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (heard.size() + one.overflowed() < came) {
            assertTrue(System.nanoTime() < until, () -> "only " + heard.size() + " came");
            Thread.onSpinWait();
        }
    }

    @Test
    void whatCannotBeSentOrHeardIsSaid() {
        FleetException e = assertThrows(FleetException.class, () -> new Datagrams(here, heard::add));
        assertEquals(Code.FLEET_ADDRESS, e.code());
        assertEquals(here.toString(), e.location());
        other.close();
        other.send(here, new byte[1]);
        assertEquals(1, other.unsent());
    }

    @Test
    void theThreadEndsWithTheSocket() throws Exception {
        BlockingQueue<Throwable> thrown = new LinkedBlockingQueue<>();
        List<Thread> readers = Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals("fleet"))
                .toList();
        readers.forEach(t -> t.setUncaughtExceptionHandler((thread, e) -> thrown.add(e)));
        close();
        for (Thread t : readers) {
            t.join(30_000);
            assertFalse(t.isAlive());
        }
        assertEquals(List.of(), List.copyOf(thrown));
    }
}
