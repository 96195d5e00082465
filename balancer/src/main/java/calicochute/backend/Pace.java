package calicochute.backend;

/**
 * Whether an answer in pieces comes fast enough to be waited for: a state machine without I/O, with time passed in
 * (microseconds). It may stand still for a while, and comes at a rate in the long run; a byte now and then is no
 * progress.
 */
final class Pace {
    /** How long it may stand still, and the bytes a millisecond that it has to come at. */
    private static final long STILL = 5_000_000;

    private static final long RATE = 1;
    private long left = STILL;
    private long lookedAt;
    private long bytes;

    Pace(long now, long bytes) {
        lookedAt = now;
        this.bytes = bytes;
    }

    /**
     * A look now and then.
     *
     * @param total bytes that have come so far
     * @param awaited nothing of them is left to be passed on: while there is, the client is the slow one
     */
    boolean holds(long now, long total, boolean awaited) {
        left = Math.min(STILL, left + (total - bytes) * 1000 / RATE - (awaited ? now - lookedAt : 0));
        lookedAt = now;
        bytes = total;
        return left > 0;
    }
}
