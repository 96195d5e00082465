package calicochute.backend;

/**
 * Decides whether a server has stopped sending a streamed response: a state machine without I/O, with time as an
 * argument (microseconds). A server that still sends, however slowly, has not stopped.
 */
final class StallMonitor {
    /** How long a server may send nothing. */
    static final long MAX_STALL_MICROS = 5_000_000;

    /** When the server last sent something, or the client was the slow side. */
    private long progressAt;

    private long totalBytes;

    StallMonitor(long now, long totalBytes) {
        progressAt = now;
        this.totalBytes = totalBytes;
    }

    /**
     * Checks the progress; called regularly. Returns true if the response has stalled.
     *
     * @param newTotalBytes bytes received so far
     * @param awaitsSource all of them were passed on; while some are buffered, the client is the slow side
     */
    boolean hasStalled(long now, long newTotalBytes, boolean awaitsSource) {
        if (newTotalBytes > totalBytes || !awaitsSource) {
            progressAt = now;
        }
        totalBytes = newTotalBytes;
        return now - progressAt >= MAX_STALL_MICROS;
    }
}
