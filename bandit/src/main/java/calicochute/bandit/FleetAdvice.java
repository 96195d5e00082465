package calicochute.bandit;

import java.util.List;

/**
 * All advice given at one time.
 *
 * @param servers advice by server, in order of ids; empty where the rows are out of date
 * @param warmRate the fleet's dispatches a second to an average warm server; 0 where unknown
 * @param share this balancer's share of all dispatches: one divided by the number of live balancers
 * @param until time in microseconds until which the advice holds; after it the reader relies on its own estimates
 */
public record FleetAdvice(List<Advice> servers, double warmRate, double share, long until) {
    public FleetAdvice {
        servers = List.copyOf(servers);
    }
}
