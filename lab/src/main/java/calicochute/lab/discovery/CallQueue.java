package calicochute.lab.discovery;

/**
 * A FIFO queue for a service of fixed capacity. It computes when a call that arrives now completes, or that the call
 * fails because it would wait too long. The class does no I/O; times are in microseconds.
 */
public final class CallQueue {
    /** Result for a call that fails because it would wait too long. */
    public static final long FAILED = -1;

    private final double microsPerCall;
    private final int entriesPerCall;
    private final long timeoutMicros;
    private double freeAt;

    /**
     * @param perSecond calls without entries that the service handles per second
     * @param entriesPerCall how many entries cost as much as a call itself
     * @param timeoutMicros how long a call may wait
     */
    public CallQueue(double perSecond, int entriesPerCall, long timeoutMicros) {
        microsPerCall = 1e6 / perSecond;
        this.entriesPerCall = entriesPerCall;
        this.timeoutMicros = timeoutMicros;
    }

    /** The time at which a call that returns so many entries completes, or {@link #FAILED}. */
    public long call(long now, int entries) {
        double begin = Math.max(now, freeAt);
        if (begin - now > timeoutMicros) {
            return FAILED;
        }
        freeAt = begin + microsPerCall * (1 + (double) entries / entriesPerCall);
        return (long) Math.ceil(freeAt);
    }

    /** How long a call waits before it fails. */
    public long timeoutMicros() {
        return timeoutMicros;
    }
}
