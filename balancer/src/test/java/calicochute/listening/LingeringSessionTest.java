package calicochute.listening;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import calicochute.metrics.Counters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Closes connections on real sockets whose handler reads nothing before the close. */
public class LingeringSessionTest {
    private final NonReadingHandler handler = new NonReadingHandler();
    private ConnectionAcceptor acceptor;
    private SocketChannel client;
    private IOSession session;

    @Before
    public void connect() throws Exception {
        acceptor = ConnectionAcceptor.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                10,
                "test",
                (opened, attachment) -> handler,
                e -> {},
                new Counters());
        client = SocketChannel.open(acceptor.start());
        session = handler.opened.get(5, TimeUnit.SECONDS);
    }

    @After
    public void end() throws Exception {
        client.close();
        acceptor.stopAccepting();
        CompletableFuture.runAsync(acceptor::close);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * With unread input the client receives the response and the end of the connection, not a reset; further input is
     * discarded until the client closes.
     */
    @Test
    public void responseIsDeliveredDespiteUnreadInput() throws Exception {
        client.write(bytes("a request sent during the close"));
        assertTrue(handler.inputSeen.await(5, TimeUnit.SECONDS));
        session.write(bytes("response"));
        session.close(CloseMode.GRACEFUL);
        assertFalse(session.isOpen());
        assertTrue("disconnect is reported at once", handler.disconnectSeen.await(5, TimeUnit.SECONDS));
        ByteBuffer response = ByteBuffer.allocate(100);
        while (client.read(response) >= 0) {
            // Reads the complete response.
        }
        assertEquals("response".length(), response.position());
        assertTrue("not reset", client.write(bytes("one more request")) > 0);
        assertEquals("input after the close is not read", 0, session.read(ByteBuffer.allocate(10)));
        client.close();
        assertTrue(handler.closed.await(5, TimeUnit.SECONDS));
        assertEquals("later input does not reach the handler", 1, handler.inputs.get());
    }

    /** A client that does not close its side cannot keep its connection open forever. */
    @Test
    public void lingerTimeIsBounded() throws Exception {
        session.close(CloseMode.GRACEFUL);
        assertEquals(-1, client.read(ByteBuffer.allocate(10)));
        assertTrue(handler.closed.await(5, TimeUnit.SECONDS));
    }

    private static final class NonReadingHandler implements IOEventHandler {
        final CompletableFuture<IOSession> opened = new CompletableFuture<>();
        final CountDownLatch inputSeen = new CountDownLatch(1);
        /** Counts the disconnect at the shutdown and the one when the socket is closed. */
        final CountDownLatch closed = new CountDownLatch(2);

        final AtomicInteger inputs = new AtomicInteger();
        final CountDownLatch disconnectSeen = new CountDownLatch(1);

        @Override
        public void connected(IOSession session) {
            opened.complete(session);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {
            inputs.incrementAndGet();
            session.clearEvent(EventMask.READ);
            inputSeen.countDown();
        }

        @Override
        public void outputReady(IOSession session) {
            session.clearEvent(EventMask.WRITE);
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {
            disconnectSeen.countDown();
            closed.countDown();
        }
    }
}
