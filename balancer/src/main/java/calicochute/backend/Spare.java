package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;

/** A connection opened ahead: it comes up, fails or never comes up, whichever is first. */
final class Spare {
    private final Connections connections;
    private final BackendServer server;
    private Connection connection;
    private DecisionQueue.Timer never;
    private boolean over;

    Spare(Connections connections, BackendServer server) {
        this.connections = connections;
        this.server = server;
    }

    void begin() {
        connections.counters.count(Counter.SPARES_OPENED);
        never = connections.queue.schedule(connections.connectTimeout(), () -> end(false));
        connection = connections.open(server, connections.connectTimeout(), c -> end(true), () -> end(false));
    }

    private void end(boolean up) {
        if (over) {
            return;
        }
        over = true;
        never.cancel();
        if (up && server.keeps(connections.queue.now())) {
            server.pool.spareOpened(connection, connections.queue.now());
            connections.serveWaiting(server);
        } else {
            connections.counters.count(Counter.SPARES_FAILED);
            server.pool.spareFailed(connections.queue.now());
            connection.close();
        }
    }
}
