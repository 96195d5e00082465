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
public record Gathered(Map<Key, Counts> counts, long clashes) {
    public record Key(String origin, long window) implements Comparable<Key> {
        @Override
        public int compareTo(Key o) {
            return window == o.window ? origin.compareTo(o.origin) : Long.compare(window, o.window);
        }
    }

    public static final Gathered NONE = new Gathered(Map.of(), 0);

    public Gathered {
        counts = java.util.Collections.unmodifiableMap(new TreeMap<>(counts));
    }

    public Gathered with(String origin, Counts heard) {
        return join(new Gathered(Map.of(new Key(origin, heard.window()), heard), 0));
    }

    public Gathered join(Gathered other) {
        Map<Key, Counts> all = new TreeMap<>(counts);
        long clashing = Math.max(clashes, other.clashes);
        for (Map.Entry<Key, Counts> entry : other.counts.entrySet()) {
            Counts old = all.get(entry.getKey());
            if (old == null || !old.equals(entry.getValue())) {
                clashing += old == null ? 0 : 1;
                boolean greater = old == null
                        || Arrays.compareUnsigned(old.bytes(), entry.getValue().bytes()) < 0;
                all.put(entry.getKey(), greater ? entry.getValue() : old);
            }
        }
        return new Gathered(all, clashing);
    }

    /** What was counted in one window, by origin. */
    public Map<String, Counts> of(long window) {
        Map<String, Counts> found = new TreeMap<>();
        counts.forEach((key, value) -> {
            if (key.window() == window) {
                found.put(key.origin(), value);
            }
        });
        return found;
    }

    /** Without windows up to and with this one, which are sealed. */
    public Gathered after(long window) {
        Map<Key, Counts> rest = new TreeMap<>(counts);
        rest.keySet().removeIf(key -> key.window() <= window);
        return new Gathered(rest, clashes);
    }
}
