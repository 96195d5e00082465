package calicochute.lab.plan;

/**
 * One balancer: {@code number} counts within its tier; {@code owner} is the machine whose calls it carries, else null.
 */
public record BalancerSpec(String name, int tier, int number, String zone, String owner) {}
