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

/** The end of a connection on real sockets: of one that reads nothing until it is ended. */
public class LingeringSessionTest {
    private final Deaf deaf = new Deaf();
    private Listening listening;
    private SocketChannel client;
    private IOSession session;

    @Before
    public void connect() throws Exception {
        listening = Listening.at(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                10,
                "test",
                (opened, attachment) -> deaf,
                e -> {},
                new Counters());
        client = SocketChannel.open(listening.start());
        session = deaf.opened.get(5, TimeUnit.SECONDS);
    }

    @After
    public void end() throws Exception {
        client.close();
        listening.stopAccepting();
        CompletableFuture.runAsync(listening::close);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * With bytes unread the answer arrives, then the end and no reset; what comes behind is dropped until the client
     * ends its side.
     */
    @Test
    public void noCloseOverUnreadBytes() throws Exception {
        client.write(bytes("a request that crosses the end"));
        assertTrue(deaf.heard.await(5, TimeUnit.SECONDS));
        session.write(bytes("answer"));
        session.close(CloseMode.GRACEFUL);
        assertFalse(session.isOpen());
        assertTrue("told at once", deaf.told.await(5, TimeUnit.SECONDS));
        ByteBuffer answer = ByteBuffer.allocate(100);
        while (client.read(answer) >= 0) {
            // The answer, whole.
        }
        assertEquals("answer".length(), answer.position());
        assertTrue("not reset", client.write(bytes("one more request")) > 0);
        assertEquals("what is sent on it is not read", 0, session.read(ByteBuffer.allocate(10)));
        client.close();
        assertTrue(deaf.closed.await(5, TimeUnit.SECONDS));
        assertEquals("nothing of it reaches the handler", 1, deaf.inputs.get());
    }

    /** A client that rests behind the end does not hold its connection for ever. */
    @Test
    public void theLingerIsBounded() throws Exception {
        session.close(CloseMode.GRACEFUL);
        assertEquals(-1, client.read(ByteBuffer.allocate(10)));
        assertTrue(deaf.closed.await(5, TimeUnit.SECONDS));
    }

    private static final class Deaf implements IOEventHandler {
        final CompletableFuture<IOSession> opened = new CompletableFuture<>();
        final CountDownLatch heard = new CountDownLatch(1);
        /** Told of the end, and of the socket's close. */
        final CountDownLatch closed = new CountDownLatch(2);

        final AtomicInteger inputs = new AtomicInteger();
        final CountDownLatch told = new CountDownLatch(1);

        @Override
        public void connected(IOSession session) {
            opened.complete(session);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) {
            inputs.incrementAndGet();
            session.clearEvent(EventMask.READ);
            heard.countDown();
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
            told.countDown();
            closed.countDown();
        }
    }
}
