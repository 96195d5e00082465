package calicochute.discovery;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The whole list of servers that results from whole lists and changes. Used by one thread. */
public final class WholeServerList {
    private final Map<String, Backend> entries = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    /** Applies a whole list or changes; an entry that is gone leaves the list. */
    public void apply(ServerList told) {
        if (told.full()) {
            entries.clear();
            addresses.clear();
        }
        for (Backend entry : told.entries()) {
            if (entry.state() == BackendState.GONE) {
                entries.remove(entry.id());
                addresses.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
                addresses.put(entry.id(), told.addresses().get(entry.id()));
            }
        }
    }

    /** The list at this moment, under the given generation. */
    public ServerList snapshot(long generation) {
        return new ServerList(generation, true, List.copyOf(entries.values()), Map.copyOf(addresses));
    }
}
