package calicochute.lab.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Discovery's list with its versions, without I/O: what is entered becomes visible when the caller says so; a caller
 * who knows a version gets what changed since, the newest state of each entry. Versions count from 1.
 */
public final class Directory {
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final TreeMap<Long, String> changes = new TreeMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long version = 1;

    /** What discovery says of a machine's process. */
    public enum State {
        READY("Ready"),
        TERMINATING("Terminating"),
        GONE("Gone");

        private final String word;

        State(String word) {
            this.word = word;
        }

        public String word() {
            return word;
        }
    }

    /**
     * One machine; {@code size} is its nominal one, 1 in the mean of its tier; {@code startedAt} is the Unix time in
     * microseconds of its last start, 0 for long ago.
     */
    public record Entry(String id, String zone, String kind, int cell, double size, State state, long startedAt) {}

    /** A list for a caller: the whole or what changed. */
    public record Page(long version, boolean whole, List<Entry> entries) {}

    /** Enters a machine or changes its entry; that is a new version. */
    public void set(Entry entry) {
        version++;
        Long before = changedAt.put(entry.id(), version);
        if (before != null) {
            changes.remove(before);
        }
        changes.put(version, entry.id());
        entries.put(entry.id(), entry);
    }

    public long version() {
        return version;
    }

    public Entry entry(String id) {
        return entries.get(id);
    }

    /** The whole list, without what is gone. */
    public Page whole() {
        return new Page(
                version,
                true,
                entries.values().stream().filter(e -> e.state() != State.GONE).toList());
    }

    /** What changed after a version; one from the future (another discovery's) gets the whole list. */
    public Page since(long known) {
        if (known > version || known < 1) {
            return whole();
        }
        Collection<String> ids = changes.tailMap(known, false).values();
        List<Entry> changed = new ArrayList<>(ids.size());
        ids.forEach(id -> changed.add(entries.get(id)));
        return new Page(version, false, changed);
    }
}
