package calicochute.bandit;

import java.util.List;

/**
 * All that is advised at one time.
 *
 * @param of by server's id; empty where the rows are not fresh
 * @param warmRate the fleet's dispatches a second at a mean warm server; 0: not known
 * @param share this balancer's part of all dispatches: one by the number of live balancers
 * @param until microseconds; after it each falls back to what it may do alone
 */
public record Advices(List<Advice> of, double warmRate, double share, long until) {
    public Advices {
        of = List.copyOf(of);
    }
}
