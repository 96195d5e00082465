package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.pool.Pool;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** One backend server's address and the connections to it that are free. */
final class BackendServer {
    final InetSocketAddress address;
    final Pool<Connection> pool;
    /** Those that wait for a connection: the first takes the first that there is, whoever opened it. */
    final ArrayDeque<Errand> waiting = new ArrayDeque<>();

    final Set<Opening> openings = new LinkedHashSet<>();
    /** No longer listed, or listed at another address: nothing is kept for it any more. */
    boolean gone;
    /** Discovery or an operator wants it out: no call is begun on it. */
    boolean unwanted;
    /** When it last started, as far as was told; 0 for long ago. */
    long startedAt;

    BackendServer(InetSocketAddress address, Pool.Rules rules) {
        this.address = address;
        pool = new Pool<>(rules, Connection::isOpen);
    }

    int lateOpenings() {
        return (int) openings.stream().filter(Opening::late).count();
    }

    /** Whether more wait than connections are on their way in time. */
    boolean wantsOpening() {
        return waiting.size() > openings.size() - lateOpenings();
    }

    /** A connection could not be opened: whom no other one is on its way for has none to wait for. */
    void openingFailed() {
        while (wantsOpening()) {
            waiting.poll().unconnected();
        }
    }

    boolean keeps(long now) {
        return !gone && pool.keeps(now);
    }

    /** Closes those free since that time or longer; tells how many. */
    int closeIdleSince(long time) {
        var old = pool.takeIdleSince(time);
        old.forEach(Connection::close);
        return old.size();
    }
}
