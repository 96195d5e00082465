package calicochute.lab.socket;

import calicochute.lab.world.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * The lab's TCP sockets. They use HttpCore's I/O reactors but not its HTTP layer, because the lab also sends malformed
 * messages and needs the time at which bytes arrive. One I/O thread serves accepted connections and one serves opened
 * connections; both only split bytes into messages and post these to the event loop.
 */
public final class Sockets implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 1 << 16;
    /** How often binding is retried, with a pause in between, while the address's previous listener is closing. */
    static final int LISTEN_ATTEMPTS = 200;

    private static final IOReactorConfig REACTOR_CONFIG = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setBacklogSize(1024)
            .setSoReuseAddress(true)
            .setSelectInterval(TimeValue.ofMilliseconds(10))
            .build();
    private final EventLoop eventLoop;
    private final DefaultListeningIOReactor listening;
    private final DefaultConnectingIOReactor connecting;

    /** Chooses the listener of an accepted connection, on an I/O thread; for null the connection is reset at once. */
    public interface Acceptor extends Function<InetSocketAddress, Connection.Listener> {}

    public Sockets(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
        listening = new DefaultListeningIOReactor(
                this::accepted,
                REACTOR_CONFIG,
                new DefaultThreadFactory("lab-accepted", true),
                new DefaultThreadFactory("lab-accept", true),
                null,
                e -> {},
                null,
                null);
        connecting = new DefaultConnectingIOReactor(
                this::opened, REACTOR_CONFIG, new DefaultThreadFactory("lab-opened", true), null, e -> {}, null, null);
        listening.start();
        connecting.start();
    }

    /**
     * Listens at an address; port 0 means any free port. Retries for a while, since a previous listener of the address
     * may still be closing.
     */
    public ListenerEndpoint listen(InetSocketAddress address, Acceptor acceptor) throws IOException {
        for (int i = 0; ; i++) {
            try {
                return listening.listen(address, acceptor, null).get(2, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException e) {
                if (i >= LISTEN_ATTEMPTS) {
                    throw new IOException("cannot listen at " + address + ": " + e.getMessage(), e);
                }
                pauseBeforeRetry();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    static void pauseBeforeRetry() throws IOException {
        try {
            Thread.sleep(5);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Opens a connection; the event loop then runs either {@code opened} or {@code failed}. */
    public void connect(
            InetSocketAddress address,
            long timeoutMicros,
            Connection.Listener listener,
            Consumer<Connection> opened,
            Runnable failed) {
        // The address's text is given as the host name: HttpHost would do a reverse DNS lookup, which can take seconds.
        connecting.connect(
                new HttpHost(null, address.getAddress(), address.getHostString(), address.getPort()),
                address,
                null,
                Timeout.ofMilliseconds(Math.max(1, timeoutMicros / 1000)),
                listener,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        Connection connection = ((Handler) session.getHandler()).connection;
                        eventLoop.post(() -> opened.accept(connection));
                    }

                    @Override
                    public void failed(Exception cause) {
                        eventLoop.post(failed);
                    }

                    @Override
                    public void cancelled() {
                        eventLoop.post(failed);
                    }
                });
    }

    private IOEventHandler accepted(ProtocolIOSession session, Object attachment) {
        Connection.Listener listener = ((Acceptor) attachment).apply((InetSocketAddress) session.getRemoteAddress());
        session.setSocketTimeout(Timeout.DISABLED);
        return new Handler(listener, session, true);
    }

    private IOEventHandler opened(ProtocolIOSession session, Object attachment) {
        session.setSocketTimeout(Timeout.DISABLED);
        return new Handler((Connection.Listener) attachment, session, false);
    }

    /** Handles the I/O events of one connection on its I/O thread. */
    private final class Handler implements IOEventHandler {
        final Connection connection;
        private final MessageParser parser = new MessageParser();
        private boolean reset;
        private boolean malformed;
        private final boolean accepted;

        Handler(Connection.Listener listener, IOSession session, boolean accepted) {
            this.accepted = accepted;
            connection = new Connection(listener, session);
        }

        @Override
        public void connected(IOSession session) {
            if (connection.listener() == null) {
                session.close(CloseMode.IMMEDIATE);
                return;
            }
            if (accepted) {
                eventLoop.post(() -> connection.listener().accepted(connection));
            }
            session.setEvent(java.nio.channels.SelectionKey.OP_READ);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer src) throws IOException {
            byte[] bytes = READ_BUFFER.get();
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            int count = session.read(buffer);
            while (count > 0) {
                parse(bytes, count);
                buffer.clear();
                count = session.read(buffer);
            }
            if (count < 0) {
                session.close(CloseMode.GRACEFUL);
                ended();
            }
        }

        private void parse(byte[] bytes, int count) {
            if (malformed || connection.listener() == null) {
                return;
            }
            try {
                parser.feed(
                        bytes,
                        count,
                        eventLoop.now(),
                        m -> eventLoop.post(() -> connection.listener().message(connection, m)));
            } catch (MessageParser.MalformedMessageException e) {
                malformed = true;
                eventLoop.post(() -> connection.listener().malformed(connection, e.getMessage()));
            }
        }

        private void ended() {
            boolean midMessage = parser.hasPartialMessage();
            if (connection.listener() != null && connection.markClosed()) {
                boolean wasReset = reset;
                eventLoop.post(() -> connection.listener().closed(connection, wasReset, midMessage));
            }
        }

        @Override
        public void outputReady(IOSession session) {
            connection.flush();
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {
            // No socket timeout is set.
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            reset = true;
        }

        @Override
        public void disconnected(IOSession session) {
            ended();
        }
    }

    private static final ThreadLocal<byte[]> READ_BUFFER = ThreadLocal.withInitial(() -> new byte[READ_BUFFER_BYTES]);

    @Override
    public void close() {
        listening.close(CloseMode.IMMEDIATE);
        connecting.close(CloseMode.IMMEDIATE);
    }
}
