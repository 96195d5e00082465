package calicochute.listening;

/**
 * Decides whether a connection's timeout is over, by the monotonic clock. The time of the last event is known only by
 * the wall clock, which may step; its change shows an event. Does no I/O; any thread may call. To be called at least
 * every {@link #MAX_CHECK_INTERVAL_MS}.
 */
final class MonotonicTimeout {
    /** An event that is seen for the first time is not older than this. */
    static final long MAX_CHECK_INTERVAL_MS = 100;

    private static final long NANOS_PER_MS = 1_000_000;

    private long lastEventMs;
    private long lastEventNanos;

    /** @param eventMs wall-clock time of the first event, which is now */
    MonotonicTimeout(long eventMs, long nowNanos) {
        lastEventMs = eventMs;
        lastEventNanos = nowNanos;
    }

    /** Whether the timeout has passed since the last event, which the wall clock says was at {@code eventMs}. */
    synchronized boolean expired(long eventMs, long nowMs, long nowNanos, long timeoutMs) {
        return idleMs(eventMs, nowMs, nowNanos) >= timeoutMs;
    }

    /** The last event has a new wall-clock time, because the clock was set back. */
    synchronized void rebase(long eventMs) {
        lastEventMs = eventMs;
    }

    /** Time since the last event, in milliseconds. */
    synchronized long idleMs(long eventMs, long nowMs, long nowNanos) {
        if (eventMs != lastEventMs) {
            long ageMs = Math.max(0, Math.min(MAX_CHECK_INTERVAL_MS, nowMs - eventMs));
            lastEventMs = eventMs;
            lastEventNanos = nowNanos - ageMs * NANOS_PER_MS;
        }
        return (nowNanos - lastEventNanos) / NANOS_PER_MS;
    }
}
