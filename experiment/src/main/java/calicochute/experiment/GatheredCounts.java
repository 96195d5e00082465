package calicochute.experiment;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of several balancers, by origin and window. Joining is a map union; of two different ones under one key the
 * greater by its bytes is kept: any order, loss and repetition gives the same. Immutable.
 *
 * @param clashes keys under which two different ones were seen: a balancer that counts wrongly or a name in use twice
 */
public record GatheredCounts(Map<Key, Counts> counts, long conflicts) {
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

    public GatheredCounts with(String origin, Counts received) {
        return merge(new GatheredCounts(Map.of(new Key(origin, received.window()), received), 0));
    }

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

    /** What was counted in one window, by origin. */
    public Map<String, Counts> ofWindow(long window) {
        Map<String, Counts> found = new TreeMap<>();
        counts.forEach((key, value) -> {
            if (key.window() == window) {
                found.put(key.origin(), value);
            }
        });
        return found;
    }

    /** Without windows up to and with this one, which are sealed. */
    public GatheredCounts afterWindow(long window) {
        Map<Key, Counts> remaining = new TreeMap<>(counts);
        remaining.keySet().removeIf(key -> key.window() <= window);
        return new GatheredCounts(remaining, conflicts);
    }
}
