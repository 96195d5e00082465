package calicochute.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects two running processes with the same member id. Datagrams of an earlier process may arrive late after a
 * restart; datagrams of both processes that keep alternating for longer than that mean that both are running.
 */
final class DuplicateIdDetector {
    /** An earlier process whose datagrams still arrive after this time has not ended: they are not just late. */
    private static final long MAX_DATAGRAM_DELAY_MICROS = 3_000_000;

    private static final int MIN_ALTERNATIONS = 5;
    private static final long REPORT_INTERVAL_MICROS = 60_000_000;

    private static final class StartPair {
        final long earlierStart;
        final long laterStart;
        final long firstSeenMicros;
        boolean laterHeard;
        int alternations;
        long reportedAtMicros = Long.MIN_VALUE / 2;

        StartPair(long earlierStart, long laterStart, long firstSeenMicros) {
            this.earlierStart = earlierStart;
            this.laterStart = laterStart;
            this.firstSeenMicros = firstSeenMicros;
        }
    }

    private final Map<String, StartPair> pairsById = new HashMap<>();

    /** Records a datagram of the latest known process of the member. */
    void laterStartHeard(String id) {
        StartPair pair = pairsById.get(id);
        if (pair != null) {
            pair.laterHeard = true;
        }
    }

    /** Records a datagram of an earlier process of the member; true if the duplicate id has to be reported. */
    boolean earlierStartHeard(long elapsedMicros, String id, long earlierStart, long laterStart) {
        StartPair pair = pairsById.get(id);
        if (pair == null || pair.earlierStart != earlierStart || pair.laterStart != laterStart) {
            pairsById.put(id, new StartPair(earlierStart, laterStart, elapsedMicros));
            return false;
        }
        if (pair.laterHeard) {
            pair.laterHeard = false;
            pair.alternations++;
        }
        if (pair.alternations < MIN_ALTERNATIONS
                || elapsedMicros - pair.firstSeenMicros < MAX_DATAGRAM_DELAY_MICROS
                || elapsedMicros - pair.reportedAtMicros < REPORT_INTERVAL_MICROS) {
            return false;
        }
        pair.reportedAtMicros = elapsedMicros;
        return true;
    }

    void forget(String id) {
        pairsById.remove(id);
    }
}
