package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a reader holds: of each subject and window the row of most witnesses, by a fixed order of all rows, so that any
 * order, loss and repetition of the same rows ends in the same; the last windows of each subject only.
 */
final class Board {
    private final Limits limits;
    private final Names names;
    private final Counts counts;
    private final Map<Long, TreeMap<Long, Held>> rows = new HashMap<>();

    private record Held(Summed row, Origin owner) {
        boolean before(Held other) {
            int by = row.compareTo(other.row);
            return by != 0 ? by < 0 : owner.compareTo(other.owner) < 0;
        }
    }

    Board(Limits limits, Names names, Counts counts) {
        this.limits = limits;
        this.names = names;
        this.counts = counts;
    }

    void heard(Origin owner, long window, Summed row) {
        TreeMap<Long, Held> of = rows.get(row.hash());
        if (of == null) {
            if (names.of(row.hash()) == null && unknown() >= limits.unknown()) {
                counts.add(Cause.TOO_MANY);
                return;
            }
            of = new TreeMap<>();
            rows.put(row.hash(), of);
        }
        Held held = new Held(row, owner);
        of.merge(window, held, (a, b) -> a.before(b) ? b : a);
        if (of.size() > limits.rows()) {
            of.pollFirstEntry();
        }
    }

    private long unknown() {
        return rows.keySet().stream().filter(hash -> names.of(hash) == null).count();
    }

    /** The row held; null: none. */
    Summed held(long hash, long window) {
        TreeMap<Long, Held> of = rows.get(hash);
        Held held = of == null ? null : of.get(window);
        return held == null ? null : held.row;
    }

    /** Others go: too old, or of a time before this clock was put back. */
    void keep(long oldest, long newest) {
        rows.values().forEach(of -> {
            of.headMap(oldest).clear();
            of.tailMap(newest, false).clear();
        });
        rows.values().removeIf(TreeMap::isEmpty);
    }

    /** Other subjects are known now: of those that are not only a few are held on. */
    void named() {
        long over = unknown() - limits.unknown();
        if (over > 0) {
            rows.keySet().removeIf(hash -> names.of(hash) == null);
        }
    }

    List<Row> known() {
        List<Row> list = new ArrayList<>();
        rows.forEach((hash, of) -> {
            Subject subject = names.of(hash);
            if (subject != null) {
                of.forEach((window, held) -> list.add(new Row(
                        subject,
                        window,
                        held.owner,
                        held.row.witnesses(),
                        held.row.sum(),
                        held.row.clipped(),
                        held.row.middle(),
                        held.row.between())));
            }
        });
        return list;
    }

    int size() {
        return rows.values().stream().mapToInt(TreeMap::size).sum();
    }
}
