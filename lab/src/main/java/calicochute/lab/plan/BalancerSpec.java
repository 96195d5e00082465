package calicochute.lab.plan;

/**
 * A balancer of the deployment.
 *
 * @param tier the index of the tier whose servers it chooses among
 * @param number its index among the balancers of the tier
 * @param owner the id of the machine whose calls it forwards; null in the first tier, whose callers are clients
 */
public record BalancerSpec(String name, int tier, int number, String zone, String owner) {}
