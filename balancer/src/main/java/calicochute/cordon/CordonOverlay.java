package calicochute.cordon;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies the cordons to discovery's list: a cordoned server that discovery lists as ready is reported as draining. A
 * cordon also survives a full list, a restart of the server under the same id, and a server's removal and return. Does
 * no I/O; used by one thread.
 */
public final class CordonOverlay {
    /** How many ids are remembered of servers that were listed once and are not listed any more. */
    private static final int MAX_FORMER_IDS = 10_000;
    /** The listed servers as discovery reported them, by id. */
    private final Map<String, Backend> listed = new LinkedHashMap<>();

    private final Set<String> formerIds = new LinkedHashSet<>();
    private Cordons cordons = Cordons.NONE;

    /**
     * Takes entries from discovery and returns them with the cordons applied.
     *
     * @param full the entries are the whole list, and not changes to it
     */
    public List<Backend> applyDiscovery(boolean full, List<Backend> entries) {
        if (full) {
            listed.keySet().forEach(this::remember);
            listed.clear();
        }
        for (Backend entry : entries) {
            if (entry.state() == BackendState.GONE) {
                listed.remove(entry.id());
                remember(entry.id());
            } else {
                listed.put(entry.id(), entry);
            }
        }
        return entries.stream().map(this::effective).toList();
    }

    /** Replaces the cordons and returns the listed servers that this cordons or uncordons. */
    public List<Backend> applyCordons(Cordons next) {
        List<Backend> changed = new ArrayList<>();
        Cordons before = cordons;
        cordons = next;
        for (Backend entry : listed.values()) {
            if (before.contains(entry.id()) != next.contains(entry.id())) {
                changed.add(effective(entry));
            }
        }
        return changed;
    }

    /** All listed servers with the cordons applied. */
    public List<Backend> effectiveBackends() {
        return listed.values().stream().map(this::effective).toList();
    }

    /** Whether the server is or was listed, as far back as this is remembered, or is cordoned. */
    public boolean everListed(String id) {
        return listed.containsKey(id) || formerIds.contains(id) || cordons.contains(id);
    }

    public int listedCount() {
        return listed.size();
    }

    /** The number of listed servers that are not ready, by discovery or by a cordon. */
    public int unavailableCount() {
        return (int) listed.values().stream()
                .filter(e -> effective(e).state() != BackendState.READY)
                .count();
    }

    private Backend effective(Backend entry) {
        return entry.state() == BackendState.READY && cordons.contains(entry.id())
                ? new Backend(
                        entry.id(),
                        entry.zone(),
                        entry.cell(),
                        entry.weight(),
                        BackendState.DRAINING,
                        entry.startedAt(),
                        entry.kind())
                : entry;
    }

    private void remember(String id) {
        formerIds.add(id);
        if (formerIds.size() > MAX_FORMER_IDS) {
            formerIds.remove(formerIds.iterator().next());
        }
    }
}
