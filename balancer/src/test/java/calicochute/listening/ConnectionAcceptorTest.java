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

public class ConnectionAcceptorTest {
    private static final int ROUNDS = 30;
    private static final int CLIENTS = 20;
    private static final int MAX_CONNECTIONS = 5;

    /**
     * Connections pending when the acceptor stops are accepted, not reset when the socket is closed, regardless of the
     * timing.
     */
    @Test
    public void pendingConnectionsAreAcceptedOnStop() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            CountDownLatch accepted = new CountDownLatch(CLIENTS);
            ConnectionAcceptor acceptor = ConnectionAcceptor.bind(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    100,
                    100,
                    "test",
                    (session, attachment) -> new CountingHandler(accepted),
                    e -> {},
                    new Counters());
            InetSocketAddress address = acceptor.start();
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Socket(address.getAddress(), address.getPort()));
            }
            acceptor.stopAccepting();
            accepted.await(5, TimeUnit.SECONDS);
            // Closing the reactor takes a second; later rounds do not wait for it.
            CompletableFuture.runAsync(acceptor::close);
            for (Socket socket : clients) {
                socket.close();
            }
            assertEquals("not accepted in round " + round, 0, accepted.getCount());
        }
    }

    /** The number of open connections never exceeds the limit, and further connections are accepted as others close. */
    @Test
    public void connectionCountStaysWithinTheLimit() throws Exception {
        AtomicInteger open = new AtomicInteger();
        AtomicInteger maxOpen = new AtomicInteger();
        CountDownLatch accepted = new CountDownLatch(CLIENTS);
        ConnectionAcceptor acceptor = ConnectionAcceptor.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                100,
                MAX_CONNECTIONS,
                "test",
                (session, attachment) -> {
                    maxOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                    return new CountingHandler(accepted) {
                        @Override
                        public void inputReady(IOSession from, ByteBuffer source) {
                            from.close();
                        }

                        @Override
                        public void disconnected(IOSession from) {
                            if (!((LingeringSession) from).lingering()) {
                                open.decrementAndGet();
                            }
                        }
                    };
                },
                e -> {},
                new Counters());
        InetSocketAddress address = acceptor.start();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        for (Socket socket : clients) {
            socket.close();
        }
        assertTrue("all connections are accepted in turn", accepted.await(20, TimeUnit.SECONDS));
        assertEquals(MAX_CONNECTIONS, maxOpen.get());
        acceptor.stopAccepting();
        CompletableFuture.runAsync(acceptor::close);
    }

    private static class CountingHandler implements IOEventHandler {
        private final CountDownLatch accepted;

        CountingHandler(CountDownLatch accepted) {
            this.accepted = accepted;
        }

        @Override
        public void connected(IOSession session) {
            accepted.countDown();
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
