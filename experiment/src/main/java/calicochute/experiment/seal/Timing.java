package calicochute.experiment.seal;

/**
 * Times in microseconds. None of them matters to agreement.
 *
 * @param retry until what was not answered is sent again, first time
 * @param takeover until the next in turn proposes, for each place in turn
 * @param spread between two tellings of the newest place to a few peers
 * @param ask between two asks of a peer that does not vote, first time; doubles up to eight times that
 * @param settle for so long a new epoch must look needed before it is begun
 * @param window commits to a new epoch count for so long
 * @param hold who committed keeps out of the old epoch for so long; far above window
 */
public record Timing(
        long retryMicros,
        long takeoverMicros,
        long announceMicros,
        long statusRequestMicros,
        long settleMicros,
        long commitWindowMicros,
        long holdMicros) {
    public static final Timing DEFAULT =
            new Timing(300_000, 2_000_000, 1_000_000, 250_000, 1_000_000, 1_000_000, 3_000_000);

    /** How old an answer may be that speaks for a new epoch. */
    long maxReplyAgeMicros() {
        return 12 * statusRequestMicros;
    }
}
