package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;

/**
 * A connection that is being established, for whichever execution waits at its server first. It may be established
 * after the execution that asked for it has given up: it is then kept, so that the handshake is not lost and the next
 * dispatch can use it. Both the time and the number of such connections per server are limited.
 */
final class PendingConnection {
    /** How long an overdue connection may still take, and the minimum timeout of the connect itself. */
    private static final long OVERDUE_WAIT_MICROS = 2_000_000;

    private final ConnectionManager connections;
    private final BackendServer server;
    private Connection connection;
    private DecisionQueue.Timer timer;
    private boolean overdue;
    private boolean finished;

    PendingConnection(ConnectionManager connections, BackendServer server) {
        this.connections = connections;
        this.server = server;
    }

    void start() {
        long timeoutMicros = connections.connectTimeoutMicros();
        server.pendingConnections.add(this);
        timer = connections.queue.schedule(timeoutMicros, this::markOverdue);
        connection = connections.open(
                server, Math.max(timeoutMicros, OVERDUE_WAIT_MICROS), ignored -> established(), this::failed);
    }

    boolean overdue() {
        return overdue;
    }

    private void markOverdue() {
        overdue = true;
        if (server.countOverdue() > ConnectionManager.MAX_OVERDUE_PER_SERVER || server.removed) {
            cancel();
        } else {
            timer = connections.queue.schedule(OVERDUE_WAIT_MICROS, this::cancel);
        }
    }

    private void established() {
        if (finish()) {
            if (overdue) {
                connections.counters.count(Counter.CONNECTIONS_LATE);
            }
            connections.connectionEstablished(server, connection);
        }
    }

    private void failed() {
        if (finish()) {
            server.connectFailed();
        }
    }

    /** Cancels the connect, for example because the network never responds. */
    void cancel() {
        if (finish()) {
            connection.cancelConnect();
        }
    }

    private boolean finish() {
        boolean first = !finished;
        finished = true;
        timer.cancel();
        server.pendingConnections.remove(this);
        return first;
    }
}
