package calicochute.takeover;

/**
 * A moment by both clocks of the system.
 *
 * @param wallMs Unix milliseconds; the wall clock may step
 * @param monotonicNanos by the monotonic clock, which all processes share until the system restarts
 */
public record SaveTime(long wallMs, long monotonicNanos) {
    public static SaveTime now() {
        return new SaveTime(System.currentTimeMillis(), System.nanoTime());
    }
}
