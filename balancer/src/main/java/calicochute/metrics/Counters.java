package calicochute.metrics;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** The program's counters, which any thread may raise and read. */
public final class Counters {
    private final AtomicLongArray counts = new AtomicLongArray(Counter.values().length);

    public void count(Counter counter) {
        counts.incrementAndGet(counter.ordinal());
    }

    public long get(Counter counter) {
        return counts.get(counter.ordinal());
    }

    /** What must hold: asserted where assertions are on, counted and logged where they are off. */
    public void mustHold(boolean holds, String what) {
        if (!holds) {
            count(Counter.INVARIANTS_BROKEN);
            Log.warn("invariant-broken", what);
        }
        assert holds : what;
    }

    /** One line a counter: its name, a space, its value. */
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
