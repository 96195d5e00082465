package calicochute.outcomes;

/**
 * Bounds on what is stored and sent.
 *
 * @param maxBodyBytes size of one message body
 * @param maxKeys keys of one origin in one window, and known keys
 * @param maxUnknownKeys keys in no list that rows are held for, and for which tallies are held in each window
 * @param maxDispatches dispatches of one origin for one key in a window
 * @param maxReporters reporters of one key in a window
 * @param maxTallies tallies held as an owner, over all windows (about 170 bytes each)
 * @param windowsPerKey windows of each key for which a reader holds a row
 * @param maxWindowsAhead windows by which another balancer's clock may be ahead
 * @param maxWindowsBehind windows by which a report may be late
 * @param medianMultiple multiple of the median reporter's dispatches to which a reporter's tally is clipped
 * @param resendMicros microseconds after which a report is sent again
 * @param maxSends how often a report is sent in all
 * @param settleMicros microseconds from the first report of a window to its first published rows
 * @param republishMicros microseconds between two publications of the same rows by the first two owners in turn (half
 *     of it after the first publication)
 * @param publishBytesPerSecond bytes a second that this balancer publishes at most, to all peers together; rows that
 *     were never published go first
 */
public record Limits(
        int maxBodyBytes,
        int maxKeys,
        int maxUnknownKeys,
        long maxDispatches,
        int maxReporters,
        int maxTallies,
        int windowsPerKey,
        int maxWindowsAhead,
        int maxWindowsBehind,
        int medianMultiple,
        long resendMicros,
        int maxSends,
        long settleMicros,
        long republishMicros,
        long publishBytesPerSecond) {
    public static final Limits DEFAULT =
            new Limits(1000, 1024, 256, 1_000_000, 1024, 32_768, 10, 2, 30, 3, 300_000, 2, 500_000, 1_000_000, 28_000);

    /**
     * The bounds on body size, dispatches and reporters make sure that the rows of a chunk fit into one body, see
     * {@link MessageCodec#MAX_ENTRY_BYTES}.
     */
    public Limits {
        if (maxBodyBytes < 200
                || maxKeys < 1
                || maxDispatches > 1_000_000
                || maxReporters > 1024
                || maxWindowsBehind < 1
                || maxWindowsBehind > 30
                || maxWindowsAhead < 0
                || windowsPerKey < 1
                || maxSends < 1) {
            throw new IllegalArgumentException("limits out of range");
        }
    }
}
