package calicochute.lab.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The versioned list of instances that discovery serves. Each change makes a new version, the first version is 1. A
 * caller that knows a version gets the present state of each instance that has changed since. The class does no I/O.
 */
public final class InstanceRegistry {
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final TreeMap<Long, String> idByVersion = new TreeMap<>();
    private final Map<String, Long> versionById = new LinkedHashMap<>();
    private long version = 1;

    /** The lifecycle state of an instance, as discovery reports it. */
    public enum State {
        READY("Ready"),
        TERMINATING("Terminating"),
        GONE("Gone");

        private final String word;

        State(String word) {
            this.word = word;
        }

        /** The state's name in discovery's list. */
        public String word() {
            return word;
        }
    }

    /**
     * One instance. {@code size} is its nominal size, which is 1 on average over its tier; {@code startedAt} is the
     * Unix time in microseconds of its last start, 0 if it started long ago.
     */
    public record Instance(String id, String zone, String kind, int cell, double size, State state, long startedAt) {}

    /** What a caller gets: the complete list or the instances that have changed. */
    public record ListUpdate(long version, boolean complete, List<Instance> instances) {}

    /** Adds or replaces an instance, which makes a new version. */
    public void put(Instance instance) {
        version++;
        Long previousVersion = versionById.put(instance.id(), version);
        if (previousVersion != null) {
            idByVersion.remove(previousVersion);
        }
        idByVersion.put(version, instance.id());
        instances.put(instance.id(), instance);
    }

    public long version() {
        return version;
    }

    public Instance instance(String id) {
        return instances.get(id);
    }

    /** The complete list, without instances that are gone. */
    public ListUpdate completeList() {
        return new ListUpdate(
                version,
                true,
                instances.values().stream()
                        .filter(instance -> instance.state() != State.GONE)
                        .toList());
    }

    /** The changes after a version; the complete list if the version is not one of this registry's. */
    public ListUpdate changesSince(long known) {
        if (known > version || known < 1) {
            return completeList();
        }
        Collection<String> ids = idByVersion.tailMap(known, false).values();
        List<Instance> changed = new ArrayList<>(ids.size());
        ids.forEach(id -> changed.add(instances.get(id)));
        return new ListUpdate(version, false, changed);
    }
}
