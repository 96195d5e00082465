package calicochute.gossip;

/**
 * Intervals, timeouts and size limits of the gossip protocol.
 *
 * @param probeIntervalMicros time between two probes by one balancer; on average each member is probed as often
 * @param probeRetryMicros time from the first to the second direct ping of a probe; the third direct ping and the
 *     indirect pings follow after twice this time
 * @param probeTimeoutMicros a member that has not answered a probe in this time becomes suspect
 * @param suspicionTimeoutMicros a suspect that has not refuted the suspicion in this time is dead
 * @param digestIntervalMicros time between two digests, each to a random peer; a fifth of it while many entries are
 *     missing
 * @param minRepairAgeMicros an entry held for a shorter time is not sent as a repair, as its author's datagrams may
 *     still be under way
 * @param maxEntryBytes key and body of an entry, or the body of a direct message
 * @param maxStoreBytes all entries, with an overhead of 200 bytes for each
 * @param maxEntries entries held at a time
 * @param maxLifetimeMicros how far in the future an entry may expire; tombstones are kept for the same time
 * @param maxClockAheadMicros datagrams and entries with times further ahead of the local clock are dropped
 * @param repairBytesPerSecond rate limit of the entries sent as repairs
 * @param peersPerTick number of peers to which queued messages are sent in one tick
 */
public record Limits(
        long probeIntervalMicros,
        long probeRetryMicros,
        long probeTimeoutMicros,
        long suspicionTimeoutMicros,
        long digestIntervalMicros,
        long minRepairAgeMicros,
        int maxEntryBytes,
        long maxStoreBytes,
        int maxEntries,
        long maxLifetimeMicros,
        long maxClockAheadMicros,
        int repairBytesPerSecond,
        int peersPerTick) {
    public static final int MAX_DATAGRAM_BYTES = 1_200;
    /** In UTF-8. */
    public static final int MAX_KEY_BYTES = 200;

    public Limits {
        if (maxEntryBytes < 1 || maxEntryBytes > 1_000) {
            throw new IllegalArgumentException("maxEntryBytes must be 1 to 1,000: " + maxEntryBytes);
        }
        if (probeIntervalMicros <= 0
                || probeRetryMicros <= 0
                || probeTimeoutMicros <= 2 * probeRetryMicros
                || suspicionTimeoutMicros <= 0
                || digestIntervalMicros <= 0
                || minRepairAgeMicros < 0
                || maxStoreBytes <= 0
                || maxEntries <= 0
                || maxLifetimeMicros <= 0
                || maxClockAheadMicros < 0
                || repairBytesPerSecond <= 0
                || peersPerTick <= 0) {
            throw new IllegalArgumentException("gossip limits out of range");
        }
    }

    /** Default values, suitable for 300 members on a network that loses 10% of the datagrams. */
    public static Limits defaults() {
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
