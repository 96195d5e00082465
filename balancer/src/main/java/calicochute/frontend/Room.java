package calicochute.frontend;

/**
 * How many clients' connections there may be, without I/O and with time passed in (microseconds): as many as the
 * settings promise, until descriptors turn out to be fewer.
 *
 * <p>Guards against idle clients that hold the last descriptors, if the process's real limit is lower than what it was
 * told: who asks, discovery, servers and the second address then have none.
 */
final class Room {
    /** So many descriptors are made free at once: beside the one in need others soon are. */
    static final int AT_ONCE = 8;
    /** Never fewer, whoever holds the others. */
    static final int FEWEST = 8;
    /** One more may come back in this time: a lack may pass, and the next one costs but idle connections. */
    static final long REGAIN = 5_000_000;
    /** What was made free is closed by then. */
    static final long SETTLE = 200_000;

    private final int promised;
    private int limit;
    private long since;

    Room(int promised) {
        this.promised = promised;
        limit = promised;
    }

    synchronized int at(long now) {
        return limit >= promised ? promised : (int) Math.min(promised, limit + (now - since) / REGAIN);
    }

    /** There are no descriptors left; false if what was made free last is still on its way back. */
    synchronized boolean lacks(long now, int connected) {
        if (limit < promised && now - since < SETTLE) {
            return false;
        }
        limit = Math.min(promised, Math.max(FEWEST, Math.min(at(now), connected) - AT_ONCE));
        since = now;
        return true;
    }
}
