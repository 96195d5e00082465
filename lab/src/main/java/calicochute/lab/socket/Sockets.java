package calicochute.lab.socket;

import calicochute.lab.world.World;
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
 * The lab's sockets on HttpCore's reactors, below its HTTP: a lab sends what no library would send, and must see bytes
 * when they come. One I/O thread for accepted connections and one for opened ones; both only cut bytes into messages
 * and post these to the world.
 */
public final class Sockets implements AutoCloseable {
    private static final int READ_AT_ONCE = 1 << 16;
    /** An address whose former listener is just ending is free within this many pauses. */
    static final int LISTEN_TRIES = 200;

    private static final IOReactorConfig CONFIG = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setBacklogSize(1024)
            .setSoReuseAddress(true)
            .setSelectInterval(TimeValue.ofMilliseconds(10))
            .build();
    private final World world;
    private final DefaultListeningIOReactor listening;
    private final DefaultConnectingIOReactor connecting;

    /** Says who owns a connection that has just been accepted; on an I/O thread. Null: it is reset at once. */
    public interface Acceptor extends Function<InetSocketAddress, Link.Owner> {}

    public Sockets(World world) {
        this.world = world;
        listening = new DefaultListeningIOReactor(
                this::accepted,
                CONFIG,
                new DefaultThreadFactory("lab-accepted", true),
                new DefaultThreadFactory("lab-accept", true),
                null,
                e -> {},
                null,
                null);
        connecting = new DefaultConnectingIOReactor(
                this::opened, CONFIG, new DefaultThreadFactory("lab-opened", true), null, e -> {}, null, null);
        listening.start();
        connecting.start();
    }

    /** Listens at an address, with port 0 at any; tries again for a while where a former listener is just ending. */
    public ListenerEndpoint listen(InetSocketAddress address, Acceptor acceptor) throws IOException {
        for (int i = 0; ; i++) {
            try {
                return listening.listen(address, acceptor, null).get(2, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException e) {
                if (i >= LISTEN_TRIES) {
                    throw new IOException("cannot listen at " + address + ": " + e.getMessage(), e);
                }
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    static void pause() throws IOException {
        try {
            Thread.sleep(5);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Opens a connection; the world hears {@code opened} with it, or {@code failed}. */
    public void connect(
            InetSocketAddress address, long timeoutMicros, Link.Owner owner, Consumer<Link> opened, Runnable failed) {
        // With its text for a name: HttpHost would ask the system for the address's name, which can take seconds.
        connecting.connect(
                new HttpHost(null, address.getAddress(), address.getHostString(), address.getPort()),
                address,
                null,
                Timeout.ofMilliseconds(Math.max(1, timeoutMicros / 1000)),
                owner,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        Link made = ((Handler) session.getHandler()).link;
                        world.post(() -> opened.accept(made));
                    }

                    @Override
                    public void failed(Exception cause) {
                        world.post(failed);
                    }

                    @Override
                    public void cancelled() {
                        world.post(failed);
                    }
                });
    }

    private IOEventHandler accepted(ProtocolIOSession session, Object attachment) {
        Link.Owner owner = ((Acceptor) attachment).apply((InetSocketAddress) session.getRemoteAddress());
        session.setSocketTimeout(Timeout.DISABLED);
        return new Handler(owner, session, true);
    }

    private IOEventHandler opened(ProtocolIOSession session, Object attachment) {
        session.setSocketTimeout(Timeout.DISABLED);
        return new Handler((Link.Owner) attachment, session, false);
    }

    /** Carries one connection on its I/O thread. */
    private final class Handler implements IOEventHandler {
        final Link link;
        private final MessageParser parser = new MessageParser();
        private boolean reset;
        private boolean spoilt;
        private final boolean accepted;

        Handler(Link.Owner owner, IOSession session, boolean accepted) {
            this.accepted = accepted;
            link = new Link(owner, session);
        }

        @Override
        public void connected(IOSession session) {
            if (link.owner() == null) {
                session.close(CloseMode.IMMEDIATE);
                return;
            }
            if (accepted) {
                world.post(() -> link.owner().accepted(link));
            }
            session.setEvent(java.nio.channels.SelectionKey.OP_READ);
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer src) throws IOException {
            byte[] bytes = READ.get();
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            int count = session.read(buffer);
            while (count > 0) {
                take(bytes, count);
                buffer.clear();
                count = session.read(buffer);
            }
            if (count < 0) {
                session.close(CloseMode.GRACEFUL);
                ended();
            }
        }

        private void take(byte[] bytes, int count) {
            if (spoilt || link.owner() == null) {
                return;
            }
            try {
                parser.feed(
                        bytes,
                        count,
                        world.now(),
                        m -> world.post(() -> link.owner().message(link, m)));
            } catch (MessageParser.Unreadable e) {
                spoilt = true;
                world.post(() -> link.owner().unreadable(link, e.getMessage()));
            }
        }

        private void ended() {
            boolean midway = parser.begun();
            if (link.owner() != null && link.markClosed()) {
                boolean wasReset = reset;
                world.post(() -> link.owner().closed(link, wasReset, midway));
            }
        }

        @Override
        public void outputReady(IOSession session) {
            link.flush();
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {
            // None is set.
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

    private static final ThreadLocal<byte[]> READ = ThreadLocal.withInitial(() -> new byte[READ_AT_ONCE]);

    @Override
    public void close() {
        listening.close(CloseMode.IMMEDIATE);
        connecting.close(CloseMode.IMMEDIATE);
    }
}
