package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.pool.ConnectionPool;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Opens connections to backend servers, up to a limit for all servers together, and handles their closes. */
final class ConnectionManager {
    /**
     * Share of the connection limit up to which spares and second connections are opened; the rest is left to
     * dispatches.
     */
    private static final double MAX_SPARE_SHARE = 0.5;
    /**
     * Number of overdue connections to one server that may still be established; no more are kept for a server that
     * does not respond.
     */
    static final int MAX_OVERDUE_PER_SERVER = 2;

    final DecisionQueue queue;
    final Counters counters;
    private final Connector connector;
    private final int maxConnections;
    private final Supplier<Collection<BackendServer>> servers;
    /** One token for each connection that is open or being opened. */
    private final Set<Object> openTokens = new HashSet<>();

    private long connectTimeoutMicros;
    private long maxIdleMicros;

    ConnectionManager(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            int maxConnections,
            Supplier<Collection<BackendServer>> servers) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.maxConnections = maxConnections;
        this.servers = servers;
    }

    /** Sets the timeouts; {@code connectionIdleMicros} is the time after which a server drops an idle connection. */
    void updateTimeouts(long timeoutMicros, long connectionIdleMicros) {
        connectTimeoutMicros = timeoutMicros > 0 ? timeoutMicros : 1_000_000;
        // Idle connections are closed after a third of the time: a call must not be reset because the server closes
        // the idle connection while the call is being written.
        maxIdleMicros = Math.max(1, connectionIdleMicros / 3);
    }

    long maxIdleMicros() {
        return maxIdleMicros;
    }

    long connectTimeoutMicros() {
        return connectTimeoutMicros;
    }

    /** Whether one more connection may be opened; closes an overdue or an idle one if the limit is reached. */
    boolean ensureCapacity() {
        return openTokens.size() < maxConnections || cancelOverdue() || closeLongestIdle();
    }

    /**
     * Opens a connection if more executions wait at the server than connections are being established; returns false if
     * the limit does not allow it.
     */
    boolean openForWaiting(BackendServer server) {
        if (server.needsConnection()) {
            if (!ensureCapacity()) {
                return false;
            }
            new PendingConnection(this, server).start();
        }
        return true;
    }

    /**
     * Opens a second connection beside one that has taken half of its connect timeout, if the limits allow it. Nothing
     * has been sent, so this is no second dispatch; the execution uses whichever is established first, and the other
     * one is kept.
     */
    void openSecond(BackendServer server) {
        if (server.countOverdue() < MAX_OVERDUE_PER_SERVER && openTokens.size() < maxConnections * MAX_SPARE_SHARE) {
            counters.count(Counter.CONNECTIONS_TRIED_AGAIN);
            new PendingConnection(this, server).start();
        }
    }

    /** Gives a new connection to the first waiting execution, or keeps it. */
    void connectionEstablished(BackendServer server, Connection connection) {
        DispatchExecution execution = server.waitingExecutions.poll();
        if (execution != null) {
            execution.connectionOpened(connection);
        } else if (server.reusesConnections(queue.now())) {
            server.pool.addUnused(connection, queue.now());
        } else {
            connection.close();
        }
    }

    /** Takes back a connection whose call was not started. */
    void releaseUnused(BackendServer server, Connection connection, boolean leased) {
        if (leased) {
            release(server, connection);
        } else {
            connectionEstablished(server, connection);
        }
    }

    /** Takes back a connection after a response. */
    void release(BackendServer server, Connection connection) {
        server.pool.release(connection, queue.now());
        serveWaiting(server);
    }

    /** Leases an idle connection, or returns null if there is none. */
    ConnectionPool.Lease<Connection> lease(BackendServer server) {
        closeExpired(server);
        return server.pool.lease(queue.now());
    }

    /** Closes connections idle for so long that the server may close them while the next call is being written. */
    void closeExpired(BackendServer server) {
        long now = queue.now();
        countClosedIdle(server.closeIdleSince(Math.max(server.pool.idleCutoff(now), now - maxIdleMicros)));
    }

    /** Leases an idle connection to the first waiting execution, which would otherwise wait for a new one. */
    void serveWaiting(BackendServer server) {
        ConnectionPool.Lease<Connection> lease = server.waitingExecutions.isEmpty() ? null : lease(server);
        if (lease != null) {
            server.waitingExecutions.poll().connectionLeased(lease);
        }
    }

    /** Cancels one overdue connection to any server; returns false if there is none. */
    private boolean cancelOverdue() {
        PendingConnection overdue = servers.get().stream()
                .flatMap(server -> server.pendingConnections.stream())
                .filter(PendingConnection::overdue)
                .findFirst()
                .orElse(null);
        if (overdue != null) {
            overdue.cancel();
        }
        return overdue != null;
    }

    /**
     * Opens a connection, which counts towards the limit until it is closed. Both callbacks run on the decision thread.
     */
    Connection open(BackendServer server, long timeoutMicros, Consumer<Connection> opened, Runnable failed) {
        Object token = new Object();
        openTokens.add(token);
        counters.count(Counter.CONNECTIONS_OPENED);
        return connector.open(
                server.address,
                timeoutMicros,
                connection -> queue.post(() -> opened.accept(connection)),
                cause -> queue.post(() -> {
                    openTokens.remove(token);
                    failed.run();
                }),
                connection -> queue.post(() -> {
                    openTokens.remove(token);
                    ConnectionPool.StateAtClose state = server.pool.connectionClosed(
                            connection, !connection.receivedUnsolicitedData(), queue.now());
                    if (connection.receivedUnsolicitedData()) {
                        counters.count(Counter.CONNECTIONS_SPOILT);
                        server.pool.recordUnsolicitedData(queue.now());
                    }
                    if (state == ConnectionPool.StateAtClose.IDLE_USED && !connection.receivedUnsolicitedData()) {
                        counters.count(Counter.CONNECTIONS_ENDED_EARLY);
                        closeExpired(server);
                    } else if (state == ConnectionPool.StateAtClose.IDLE_UNUSED) {
                        counters.count(Counter.SPARES_FAILED);
                    }
                }));
    }

    /** Opens a spare if the server's pool wants one and no connection to the server is being established. */
    void openSpare(BackendServer server) {
        if (!server.pendingConnections.isEmpty()
                || !server.reusesConnections(queue.now())
                || openTokens.size() >= maxConnections * MAX_SPARE_SHARE
                || !server.pool.claimSpare(queue.now())) {
            return;
        }
        new SpareConnection(this, server).start();
    }

    /** Closes the connection that has been idle longest, to any server; returns false if there is none. */
    private boolean closeLongestIdle() {
        BackendServer longestIdle = null;
        for (BackendServer server : servers.get()) {
            if (server.pool.idleCount() > 0
                    && (longestIdle == null || server.pool.longestIdleSince() < longestIdle.pool.longestIdleSince())) {
                longestIdle = server;
            }
        }
        if (longestIdle != null) {
            countClosedIdle(longestIdle.closeIdleSince(longestIdle.pool.longestIdleSince()));
        }
        return longestIdle != null;
    }

    /**
     * Records that a connection was closed by its server before, or just as, a call was written to it; it had been idle
     * for this time.
     */
    void recordEarlyClose(BackendServer server, long idleMicros) {
        counters.count(Counter.CONNECTIONS_ENDED_EARLY);
        server.pool.recordServerClose(idleMicros, queue.now());
        closeExpired(server);
    }

    void countClosedIdle(int closed) {
        for (int i = 0; i < closed; i++) {
            counters.count(Counter.CONNECTIONS_CLOSED_IDLE);
        }
    }
}
