package calicochute.backend;

import calicochute.connection.Connection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** One backend server's address and the connections to it that stand idle, the latest used first. */
final class BackendServer {
    record Idle(Connection connection, long since) { }

    final InetSocketAddress address;
    /** No longer listed, or listed at another address: nothing is kept for it any more. */
    boolean gone;
    final ArrayDeque<Idle> idle = new ArrayDeque<>();

    /** Until then its connections serve one call each. */
    private long waryUntil;

    BackendServer(InetSocketAddress address) {
        this.address = address;
    }

    /** Takes an idle connection that is still open; null if there is none. */
    Idle take() {
        for (Idle next = idle.pollFirst(); next != null; next = idle.pollFirst()) {
            if (next.connection().open()) {
                return next;
            }
        }
        return null;
    }

    /** It ended a connection that was kept for it: for a while none is kept, lest calls be written to ended ones. */
    int beWary(long until) {
        waryUntil = until;
        return closeIdleSince(Long.MAX_VALUE);
    }

    boolean keeps(long now) {
        return !gone && now >= waryUntil;
    }

    /** Closes those idle since before that time; tells how many. */
    int closeIdleSince(long time) {
        int closed = 0;
        while (!idle.isEmpty() && idle.peekLast().since() <= time) {
            idle.pollLast().connection().close();
            closed++;
        }
        return closed;
    }
}
