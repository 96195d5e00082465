package calicochute.listening;

import calicochute.lifecycle.ServingThreads;
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
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ChannelBridge;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.TimeoutCheck;
import org.apache.hc.core5.util.TimeValue;

/**
 * Accepts connections at one address; one I/O thread serves them all. The listening socket belongs to this process, or
 * was inherited and outlives the process. An inherited socket is never closed or shut down here, and other processes
 * accept on it too, so a pending connection may be gone before it is accepted.
 *
 * <p>HttpCore's own acceptor is not used because it stops, and closes the socket, at the first connection for which
 * there is no file descriptor.
 */
public final class ConnectionAcceptor {
    /** Pause after a failed accept, and longest wait for a permit before the stop flag is checked. */
    private static final long RETRY_DELAY_MS = 50;
    /**
     * For this long after a shortage of file descriptors, connections are accepted one at a time with pauses, so that
     * the freed descriptors are not all taken at once.
     */
    private static final long THROTTLE_NANOS = 1_000_000_000L;

    /** Pause between two connections accepted during {@link #THROTTLE_NANOS}. */
    private static final long THROTTLE_DELAY_MS = 2;

    private static final int SCRATCH_BYTES = 4096;
    /** How long {@link #stopAccepting} waits for the accepting thread. */
    private static final long STOP_TIMEOUT_MS = 1000;

    /**
     * Send buffer of a connection. The system chooses up to some megabytes, and takes further bytes only once a third
     * of them has been read: a slow reader then looks like one that has stopped reading.
     */
    private static final int SEND_BUFFER_BYTES = 1 << 17;

    private static final IOReactorConfig REACTOR_CONFIG = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setSndBufSize(SEND_BUFFER_BYTES)
            .setSelectInterval(TimeValue.ofMilliseconds(100))
            .build();
    private final ServerSocketChannel socket;
    private final boolean ownsSocket;
    private final String name;
    private final Counters counters;
    private final ServingThreads ioThreads;
    private final ServingThreads acceptorThreads;
    private final DefaultConnectingIOReactor reactor;
    private final Selector selector;
    /**
     * One permit per connection, held until its socket is closed. Accepting is faster than handing over to the I/O
     * thread and would otherwise use up the reserved descriptors.
     */
    private final Semaphore connectionPermits;

    private Thread acceptorThread;
    private volatile boolean stopped;
    private BooleanSupplier descriptorShortage = () -> false;
    private long shortageAtNanos;
    private boolean shortageSeen;

    private ConnectionAcceptor(
            ServerSocketChannel socket,
            boolean ownsSocket,
            int maxConnections,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onException,
            Counters counters)
            throws IOException {
        this.socket = socket;
        this.ownsSocket = ownsSocket;
        this.name = name;
        connectionPermits = new Semaphore(maxConnections);
        this.counters = counters;
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
        ioThreads = new ServingThreads(name + "-io", true);
        acceptorThreads = new ServingThreads(name + "-accept", false);
        reactor = new DefaultConnectingIOReactor(
                handlers,
                REACTOR_CONFIG,
                ioThreads,
                session -> new LingeringSession(session, scratch),
                onException,
                new CloseListener(),
                ShutdownCommand.GRACEFUL_NORMAL_CALLBACK);
        selector = Selector.open();
    }

    /**
     * Binds an address.
     *
     * @param backlog length of the queue of connections waiting to be accepted
     * @param maxConnections limit of open connections, including those not handed to a handler yet
     * @param name prefix of the thread names
     */
    public static ConnectionAcceptor bind(
            InetSocketAddress address,
            int backlog,
            int maxConnections,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onException,
            Counters counters)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(address, backlog);
            return new ConnectionAcceptor(socket, true, maxConnections, name, handlers, onException, counters);
        } catch (IOException e) {
            socket.close();
            throw new AddressException(address, e);
        }
    }

    /** Uses an inherited socket that is already listening. */
    public static ConnectionAcceptor adopt(
            ServerSocketChannel inherited,
            int maxConnections,
            String name,
            IOEventHandlerFactory handlers,
            Callback<Exception> onException,
            Counters counters)
            throws IOException {
        return new ConnectionAcceptor(inherited, false, maxConnections, name, handlers, onException, counters);
    }

    /**
     * Sets the handler that is called when accepting fails; it frees file descriptors if they are exhausted, and
     * returns whether one may soon be free. Must be set before the start.
     */
    public void onDescriptorShortage(BooleanSupplier listener) {
        descriptorShortage = listener;
    }

    /** Starts accepting and returns the bound address. */
    public InetSocketAddress start() throws IOException {
        reactor.start();
        socket.configureBlocking(false);
        socket.register(selector, SelectionKey.OP_ACCEPT);
        acceptorThread = acceptorThreads.newThread(this::acceptLoop);
        acceptorThread.start();
        return (InetSocketAddress) socket.getLocalAddress();
    }

    private void acceptLoop() {
        while (!stopped) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                while (!stopped && acceptNext()) {
                    // Accepts all pending connections, waiting for free permits.
                }
            } catch (InterruptedException e) {
                stopped = true;
            } catch (IOException | IllegalStateException e) {
                // A temporary shortage of descriptors must not end the loop; pending connections stay in the socket's
                // queue.
                counters.count(Counter.ACCEPTOR_WAITS);
                shortageSeen = descriptorShortage.getAsBoolean();
                shortageAtNanos = System.nanoTime();
                Log.info("acceptor-waits", name + ": " + e.getMessage());
                sleepAfterFailure();
            }
        }
        closeSocket();
    }

    /** Accepts the next connection or waits for a permit; returns false if no connection is pending. */
    private boolean acceptNext() throws IOException, InterruptedException {
        if (!connectionPermits.tryAcquire(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)) {
            return true;
        }
        SocketChannel accepted = null;
        try {
            accepted = socket.accept();
        } finally {
            if (accepted == null) {
                connectionPermits.release();
            }
        }
        if (accepted != null) {
            ChannelBridge.adopt(reactor, accepted);
            if (shortageSeen && System.nanoTime() - shortageAtNanos < THROTTLE_NANOS) {
                Thread.sleep(THROTTLE_DELAY_MS);
            }
        }
        return accepted != null;
    }

    private void closeSocket() {
        try {
            // The selector is closed first: a socket that is still registered would keep listening.
            selector.close();
            if (ownsSocket) {
                // Closing the socket would reset pending connections, including requests already sent on them, so
                // they are accepted first. On an inherited socket they are left to the next process.
                for (SocketChannel accepted = socket.accept(); accepted != null; accepted = socket.accept()) {
                    ChannelBridge.adopt(reactor, accepted);
                }
                socket.close();
            }
        } catch (IOException | IllegalStateException e) {
            Log.info("acceptor-ended", name + ": " + e.getMessage());
        }
    }

    private void sleepAfterFailure() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            stopped = true;
        }
    }

    /** Has the timeouts of all connections checked, also after the wall clock was set back; any thread may call. */
    public void checkTimeouts() {
        TimeoutCheck.restart(reactor);
    }

    /** Stops accepting and waits for the accepting thread to end; open connections continue. */
    public void stopAccepting() throws InterruptedException {
        acceptorThreads.expectEnd();
        stopped = true;
        selector.wakeup();
        acceptorThread.join(STOP_TIMEOUT_MS);
    }

    /** Releases the permit of each connection when its socket is closed, once. */
    private final class CloseListener implements IOSessionListener {
        @Override
        public void disconnected(IOSession session) {
            connectionPermits.release();
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

    /** Closes all connections. */
    public void close() {
        ioThreads.expectEnd();
        reactor.close(CloseMode.GRACEFUL);
    }
}
