package calicochute.outcomes;

import calicochute.outcomes.DropCounts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The rows that a reader holds: for each key and window the row of the most reporters, by a fixed total order of all
 * rows, so that any order, loss and repetition of the same rows ends in the same state. Only the last windows of each
 * key are held.
 */
final class RowStore {
    private final Limits limits;
    private final KeyRegistry keys;
    private final DropCounts counts;
    private final Map<Long, TreeMap<Long, Held>> rows = new HashMap<>();

    private record Held(Aggregate row, Origin owner) {
        boolean isBefore(Held other) {
            int order = row.compareTo(other.row);
            return order != 0 ? order < 0 : owner.compareTo(other.owner) < 0;
        }
    }

    RowStore(Limits limits, KeyRegistry keys, DropCounts counts) {
        this.limits = limits;
        this.keys = keys;
        this.counts = counts;
    }

    void add(Origin owner, long window, Aggregate row) {
        TreeMap<Long, Held> byWindow = rows.get(row.hash());
        if (byWindow == null) {
            if (keys.find(row.hash()) == null && unknownKeys() >= limits.maxUnknownKeys()) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            byWindow = new TreeMap<>();
            rows.put(row.hash(), byWindow);
        }
        Held held = new Held(row, owner);
        byWindow.merge(window, held, (a, b) -> a.isBefore(b) ? b : a);
        if (byWindow.size() > limits.windowsPerKey()) {
            byWindow.pollFirstEntry();
        }
    }

    private long unknownKeys() {
        return rows.keySet().stream().filter(hash -> keys.find(hash) == null).count();
    }

    /** The row held for that key and window, or null. */
    Aggregate find(long hash, long window) {
        TreeMap<Long, Held> byWindow = rows.get(hash);
        Held held = byWindow == null ? null : byWindow.get(window);
        return held == null ? null : held.row;
    }

    /** Drops the rows of windows that are too old, or that lie ahead because this clock was set back. */
    void retain(long oldest, long newest) {
        rows.values().forEach(byWindow -> {
            byWindow.headMap(oldest).clear();
            byWindow.tailMap(newest, false).clear();
        });
        rows.values().removeIf(TreeMap::isEmpty);
    }

    /** Called after the known keys changed; drops the rows of all unknown keys if they exceed their limit. */
    void onKeysChanged() {
        long over = unknownKeys() - limits.maxUnknownKeys();
        if (over > 0) {
            rows.keySet().removeIf(hash -> keys.find(hash) == null);
        }
    }

    /** The rows of all known keys. */
    List<AggregateRow> knownRows() {
        List<AggregateRow> list = new ArrayList<>();
        rows.forEach((hash, byWindow) -> {
            OutcomeKey key = keys.find(hash);
            if (key != null) {
                byWindow.forEach((window, held) -> list.add(new AggregateRow(
                        key,
                        window,
                        held.owner,
                        held.row.reporters(),
                        held.row.sum(),
                        held.row.clipped(),
                        held.row.medianLogSpeed(),
                        held.row.varianceBetweenReporters())));
            }
        });
        return list;
    }

    int size() {
        return rows.values().stream().mapToInt(TreeMap::size).sum();
    }
}
