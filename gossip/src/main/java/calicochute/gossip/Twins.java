package calicochute.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Two processes with one name: datagrams of both starts come in turn, for longer than late datagrams of a restarted one
 * could. Each pair of starts is told once a minute.
 */
final class Twins {
    private static final long TOO_LATE = 3_000_000; // microseconds after which a datagram is not just late
    private static final int TURNS = 5;
    private static final long SAID_AGAIN = 60_000_000;

    private static final class Pair {
        final long earlier;
        final long later;
        final long since;
        boolean laterHeard;
        int turns;
        long saidAt = Long.MIN_VALUE / 2;

        Pair(long earlier, long later, long since) {
            this.earlier = earlier;
            this.later = later;
            this.since = since;
        }
    }

    private final Map<String, Pair> pairs = new HashMap<>(); // one for each member at most

    /** The start taken to be the member's was heard. */
    void later(String id) {
        Pair pair = pairs.get(id);
        if (pair != null) {
            pair.laterHeard = true;
        }
    }

    /** An earlier start was heard. True: these are twins. */
    boolean earlier(long steady, String id, long earlier, long later) {
        Pair pair = pairs.get(id);
        if (pair == null || pair.earlier != earlier || pair.later != later) {
            pairs.put(id, new Pair(earlier, later, steady));
            return false;
        }
        if (pair.laterHeard) {
            pair.laterHeard = false;
            pair.turns++;
        }
        if (pair.turns < TURNS || steady - pair.since < TOO_LATE || steady - pair.saidAt < SAID_AGAIN) {
            return false;
        }
        pair.saidAt = steady;
        return true;
    }

    void forget(String id) {
        pairs.remove(id);
    }
}
