package calicochute.gossip;

/**
 * Bounds of time (microseconds) and size (bytes).
 *
 * @param probeEvery one member is probed in this time; each is asked by someone as often on average
 * @param again time to the second direct probe; the third goes with the indirect ones at twice this
 * @param unanswered a probe without an answer makes a suspect after this
 * @param suspected a suspect that does not object is gone after this
 * @param digestEvery a digest to a random peer; five times as often while much is missing
 * @param ripe an entry known for less is still on its direct way and not sent as a repair
 * @param entryBytes key and body of one entry, and the body of a direct message
 * @param storeBytes all entries, each with 200 bytes for what is kept beside it
 * @param keys entries at once
 * @param longestKept `until` may lie this far ahead; as long the version of an expired key is remembered
 * @param clockAhead a clock further ahead is not heard
 * @param repairRate repairs sent, a second
 * @param peersATick how many peers one tick sends bundles to
 */
public record Limits(
        long probeEvery,
        long again,
        long unanswered,
        long suspected,
        long digestEvery,
        long ripe,
        int entryBytes,
        long storeBytes,
        int keys,
        long longestKept,
        long clockAhead,
        int repairRate,
        int peersATick) {
    public static final int DATAGRAM = 1_200;
    public static final int KEY = 200;

    public Limits {
        if (entryBytes < 1 || entryBytes > 1_000) {
            throw new IllegalArgumentException("an entry has to be of 1 to 1,000 bytes: " + entryBytes);
        }
        if (probeEvery <= 0
                || again <= 0
                || unanswered <= 2 * again
                || suspected <= 0
                || digestEvery <= 0
                || ripe < 0
                || storeBytes <= 0
                || keys <= 0
                || longestKept <= 0
                || clockAhead < 0
                || repairRate <= 0
                || peersATick <= 0) {
            throw new IllegalArgumentException("limits out of range");
        }
    }

    /** Measured with 300 members and 10% loss: docs/measurements/gossip.md. */
    public static Limits usual() {
        return new Limits(
                150_000,
                100_000,
                400_000,
                800_000,
                400_000,
                250_000,
                1_000,
                2_000_000,
                8_192,
                3_600_000_000L,
                5_000_000,
                16_000,
                150);
    }
}
