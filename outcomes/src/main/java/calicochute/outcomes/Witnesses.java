package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/**
 * What an owner holds: of each window and subject the tallies by origin. An origin's tally of a window is an immutable whole, so the merge is a union of maps; of two
 * different ones the greater is kept. Bounded: an origin names so many subjects a window, and with too many tallies in all the oldest window is given up.
 */
final class Witnesses {
    private final Limits limits;
    private final Counts counts;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private int entries;
    private long floor = Long.MIN_VALUE;

    /** One window: its rows are published in chunks that stay as they were first laid out, so that a later version of one holds all that an earlier did. */
    static final class Window {
        final long first;
        final Map<Long, Sum> sums = new HashMap<>();
        final List<Chunk> chunks = new ArrayList<>();
        private final Map<Origin, Integer> named = new HashMap<>();

        Window(long first) {
            this.first = first;
        }
    }

    static final class Sum {
        final long hash;
        private final Map<Origin, Tally> by = new HashMap<>();
        private Summed summed;
        boolean changed;
        boolean published;

        Sum(long hash) {
            this.hash = hash;
        }

        Summed summed(int cap) {
            if (summed == null) {
                summed = Summed.of(hash, by.values(), cap);
            }
            return summed;
        }
    }

    static final class Chunk {
        final boolean spare;
        final List<Sum> sums = new ArrayList<>();
        int revision;
        long due;

        Chunk(boolean spare, long due) {
            this.spare = spare;
            this.due = due;
        }

        boolean changed() {
            return sums.stream().anyMatch(s -> s.changed);
        }
    }

    Witnesses(Limits limits, Counts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    /** {@code spare}: whether this balancer is only the spare owner of a subject, or none. */
    void heard(long now, Origin origin, long number, long hash, Tally tally, LongPredicate spare) {
        if (number < floor) {
            counts.add(Cause.GIVEN_UP);
            return;
        }
        Window window = windows.computeIfAbsent(number, n -> new Window(now));
        Sum sum = window.sums.get(hash);
        Tally before = sum == null ? null : sum.by.get(origin);
        if (before != null) {
            int by = before.compareTo(tally);
            if (by != 0) {
                counts.add(Cause.CLASH);
            }
            if (by >= 0) {
                return;
            }
        } else {
            int named = window.named.getOrDefault(origin, 0);
            if (named >= limits.subjects() || window.named.size() >= limits.witnesses() && named == 0 || sum != null && sum.by.size() >= limits.witnesses()) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            window.named.put(origin, named + 1);
            entries++;
        }
        if (sum == null) {
            sum = new Sum(hash);
            window.sums.put(hash, sum);
            place(now, window, sum, spare.test(hash));
        }
        sum.by.put(origin, tally);
        sum.summed = null;
        sum.changed = true;
        while (entries > limits.entries()) {
            counts.add(Cause.GIVEN_UP);
            forget(windows.firstKey() + 1);
        }
    }

    private void place(long now, Window window, Sum sum, boolean spare) {
        for (Chunk chunk : window.chunks) {
            if (chunk.spare == spare && chunk.sums.size() < Bodies.rows(limits)) {
                chunk.sums.add(sum);
                return;
            }
        }
        // A spare waits until the others' rows are here: it speaks only where they do not.
        Chunk chunk = new Chunk(spare, Math.max(now, window.first + limits.settle() * (spare ? 2 : 1)));
        chunk.sums.add(sum);
        window.chunks.add(chunk);
    }

    /** Newest window first. */
    Map<Long, Window> windows() {
        return windows.descendingMap();
    }

    void forget(long before) {
        floor = Math.max(floor, before);
        while (!windows.isEmpty() && windows.firstKey() < before) {
            entries -= windows.pollFirstEntry().getValue().named.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    int size() {
        return entries;
    }
}
