package calicochute.experiment.seal;

/**
 * Timing of the protocol in microseconds. Agreement within an epoch does not depend on it.
 *
 * @param retryMicros delay until an unanswered message is sent again for the first time
 * @param takeoverMicros time that a proposer waits for each rank before its own
 * @param announceMicros interval at which the newest decided slot is announced to a few peers
 * @param statusRequestMicros initial interval of status requests of an abstaining peer; doubles up to eight times this
 * @param settleMicros for how long a new epoch must seem necessary before it is formed
 * @param commitWindowMicros for how long commits to a new epoch are counted
 * @param holdMicros for how long a peer that committed stays out of the old epoch; must be far above
 *     {@code commitWindowMicros}
 */
public record Timing(
        long retryMicros,
        long takeoverMicros,
        long announceMicros,
        long statusRequestMicros,
        long settleMicros,
        long commitWindowMicros,
        long holdMicros) {
    /** The timing used in production. */
    public static final Timing DEFAULT =
            new Timing(300_000, 2_000_000, 1_000_000, 250_000, 1_000_000, 1_000_000, 3_000_000);

    /** Largest age of a status reply that counts for the formation of an epoch. */
    long maxReplyAgeMicros() {
        return 12 * statusRequestMicros;
    }
}
