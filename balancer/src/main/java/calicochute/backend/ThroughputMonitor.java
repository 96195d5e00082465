package calicochute.backend;

/**
 * Decides whether a streamed response arrives fast enough: a state machine without I/O, with time as an argument
 * (microseconds). A response may stall for a while but must keep a minimum rate in the long run; a byte now and then
 * does not count as progress.
 */
final class ThroughputMonitor {
    /** How long a response may stall. */
    private static final long MAX_STALL_MICROS = 5_000_000;
    /** Minimum rate in the long run, in bytes per millisecond. */
    private static final long MIN_BYTES_PER_MILLI = 1;

    /** The stall that is still tolerated, in microseconds. */
    private long remainingStallMicros = MAX_STALL_MICROS;

    private long checkedAt;
    private long totalBytes;

    ThroughputMonitor(long now, long totalBytes) {
        checkedAt = now;
        this.totalBytes = totalBytes;
    }

    /**
     * Checks the progress; called regularly. Returns false if the response is too slow.
     *
     * @param newTotalBytes bytes received so far
     * @param awaitsSource all of them were passed on; while some are buffered, the client is the slow side
     */
    boolean isSufficient(long now, long newTotalBytes, boolean awaitsSource) {
        remainingStallMicros = Math.min(
                MAX_STALL_MICROS,
                remainingStallMicros
                        + (newTotalBytes - totalBytes) * 1000 / MIN_BYTES_PER_MILLI
                        - (awaitsSource ? now - checkedAt : 0));
        checkedAt = now;
        totalBytes = newTotalBytes;
        return remainingStallMicros > 0;
    }
}
