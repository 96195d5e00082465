package calicochute.outcomes;

import calicochute.outcomes.Counts.Cause;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Which subject a hash stands for: those of lists and settings, and those that this balancer itself counted last. */
final class Names {
    private final Limits limits;
    private final Counts counts;
    private final Map<Long, Subject> known = new HashMap<>();
    private final LinkedHashMap<Long, Subject> own = new LinkedHashMap<>(16, 0.75f, true);

    Names(Limits limits, Counts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    void known(Collection<Subject> subjects) {
        known.clear();
        for (Subject subject : subjects) {
            if (known.size() >= limits.subjects()) {
                counts.add(Cause.TOO_MANY);
            } else {
                put(known, subject.hash(), subject);
            }
        }
    }

    Set<String> servers() {
        return known.values().stream().map(Subject::server).collect(Collectors.toSet());
    }

    long own(Subject subject) {
        long hash = subject.hash();
        if (own.get(hash) == null || !own.get(hash).equals(subject)) {
            put(own, hash, subject);
        }
        if (own.size() > limits.subjects()) {
            own.remove(own.keySet().iterator().next());
        }
        return hash;
    }

    private void put(Map<Long, Subject> names, long hash, Subject subject) {
        Subject first = names.putIfAbsent(hash, subject);
        if (first != null && !first.equals(subject)) {
            counts.add(Cause.COLLISION);
        }
    }

    /** Null: not known (yet). */
    Subject of(long hash) {
        Subject subject = known.get(hash);
        return subject != null ? subject : own.get(hash);
    }
}
