package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.pool.Pool;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Opens connections to backend servers, as many as there is room for, and hears of their ends. */
final class Connections {
    /** Spares leave this part of the room to sessions. */
    private static final double SPARE_ROOM = 0.5;
    /** So many that are late may still come up to one server: one that is silent gets no more. */
    static final int MOST_LATE = 2;

    final DecisionQueue queue;
    final Counters counters;
    private final Connector connector;
    private final int room;
    private final Supplier<Collection<BackendServer>> servers;
    /** One for each connection that is open or being opened. */
    private final Set<Object> open = new HashSet<>();

    private long connectTimeout;
    private long idleTime;

    Connections(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            int room,
            Supplier<Collection<BackendServer>> servers) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.room = room;
        this.servers = servers;
    }

    /** @param connectionIdle after which a server drops an idle connection */
    void retune(long timeout, long connectionIdle) {
        connectTimeout = timeout > 0 ? timeout : 1_000_000;
        // Guards against the reset of a call that crosses the server's own closing of an idle connection.
        idleTime = Math.max(1, connectionIdle / 3);
    }

    long idleTime() {
        return idleTime;
    }

    long connectTimeout() {
        return connectTimeout;
    }

    /** Whether there is room for one more connection, if need be by closing an idle one. */
    boolean makeRoom() {
        return open.size() < room || giveUpLate() || closeIdlest();
    }

    /**
     * Opens a connection for those that wait at a server, if more wait than are on their way; false if there is no
     * room.
     */
    boolean openFor(BackendServer server) {
        if (server.wantsOpening()) {
            if (!makeRoom()) {
                return false;
            }
            new Opening(this, server).begin();
        }
        return true;
    }

    /**
     * One has waited for half of its time: opens a second connection beside the first, where that may help. Nothing has
     * been sent, so this is no second dispatch; whichever comes up first serves it, and the other one is kept.
     */
    void openSecond(BackendServer server) {
        if (server.lateOpenings() < MOST_LATE && open.size() < room * SPARE_ROOM) {
            counters.count(Counter.CONNECTIONS_TRIED_AGAIN);
            new Opening(this, server).begin();
        }
    }

    /** A connection that somebody may wait for has come up. */
    void cameUp(BackendServer server, Connection connection) {
        Errand first = server.waiting.poll();
        if (first != null) {
            first.opened(connection);
        } else if (server.keeps(queue.now())) {
            server.pool.add(connection, queue.now());
        } else {
            connection.close();
        }
    }

    /** It was lent to a call that has not begun. */
    void unused(BackendServer server, Connection connection, boolean served) {
        if (served) {
            give(server, connection);
        } else {
            cameUp(server, connection);
        }
    }

    /** A call is over and its connection may serve another. */
    void give(BackendServer server, Connection connection) {
        server.pool.give(connection, queue.now());
        serveWaiting(server);
    }

    /** Lends a free connection; null if there is none to be had. */
    Pool.Lent<Connection> lend(BackendServer server) {
        closeTooOld(server);
        return server.pool.take(queue.now());
    }

    /** Guards against the next call's being written to a connection that its server ends just then. */
    void closeTooOld(BackendServer server) {
        long now = queue.now();
        count(server.closeIdleSince(Math.max(server.pool.tooOld(now), now - idleTime)));
    }

    /** Whoever waits for a connection of its own takes a free one that is there before it. */
    void serveWaiting(BackendServer server) {
        Pool.Lent<Connection> lent = server.waiting.isEmpty() ? null : lend(server);
        if (lent != null) {
            server.waiting.poll().lent(lent);
        }
    }

    /** Gives up a connection that is late, whichever server it goes to; false if none is. */
    private boolean giveUpLate() {
        Opening late = servers.get().stream()
                .flatMap(s -> s.openings.stream())
                .filter(Opening::late)
                .findFirst()
                .orElse(null);
        if (late != null) {
            late.giveUp();
        }
        return late != null;
    }

    /** Opens a connection, which counts until it has ended; both callbacks come on the decision thread. */
    Connection open(BackendServer server, long timeout, Consumer<Connection> opened, Runnable failed) {
        Object one = new Object();
        open.add(one);
        counters.count(Counter.CONNECTIONS_OPENED);
        return connector.open(
                server.address,
                timeout,
                c -> queue.post(() -> opened.accept(c)),
                e -> queue.post(() -> {
                    open.remove(one);
                    failed.run();
                }),
                c -> queue.post(() -> {
                    open.remove(one);
                    Pool.Ended ended = server.pool.ended(c, !c.receivedUnsolicitedData(), queue.now());
                    if (c.receivedUnsolicitedData()) {
                        counters.count(Counter.CONNECTIONS_SPOILT);
                        server.pool.outOfTurn(queue.now());
                    }
                    if (ended == Pool.Ended.KEPT && !c.receivedUnsolicitedData()) {
                        counters.count(Counter.CONNECTIONS_ENDED_EARLY);
                        closeTooOld(server);
                    } else if (ended == Pool.Ended.SPARE) {
                        counters.count(Counter.SPARES_FAILED);
                    }
                }));
    }

    /** Opens a connection ahead if the server's pool wants one and none is on its way; nobody waits for it. */
    void openSpare(BackendServer server) {
        if (!server.openings.isEmpty()
                || !server.keeps(queue.now())
                || open.size() >= room * SPARE_ROOM
                || !server.pool.claimSpare(queue.now())) {
            return;
        }
        new Spare(this, server).begin();
    }

    /** Closes the connection that has been idle longest, whichever server it goes to; false if none is. */
    private boolean closeIdlest() {
        BackendServer idlest = null;
        for (BackendServer server : servers.get()) {
            if (server.pool.free() > 0 && (idlest == null || server.pool.idlestSince() < idlest.pool.idlestSince())) {
                idlest = server;
            }
        }
        if (idlest != null) {
            count(idlest.closeIdleSince(idlest.pool.idlestSince()));
        }
        return idlest != null;
    }

    /** A connection that had been free for so long was ended before, or just as, a call was written to it. */
    void endedEarly(BackendServer server, long idle) {
        counters.count(Counter.CONNECTIONS_ENDED_EARLY);
        server.pool.endedAfter(idle, queue.now());
        closeTooOld(server);
    }

    void count(int closed) {
        for (int i = 0; i < closed; i++) {
            counters.count(Counter.CONNECTIONS_CLOSED_IDLE);
        }
    }
}
