package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;

/** A connection opened in advance; it is established, fails or times out, whichever happens first. */
final class SpareConnection {
    private final ConnectionManager connections;
    private final BackendServer server;
    private Connection connection;
    private DecisionQueue.Timer timer;
    private boolean finished;

    SpareConnection(ConnectionManager connections, BackendServer server) {
        this.connections = connections;
        this.server = server;
    }

    void start() {
        connections.counters.count(Counter.SPARES_OPENED);
        timer = connections.queue.schedule(connections.connectTimeoutMicros(), () -> finish(false));
        connection = connections.open(
                server, connections.connectTimeoutMicros(), ignored -> finish(true), () -> finish(false));
    }

    private void finish(boolean established) {
        if (finished) {
            return;
        }
        finished = true;
        timer.cancel();
        if (established && server.reusesConnections(connections.queue.now())) {
            server.pool.spareOpened(connection, connections.queue.now());
            connections.serveWaiting(server);
        } else {
            connections.counters.count(Counter.SPARES_FAILED);
            server.pool.spareFailed(connections.queue.now());
            connection.close();
        }
    }
}
