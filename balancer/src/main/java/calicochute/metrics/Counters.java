package calicochute.metrics;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** The process's counters. Thread-safe. */
public final class Counters {
    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);

    /** Increments the counter by one. */
    public void count(Counter counter) {
        counts.incrementAndGet(counter.ordinal());
    }

    public long get(Counter counter) {
        return counts.get(counter.ordinal());
    }

    /**
     * Counts and logs a broken invariant, and then fails if assertions are enabled.
     *
     * @param violation what is wrong if {@code holds} is false
     */
    public void checkInvariant(boolean holds, String violation) {
        if (!holds) {
            count(Counter.INVARIANTS_BROKEN);
            Log.warn("invariant-broken", violation);
        }
        assert holds : violation;
    }

    /** One line per counter: its name, a space, its value. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Counter counter : Counter.values()) {
            text.append(counter.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(get(counter))
                    .append('\n');
        }
        return text.toString();
    }
}
