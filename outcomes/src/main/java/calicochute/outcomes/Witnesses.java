package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongToIntFunction;

/**
 * What an owner holds: of each window and subject the tallies by origin. An origin's tally of a window is an immutable
 * whole, so the merge is a union of maps; of two different ones the greater is kept. Bounded: an origin names so many
 * subjects a window, and with too many tallies in all the oldest window is given up.
 */
final class Witnesses {
    private final Limits limits;
    private final Counts counts;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private int entries;
    private long floor = Long.MIN_VALUE;

    /**
     * One window: its rows are published in chunks that stay as they were first laid out, so that a later version of
     * one holds all that an earlier did.
     */
    static final class Window {
        final long first;
        final Map<Long, Sum> sums = new HashMap<>();
        final List<Chunk> chunks = new ArrayList<>();
        private final Map<Origin, Integer> named = new HashMap<>();
        private final Chunk[] last = new Chunk[Owners.MANY];
        private int unknown;

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
        final int place;
        final List<Sum> sums = new ArrayList<>();
        int revision;
        long due;

        Chunk(int place, long due) {
            this.place = place;
            this.due = due;
        }

        /** Whether there is a subject in it that was not published yet. */
        boolean news() {
            return sums.stream().anyMatch(s -> s.changed && !s.published);
        }

        boolean changed() {
            return sums.stream().anyMatch(s -> s.changed);
        }
    }

    Witnesses(Limits limits, Counts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    /** {@code placed}: which owner of a subject this balancer is, 0 the first; -1: the subject is not known. */
    void heard(long now, Origin origin, long number, long hash, Tally tally, LongToIntFunction placed) {
        if (number < floor) {
            counts.add(Cause.GIVEN_UP);
            return;
        }
        Window window = windows.computeIfAbsent(number, n -> new Window(now));
        Sum sum = window.sums.get(hash);
        Tally before = sum == null ? null : sum.by.get(origin);
        int place = sum == null ? placed.applyAsInt(hash) : 0;
        if (place < 0 && window.unknown >= limits.unknown()) {
            counts.add(Cause.TOO_MANY);
            return;
        }
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
            if (named >= limits.subjects()
                    || window.named.size() >= limits.witnesses() && named == 0
                    || sum != null && sum.by.size() >= limits.witnesses()) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            window.named.put(origin, named + 1);
            entries++;
        }
        if (sum == null) {
            sum = new Sum(hash);
            window.sums.put(hash, sum);
            window.unknown += place < 0 ? 1 : 0;
            place(now, window, sum, place < 0 ? Owners.MANY - 1 : place);
        }
        sum.by.put(origin, tally);
        sum.summed = null;
        sum.changed = true;
        while (entries > limits.entries()) {
            counts.add(Cause.GIVEN_UP);
            floor = windows.firstKey() + 1;
            forget(windows.firstKey());
        }
    }

    private void place(long now, Window window, Sum sum, int place) {
        if (window.last[place] != null && window.last[place].sums.size() < Bodies.rows(limits)) {
            window.last[place].sums.add(sum);
            window.last[place].due = Math.min(window.last[place].due, now + limits.settle() + place * limits.gap() / 2);
            return;
        }
        // One owner after the other: what was lost on the way from one comes from the next, and news in between is
        // early. A spare hears what they said first.
        Chunk chunk = new Chunk(place, Math.max(now, window.first + limits.settle() + place * limits.gap() / 2));
        chunk.sums.add(sum);
        window.chunks.add(chunk);
        window.last[place] = chunk;
    }

    /** Newest window first. */
    Map<Long, Window> windows() {
        return windows.descendingMap();
    }

    /** Others go: too old, or of a time before this clock was put back. */
    void keep(long oldest, long newest) {
        floor = Math.min(floor, newest);
        while (!windows.isEmpty() && windows.firstKey() < oldest) {
            forget(windows.firstKey());
        }
        while (!windows.isEmpty() && windows.lastKey() > newest) {
            forget(windows.lastKey());
        }
    }

    private void forget(long number) {
        entries -= windows.remove(number).named.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    int size() {
        return entries;
    }
}
