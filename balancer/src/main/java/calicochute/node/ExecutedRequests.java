package calicochute.node;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The client ids of ended sessions that a server may have executed and must not execute again. A client that got no
 * response sends the same id once more. Does no I/O; times are arguments, in microseconds.
 */
final class ExecutedRequests {
    /** How long an id is remembered. */
    static final long RETENTION_MICROS = 60_000_000;
    /** Beyond this number the oldest ids are forgotten. */
    static final int MAX_IDS = 1 << 14;

    /** When each id was added, oldest first. */
    private final Map<String, Long> addedAtById = new LinkedHashMap<>();

    void add(String id, long now) {
        addedAtById.remove(id);
        addedAtById.put(id, now);
        forget(now);
    }

    boolean contains(String id, long now) {
        Long addedAt = addedAtById.get(id);
        return addedAt != null && now - addedAt < RETENTION_MICROS;
    }

    private void forget(long now) {
        Iterator<Long> oldestFirst = addedAtById.values().iterator();
        while (oldestFirst.hasNext()) {
            long addedAt = oldestFirst.next();
            if (addedAtById.size() <= MAX_IDS && now - addedAt < RETENTION_MICROS) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
