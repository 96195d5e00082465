package calicochute.outage;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operators' word on top of discovery's: a server that either of them wants out is told as draining. A whole list,
 * a restart under the same id, or a server gone and listed again lifts no ban. Without I/O; all on one thread.
 */
public final class Overlay {
    /** Ids that are remembered as having been listed, beyond those listed now. */
    private static final int MOST_FORMER = 10_000;
    /** Discovery's own word on each listed server. */
    private final Map<String, Backend> listed = new LinkedHashMap<>();

    private final Set<String> former = new LinkedHashSet<>();
    private Outages outages = Outages.NONE;

    /** Takes in what discovery tells; returns the same entries as they count for this balancer. */
    public List<Backend> told(boolean whole, List<Backend> entries) {
        if (whole) {
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
        return entries.stream().map(this::seen).toList();
    }

    /** Takes in the operators' word as it is now; returns the entries that count differently from before. */
    public List<Backend> taken(Outages next) {
        List<Backend> changed = new ArrayList<>();
        Outages before = outages;
        outages = next;
        for (Backend entry : listed.values()) {
            if (before.has(entry.id()) != next.has(entry.id())) {
                changed.add(seen(entry));
            }
        }
        return changed;
    }

    /** All listed servers as they count. */
    public List<Backend> all() {
        return listed.values().stream().map(this::seen).toList();
    }

    public boolean everListed(String id) {
        return listed.containsKey(id) || former.contains(id) || outages.has(id);
    }

    public int members() {
        return listed.size();
    }

    /** The listed servers that discovery or an operator wants out. */
    public int unwanted() {
        return (int) listed.values().stream()
                .filter(e -> seen(e).state() != BackendState.READY)
                .count();
    }

    private Backend seen(Backend entry) {
        return entry.state() == BackendState.READY && outages.has(entry.id())
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
        former.add(id);
        if (former.size() > MOST_FORMER) {
            former.remove(former.iterator().next());
        }
    }
}
