package calicochute.lab.discovery;

/**
 * A service of fixed capacity that handles calls in turn, without I/O: says when a call that comes now would be done,
 * or that it waits too long and fails. Times in microseconds.
 */
public final class CallQueue {
    /** A call that failed for having waited too long. */
    public static final long FAILED = -1;

    private final double perCall;
    private final int linesPerCall;
    private final long timeout;
    private double freeAt;

    /** @param perSecond calls a second; {@code linesPerCall} entries cost as much as one call */
    public CallQueue(double perSecond, int linesPerCall, long timeout) {
        perCall = 1e6 / perSecond;
        this.linesPerCall = linesPerCall;
        this.timeout = timeout;
    }

    /** When a call for so many entries is done, or {@link #FAILED}. */
    public long call(long now, int lines) {
        double begin = Math.max(now, freeAt);
        if (begin - now > timeout) {
            return FAILED;
        }
        freeAt = begin + perCall * (1 + (double) lines / linesPerCall);
        return (long) Math.ceil(freeAt);
    }

    /** How long a failed call has waited. */
    public long timeout() {
        return timeout;
    }
}
