package calicochute.outcomes;

import calicochute.outcomes.DropCounts.Cause;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Resolves the hash of a key. Holds the keys that follow from server lists and settings, and the keys that this
 * balancer itself counted most recently.
 */
final class KeyRegistry {
    private final Limits limits;
    private final DropCounts counts;
    private final Map<Long, OutcomeKey> known = new HashMap<>();
    /** In order of access, so that the least recently used key is evicted. */
    private final LinkedHashMap<Long, OutcomeKey> own = new LinkedHashMap<>(16, 0.75f, true);

    KeyRegistry(Limits limits, DropCounts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    void setKnown(Collection<OutcomeKey> keys) {
        known.clear();
        for (OutcomeKey key : keys) {
            if (known.size() >= limits.maxKeys()) {
                counts.add(Cause.TOO_MANY);
            } else {
                putIfAbsent(known, key.hash(), key);
            }
        }
    }

    /** The servers of the known keys. */
    Set<String> servers() {
        return known.values().stream().map(OutcomeKey::server).collect(Collectors.toSet());
    }

    /** Remembers a key that this balancer counted and returns its hash. */
    long registerOwn(OutcomeKey key) {
        long hash = key.hash();
        if (own.get(hash) == null || !own.get(hash).equals(key)) {
            putIfAbsent(own, hash, key);
        }
        if (own.size() > limits.maxKeys()) {
            own.remove(own.keySet().iterator().next());
        }
        return hash;
    }

    private void putIfAbsent(Map<Long, OutcomeKey> keys, long hash, OutcomeKey key) {
        OutcomeKey first = keys.putIfAbsent(hash, key);
        if (first != null && !first.equals(key)) {
            counts.add(Cause.COLLISION);
        }
    }

    /** The key with that hash, or null where it is unknown. */
    OutcomeKey find(long hash) {
        OutcomeKey key = known.get(hash);
        return key != null ? key : own.get(hash);
    }
}
