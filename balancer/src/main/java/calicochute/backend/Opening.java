package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;

/**
 * A connection on its way up, for whoever waits at its server then. It may come up later than a dispatch waits: it is
 * kept then, so that the handshake is not lost and the next dispatch finds it, but not for good and only so many to a
 * server.
 */
final class Opening {
    /** Nobody counts on one that is not up by then. */
    private static final long LONGEST = 2_000_000;

    private final Connections connections;
    private final BackendServer server;
    private Connection connection;
    private DecisionQueue.Timer alarm;
    private boolean late;
    private boolean over;

    Opening(Connections connections, BackendServer server) {
        this.connections = connections;
        this.server = server;
    }

    void begin() {
        long time = connections.connectTimeout();
        server.openings.add(this);
        alarm = connections.queue.schedule(time, this::becomeLate);
        connection = connections.open(server, Math.max(time, LONGEST), c -> up(), this::failed);
    }

    boolean late() {
        return late;
    }

    private void becomeLate() {
        late = true;
        if (server.lateOpenings() > Connections.MOST_LATE || server.gone) {
            giveUp();
        } else {
            alarm = connections.queue.schedule(LONGEST, this::giveUp);
        }
    }

    private void up() {
        if (end()) {
            if (late) {
                connections.counters.count(Counter.CONNECTIONS_LATE);
            }
            connections.cameUp(server, connection);
        }
    }

    private void failed() {
        if (end()) {
            server.openingFailed();
        }
    }

    /** A connection that never comes up is never answered by the network: this side ends it. */
    void giveUp() {
        if (end()) {
            connection.cancelConnect();
        }
    }

    private boolean end() {
        boolean first = !over;
        over = true;
        alarm.cancel();
        server.openings.remove(this);
        return first;
    }
}
