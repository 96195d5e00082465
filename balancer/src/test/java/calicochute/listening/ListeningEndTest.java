package calicochute.listening;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.metrics.Counters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.Test;

public class ListeningEndTest {
    private static final int ROUNDS = 30;
    private static final int CROWD = 20;
    private static final int PLACES = 5;

    /** What has come up before the end is taken in, not reset with the socket, however the two fall together. */
    @Test
    public void theEndTakesInWhatWaits() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            CountDownLatch taken = new CountDownLatch(CROWD);
            Listening listening = Listening.at(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    100,
                    100,
                    "test",
                    (session, attachment) -> new Counting(taken),
                    e -> {},
                    new Counters());
            InetSocketAddress address = listening.start();
            List<Socket> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                crowd.add(new Socket(address.getAddress(), address.getPort()));
            }
            listening.stopAccepting();
            taken.await(5, TimeUnit.SECONDS);
            // Its reactor takes a second to end, which no later round waits for.
            CompletableFuture.runAsync(listening::close);
            for (Socket socket : crowd) {
                socket.close();
            }
            assertEquals("not taken in, round " + round, 0, taken.getCount());
        }
    }

    /** However many come at once: no more are taken in than there may be, and the next ones as places get free. */
    @Test
    public void noMoreAreTakenInThanThereMayBe() throws Exception {
        AtomicInteger open = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        CountDownLatch taken = new CountDownLatch(CROWD);
        Listening listening = Listening.at(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                100,
                PLACES,
                "test",
                (session, attachment) -> {
                    most.accumulateAndGet(open.incrementAndGet(), Math::max);
                    return new Counting(taken) {
                        @Override
                        public void inputReady(IOSession from, ByteBuffer source) {
                            from.close();
                        }

                        @Override
                        public void disconnected(IOSession from) {
                            if (!((LingeringSession) from).lingers()) {
                                open.decrementAndGet();
                            }
                        }
                    };
                },
                e -> {},
                new Counters());
        InetSocketAddress address = listening.start();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(new Socket(address.getAddress(), address.getPort()));
        }
        for (Socket socket : crowd) {
            socket.close();
        }
        assertTrue("all come in, one behind the other", taken.await(20, TimeUnit.SECONDS));
        assertEquals(PLACES, most.get());
        listening.stopAccepting();
        CompletableFuture.runAsync(listening::close);
    }

    private static class Counting implements IOEventHandler {
        private final CountDownLatch taken;

        Counting(CountDownLatch taken) {
            this.taken = taken;
        }

        @Override
        public void connected(IOSession session) {
            taken.countDown();
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session, Timeout timeout) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {}
    }
}
