package calicochute.frontend;

import calicochute.exchange.ByteBudget;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.SessionListener;
import calicochute.lifecycle.Lifecycle;
import calicochute.listening.ConnectionAcceptor;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsHistory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;

/** The client side: an HTTP server whose requests become exchanges. One I/O thread serves all connections. */
public final class Frontend implements AutoCloseable {
    private static final String READY_PATH = "/ready";
    private static final String COUNTERS_PATH = "/counters";
    private static final int BACKLOG_CONNECTIONS = 1024;
    private final SessionParser parser;
    private final DecisionQueue queue;
    private final SessionListener sessions;
    private final Counters counters;
    private final BooleanSupplier ready;
    private final Callback<Exception> onException = e -> Log.info("client-connection", String.valueOf(e.getMessage()));
    private final InetSocketAddress address;
    private final ServerSocketChannel inherited;
    private volatile ConnectionAcceptor acceptor;
    private final int maxConnections;
    private final ConnectionLimit connectionLimit;
    private final int windowBytes;
    private final ReadAheadBudget readAhead;
    private final ByteBudget bodyBudget;
    private final ResetDetector resetDetector;
    /** Open client connections, oldest first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private volatile int openConnections;
    private final Supplier<Lifecycle> lifecycle;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param inherited an already listening socket, or null to listen at the configured address
     */
    public Frontend(
            Configuration configuration,
            ServerSocketChannel inherited,
            DecisionQueue queue,
            SessionListener sessions,
            Counters counters,
            BooleanSupplier ready,
            Supplier<Lifecycle> lifecycle,
            Supplier<SettingsHistory> settings)
            throws IOException {
        parser = new SessionParser(settings);
        this.queue = queue;
        this.sessions = sessions;
        this.counters = counters;
        this.ready = ready;
        this.lifecycle = lifecycle;
        maxConnections = configuration.bounds().clientConnections();
        connectionLimit = new ConnectionLimit(maxConnections);
        windowBytes = configuration.bounds().windowBytes();
        readAhead = new ReadAheadBudget(configuration.bounds().readAheadBytes());
        bodyBudget = new ByteBudget(configuration.bounds().bodyBytes());
        resetDetector = new ResetDetector(queue);
        address = configuration.listen();
        this.inherited = inherited;
    }

    /** Starts listening and returns the bound address. */
    public InetSocketAddress start() throws IOException {
        IOEventHandlerFactory handlers = (session, attachment) -> ClientConnection.create(session, this, onException);
        acceptor = inherited == null
                ? ConnectionAcceptor.bind(
                        address,
                        BACKLOG_CONNECTIONS,
                        maxConnections + Bounds.EXTRA_ACCEPTED_CONNECTIONS,
                        "frontend",
                        handlers,
                        onException,
                        counters)
                : ConnectionAcceptor.adopt(
                        inherited,
                        maxConnections + Bounds.EXTRA_ACCEPTED_CONNECTIONS,
                        "frontend",
                        handlers,
                        onException,
                        counters);
        acceptor.onDescriptorShortage(this::handleDescriptorShortage);
        return acceptor.start();
    }

    /** Has the timeouts of all connections checked, whatever the wall clock does. */
    public void checkTimeouts() {
        acceptor.checkTimeouts();
    }

    /** Stops accepting connections; open requests are answered. */
    public void stopAccepting() throws InterruptedException {
        acceptor.stopAccepting();
    }

    /** Asks the I/O thread to close each connection that has no open request and no pending input. */
    public synchronized void closeIdle() {
        connections.forEach(ClientConnection::closeIfIdle);
    }

    /** Aborts each streamed response that is not finished, by closing its connection. */
    public synchronized void abortStreamedResponses() {
        connections.forEach(ClientConnection::abortStreamedResponse);
    }

    @Override
    public void close() {
        acceptor.close();
        resetDetector.close();
    }

    /** Whether the frontend answers this path itself instead of dispatching a session. */
    boolean isOwnPath(String path) {
        return path.equals(READY_PATH) || path.equals(COUNTERS_PATH);
    }

    /** The text of one of the frontend's own pages; null for the readiness page while not ready. */
    String ownPage(String path) {
        return path.equals(COUNTERS_PATH)
                ? counters.text()
                : ready.getAsBoolean() && lifecycle.get().ready() ? "ready\n" : null;
    }

    /** How many bytes of a streamed request are read ahead of its server. */
    int windowBytes() {
        return windowBytes;
    }

    /** Budget for reading beyond the window while no server has received part of the request. */
    ReadAheadBudget readAhead() {
        return readAhead;
    }

    /** Budget for the bodies of requests and responses, over all sessions. */
    ByteBudget bodyBudget() {
        return bodyBudget;
    }

    /** Detects resets on connections that are not being read. */
    ResetDetector resetDetector() {
        return resetDetector;
    }

    SessionParser parser() {
        return parser;
    }

    long nowMicros() {
        return queue.now();
    }

    SessionListener sessions() {
        return sessions;
    }

    Counters counters() {
        return counters;
    }

    /**
     * Registers a connection and closes another one if there are too many. The new connection itself is closed only
     * above the configured maximum: when descriptors are short it already has its own.
     */
    synchronized void opened(ClientConnection connection) {
        counters.count(Counter.CLIENTS_ACCEPTED);
        connections.add(connection);
        openConnections = connections.size();
        if (openConnections > connectionLimit.limitAt(nowMicros())) {
            ClientConnection candidate = lowestPriority(Set.of(connection));
            if (candidate != null) {
                candidate.closeForDescriptor();
            } else if (openConnections > maxConnections) {
                connection.closeForDescriptor();
            }
        }
    }

    /**
     * Called when something could not be opened or accepted; any thread may call. If file descriptors are exhausted,
     * closes the connections of the lowest priority; returns true if a descriptor may soon be free.
     */
    public boolean handleDescriptorShortage() {
        return descriptorsExhausted() && freeDescriptors();
    }

    /** Tests this directly because the text of the exception depends on the system's language. */
    private static boolean descriptorsExhausted() {
        try {
            SocketChannel.open().close();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Frees descriptors; returns true if some will soon be free. */
    synchronized boolean freeDescriptors() {
        if (!connectionLimit.reduceOnShortage(nowMicros(), openConnections)) {
            return true;
        }
        Set<ClientConnection> closed = new HashSet<>();
        for (int excess = openConnections - connectionLimit.limitAt(nowMicros()); excess > 0; excess--) {
            ClientConnection candidate = lowestPriority(closed);
            if (candidate == null) {
                break;
            }
            candidate.closeForDescriptor();
            closed.add(candidate);
        }
        Log.warn("descriptors-lacking", "clients=" + openConnections + " ended=" + closed.size());
        return !closed.isEmpty();
    }

    synchronized void closed(ClientConnection connection) {
        connections.remove(connection);
        openConnections = connections.size();
    }

    /**
     * The connection to close when descriptors are short: the one of the lowest priority, of equal ones the one idle
     * the longest. Connections that are busy or excluded are never chosen; null if there is no other.
     */
    private ClientConnection lowestPriority(Set<ClientConnection> excluded) {
        ClientConnection candidate = null;
        ClientConnection.Priority candidatePriority = ClientConnection.Priority.BUSY;
        for (ClientConnection connection : connections) {
            ClientConnection.Priority priority =
                    excluded.contains(connection) ? ClientConnection.Priority.BUSY : connection.priority();
            // Unread input is a partial request too; checked last because it needs a system call.
            boolean preferred = priority == candidatePriority
                    ? candidate != null && connection.idleMs() > candidate.idleMs()
                    : priority.compareTo(candidatePriority) < 0;
            if (preferred && (priority == ClientConnection.Priority.LINGERING || !connection.hasUnreadInput())) {
                candidate = connection;
                candidatePriority = priority;
            }
        }
        return candidate;
    }

    /** Number of open client connections, lingering ones included. */
    public int openConnections() {
        return openConnections;
    }

    boolean closesIdleConnections() {
        return lifecycle.get().closesIdleConnections(nowMicros());
    }

    /**
     * Whether responses close their connections: while the process stops, and above three quarters of the connection
     * limit.
     */
    boolean closesAfterResponse() {
        return lifecycle.get().closesAfterResponse() || openConnections > connectionLimit.limitAt(nowMicros()) * 3 / 4;
    }
}
