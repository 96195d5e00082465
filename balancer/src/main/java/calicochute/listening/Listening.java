package calicochute.listening;

import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ChannelBridge;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.TimeValue;

/**
 * One address that connections are taken in at, and one I/O thread that carries them. The socket is this process's own,
 * or one that was listening before it began and will be after it: that one is never closed or shut down here, and since
 * other processes accept at it too, a connection may be gone before this one gets to it.
 *
 * <p>Not HttpCore's own acceptor: that one ends at the first connection there is no descriptor for, and with it the
 * address.
 */
public final class Listening {
    private static final long PAUSE_MS = 50;
    /**
     * Behind a lack of descriptors one connection is taken in at a time, for so long: what is made free must not go to
     * a crowd at once.
     */
    private static final long ONE_BY_ONE_NANOS = 1_000_000_000L;

    private static final long BETWEEN_MS = 2;
    private static final int SCRATCH = 4096;
    private static final long LONGEST_STOP_MS = 1000;
    private static final IOReactorConfig REACTOR = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setSelectInterval(TimeValue.ofMilliseconds(100))
            .build();
    private final ServerSocketChannel socket;
    private final boolean own;
    private final String name;
    private final Counters counters;
    private final DefaultConnectingIOReactor reactor;
    private final Selector selector;
    /**
     * For connections, until their socket is closed: accepting is faster than taking over, and would use up what is set
     * aside.
     */
    private final Semaphore places;

    private Thread acceptor;
    private volatile boolean stopped;
    private BooleanSupplier lacking = () -> false;
    private long lackedAt;
    private boolean lacked;

    private Listening(
            ServerSocketChannel socket,
            boolean own,
            int most,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onFault,
            Counters counters)
            throws IOException {
        this.socket = socket;
        this.own = own;
        this.name = name;
        places = new Semaphore(most);
        this.counters = counters;
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH);
        reactor = new DefaultConnectingIOReactor(
                handlers,
                REACTOR,
                new DefaultThreadFactory(name + "-io", true),
                session -> new LingeringSession(session, scratch),
                onFault,
                new Ended(),
                ShutdownCommand.GRACEFUL_NORMAL_CALLBACK);
        selector = Selector.open();
    }

    /**
     * Binds an address; so many connections may wait there to be taken in.
     *
     * @param most connections that there may be at once, those included that the handlers have yet to hear of
     * @param name of the threads
     */
    public static Listening at(
            InetSocketAddress address,
            int backlog,
            int most,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onFault,
            Counters counters)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(address, backlog);
            return new Listening(socket, true, most, name, handlers, onFault, counters);
        } catch (IOException e) {
            socket.close();
            throw new AddressException(address, e);
        }
    }

    /** Takes over a socket that listens already. */
    public static Listening on(
            ServerSocketChannel inherited,
            int most,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onFault,
            Counters counters)
            throws IOException {
        return new Listening(inherited, false, most, name, handlers, onFault, counters);
    }

    /** Asked when nothing could be accepted, before the start: makes room where that is for lack of descriptors. */
    public void whenLacking(BooleanSupplier listener) {
        lacking = listener;
    }

    /** Accepts from now on; returns the address in use. */
    public InetSocketAddress start() throws IOException {
        reactor.start();
        socket.configureBlocking(false);
        socket.register(selector, SelectionKey.OP_ACCEPT);
        acceptor = new Thread(this::accept, name + "-accept");
        acceptor.start();
        return (InetSocketAddress) socket.getLocalAddress();
    }

    private void accept() {
        while (!stopped) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                while (!stopped && takeIn()) {
                    // All that has come up, as places get free.
                }
            } catch (InterruptedException e) {
                stopped = true;
            } catch (IOException | IllegalStateException e) {
                // Guards against a moment without descriptors: what waits in the socket's queue waits a little longer.
                counters.count(Counter.ACCEPTOR_WAITS);
                lacked = lacking.getAsBoolean();
                lackedAt = System.nanoTime();
                Log.info("acceptor-waits", name + ": " + e.getMessage());
                pause();
            }
        }
        end();
    }

    /** Takes in the next connection, or waits a while for a place; false if none has come up. */
    private boolean takeIn() throws IOException, InterruptedException {
        if (!places.tryAcquire(PAUSE_MS, TimeUnit.MILLISECONDS)) {
            return true;
        }
        SocketChannel next = null;
        try {
            next = socket.accept();
        } finally {
            if (next == null) {
                places.release();
            }
        }
        if (next != null) {
            ChannelBridge.adopt(reactor, next);
            if (lacked && System.nanoTime() - lackedAt < ONE_BY_ONE_NANOS) {
                Thread.sleep(BETWEEN_MS);
            }
        }
        return next != null;
    }

    private void end() {
        try {
            // The selector first: a socket that is still registered would go on listening.
            selector.close();
            if (own) {
                // Guards against the reset of what has come up but was not taken in yet, request and all: closing the
                // socket
                // ends it. At a socket that outlives this process it is left to the next one.
                for (SocketChannel next = socket.accept(); next != null; next = socket.accept()) {
                    ChannelBridge.adopt(reactor, next);
                }
                socket.close();
            }
        } catch (IOException | IllegalStateException e) {
            Log.info("acceptor-ended", name + ": " + e.getMessage());
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    /** Accepts no more, once it returns; the connections that there are go on. */
    public void stopAccepting() throws InterruptedException {
        stopped = true;
        selector.wakeup();
        acceptor.join(LONGEST_STOP_MS);
    }

    /** Hears of each socket's close, once. */
    private final class Ended implements IOSessionListener {
        @Override
        public void disconnected(IOSession session) {
            places.release();
        }

        @Override
        public void connected(IOSession session) {}

        @Override
        public void startTls(IOSession session) {}

        @Override
        public void inputReady(IOSession session) {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session) {}

        @Override
        public void exception(IOSession session, Exception cause) {}
    }

    /** Ends all connections. */
    public void close() {
        reactor.close(CloseMode.GRACEFUL);
    }
}
