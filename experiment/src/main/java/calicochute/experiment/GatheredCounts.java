package calicochute.experiment;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of several balancers, by origin and window. Immutable. Merging is a map union that keeps, of two different
 * counts under one key, the one with the greater serialized form; the result does not depend on order or repetition.
 *
 * @param counts the counts by origin and window
 * @param conflicts number of times that two different counts met under one key, which means that a balancer counts
 *     wrongly or that two balancers use one name
 */
public record GatheredCounts(Map<Key, Counts> counts, long conflicts) {
    /**
     * Identifies the counts of one balancer for one window.
     *
     * @param origin name of the balancer
     */
    public record Key(String origin, long window) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            return window == other.window ? origin.compareTo(other.origin) : Long.compare(window, other.window);
        }
    }

    public static final GatheredCounts EMPTY = new GatheredCounts(Map.of(), 0);

    public GatheredCounts {
        counts = java.util.Collections.unmodifiableMap(new TreeMap<>(counts));
    }

    /** Returns these counts with one more. */
    public GatheredCounts with(String origin, Counts received) {
        return merge(new GatheredCounts(Map.of(new Key(origin, received.window()), received), 0));
    }

    /** Returns the union of both; associative, commutative and idempotent in the counts. */
    public GatheredCounts merge(GatheredCounts other) {
        Map<Key, Counts> merged = new TreeMap<>(counts);
        long conflicting = Math.max(conflicts, other.conflicts);
        for (Map.Entry<Key, Counts> entry : other.counts.entrySet()) {
            Counts old = merged.get(entry.getKey());
            if (old == null || !old.equals(entry.getValue())) {
                conflicting += old == null ? 0 : 1;
                boolean greater = old == null
                        || Arrays.compareUnsigned(
                                        old.toBytes(), entry.getValue().toBytes())
                                < 0;
                merged.put(entry.getKey(), greater ? entry.getValue() : old);
            }
        }
        return new GatheredCounts(merged, conflicting);
    }

    /** Returns the counts of one window, by origin. */
    public Map<String, Counts> ofWindow(long window) {
        Map<String, Counts> found = new TreeMap<>();
        counts.forEach((key, value) -> {
            if (key.window() == window) {
                found.put(key.origin(), value);
            }
        });
        return found;
    }

    /** Returns the counts of the windows after the given one. */
    public GatheredCounts afterWindow(long window) {
        Map<Key, Counts> remaining = new TreeMap<>(counts);
        remaining.keySet().removeIf(key -> key.window() <= window);
        return new GatheredCounts(remaining, conflicts);
    }
}
