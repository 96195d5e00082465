package calicochute.outcomes;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongToIntFunction;

/**
 * The reports that an owner holds: for each window and key the tallies by origin. An origin's tally of a window never
 * changes, so reports merge as a union of maps; of two different tallies the greater is kept. The memory is bounded: an
 * origin may name only so many keys in a window, and with too many tallies in all the oldest window is evicted.
 */
final class ReportStore {
    private final Limits limits;
    private final DropCounts counts;
    private final TreeMap<Long, Window> windows = new TreeMap<>();
    private int tallies;
    /** Windows before this one were evicted; their reports are dropped. */
    private long oldestAccepted = Long.MIN_VALUE;

    /**
     * The reports of one window. Its rows are published in chunks whose keys stay in their first layout, so that a
     * later version of a chunk holds all that an earlier one did.
     */
    static final class Window {
        final long firstReportAt;
        final Map<Long, KeyReports> byKey = new HashMap<>();
        final List<Chunk> chunks = new ArrayList<>();
        private final Map<Origin, Integer> keysOfOrigin = new HashMap<>();
        private final Chunk[] lastChunks = new Chunk[Owners.OWNERS_PER_SERVER];
        private int unknownKeys;

        Window(long firstReportAt) {
            this.firstReportAt = firstReportAt;
        }
    }

    /** All reports of one key in a window, and their aggregate. */
    static final class KeyReports {
        final long hash;
        private final Map<Origin, Tally> byOrigin = new HashMap<>();
        private Aggregate aggregate;
        boolean changed;
        boolean published;

        KeyReports(long hash) {
            this.hash = hash;
        }

        Aggregate aggregate(int medianMultiple) {
            if (aggregate == null) {
                aggregate = Aggregate.of(hash, byOrigin.values(), medianMultiple);
            }
            return aggregate;
        }
    }

    /** Keys that are published together in one message body. */
    static final class Chunk {
        final int rank;
        final List<KeyReports> keys = new ArrayList<>();
        int revision;
        long due;

        Chunk(int rank, long due) {
            this.rank = rank;
            this.due = due;
        }

        /** Whether the chunk has a changed key that was never published. */
        boolean hasUnpublishedKey() {
            return keys.stream().anyMatch(k -> k.changed && !k.published);
        }

        boolean changed() {
            return keys.stream().anyMatch(k -> k.changed);
        }
    }

    ReportStore(Limits limits, DropCounts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    /**
     * Adds one origin's tally of a key.
     *
     * @param ownerRank this balancer's rank among the owners of a key, 0 the first; -1 where the key is unknown
     */
    void add(long now, Origin origin, long number, long hash, Tally tally, LongToIntFunction ownerRank) {
        if (number < oldestAccepted) {
            counts.add(Cause.GIVEN_UP);
            return;
        }
        Window window = windows.computeIfAbsent(number, n -> new Window(now));
        KeyReports reports = window.byKey.get(hash);
        Tally before = reports == null ? null : reports.byOrigin.get(origin);
        int rank = reports == null ? ownerRank.applyAsInt(hash) : 0;
        if (rank < 0 && window.unknownKeys >= limits.maxUnknownKeys()) {
            counts.add(Cause.TOO_MANY);
            return;
        }
        if (before != null) {
            int order = before.compareTo(tally);
            if (order != 0) {
                counts.add(Cause.CLASH);
            }
            if (order >= 0) {
                return;
            }
        } else {
            int keysOfOrigin = window.keysOfOrigin.getOrDefault(origin, 0);
            if (keysOfOrigin >= limits.maxKeys()
                    || window.keysOfOrigin.size() >= limits.maxReporters() && keysOfOrigin == 0
                    || reports != null && reports.byOrigin.size() >= limits.maxReporters()) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            window.keysOfOrigin.put(origin, keysOfOrigin + 1);
            tallies++;
        }
        if (reports == null) {
            reports = new KeyReports(hash);
            window.byKey.put(hash, reports);
            window.unknownKeys += rank < 0 ? 1 : 0;
            addToChunk(now, window, reports, rank < 0 ? Owners.OWNERS_PER_SERVER - 1 : rank);
        }
        reports.byOrigin.put(origin, tally);
        reports.aggregate = null;
        reports.changed = true;
        while (tallies > limits.maxTallies()) {
            counts.add(Cause.GIVEN_UP);
            oldestAccepted = windows.firstKey() + 1;
            remove(windows.firstKey());
        }
    }

    private void addToChunk(long now, Window window, KeyReports reports, int rank) {
        if (window.lastChunks[rank] != null
                && window.lastChunks[rank].keys.size() < MessageCodec.maxRowsPerBody(limits)) {
            window.lastChunks[rank].keys.add(reports);
            window.lastChunks[rank].due = Math.min(
                    window.lastChunks[rank].due, now + limits.settleMicros() + rank * limits.republishMicros() / 2);
            return;
        }
        // The owners publish one after the other: rows lost on the way from one come from the next, and changes in
        // between are published early. The third owner receives the rows of the first two before its own turn.
        Chunk chunk = new Chunk(
                rank,
                Math.max(now, window.firstReportAt + limits.settleMicros() + rank * limits.republishMicros() / 2));
        chunk.keys.add(reports);
        window.chunks.add(chunk);
        window.lastChunks[rank] = chunk;
    }

    /** The windows by number, newest first. */
    Map<Long, Window> windows() {
        return windows.descendingMap();
    }

    /** Drops windows that are too old, or that lie ahead because this clock was set back. */
    void retain(long oldest, long newest) {
        oldestAccepted = Math.min(oldestAccepted, newest);
        while (!windows.isEmpty() && windows.firstKey() < oldest) {
            remove(windows.firstKey());
        }
        while (!windows.isEmpty() && windows.lastKey() > newest) {
            remove(windows.lastKey());
        }
    }

    private void remove(long number) {
        tallies -= windows.remove(number).keysOfOrigin.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    int size() {
        return tallies;
    }
}
