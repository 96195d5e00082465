package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.pool.ConnectionPool;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** The address of one backend server, its idle connections and those being established. */
final class BackendServer {
    final InetSocketAddress address;
    final ConnectionPool<Connection> pool;
    /**
     * Executions waiting for a connection, in order: the first one gets the next connection, whichever execution had it
     * opened.
     */
    final ArrayDeque<DispatchExecution> waitingExecutions = new ArrayDeque<>();

    final Set<PendingConnection> pendingConnections = new LinkedHashSet<>();
    /** Whether the server was removed from the list or its address changed; its connections are not reused. */
    boolean removed;
    /** Whether discovery or an operator excluded the server: no call is started on it. */
    boolean excluded;
    /** Latest known start of the server, in microseconds; 0 if it is unknown. */
    long startedAtMicros;

    BackendServer(InetSocketAddress address, ConnectionPool.Rules rules) {
        this.address = address;
        pool = new ConnectionPool<>(rules, Connection::isOpen);
    }

    int countOverdue() {
        return (int)
                pendingConnections.stream().filter(PendingConnection::overdue).count();
    }

    /** Whether more executions wait than connections are being established in time. */
    boolean needsConnection() {
        return waitingExecutions.size() > pendingConnections.size() - countOverdue();
    }

    /** Handles a failed connect: executions for which no connection is being established fail. */
    void connectFailed() {
        while (needsConnection()) {
            waitingExecutions.poll().connectFailed();
        }
    }

    boolean reusesConnections(long now) {
        return !removed && pool.reusesConnections(now);
    }

    /** Closes connections idle since this time or longer; returns their number. */
    int closeIdleSince(long time) {
        var expired = pool.removeIdleSince(time);
        expired.forEach(Connection::close);
        return expired.size();
    }
}
