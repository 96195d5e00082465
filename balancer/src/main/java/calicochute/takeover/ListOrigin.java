package calicochute.takeover;

import calicochute.decision.Balancer.Tenant;
import calicochute.settings.Configuration;
import java.util.Collections;
import java.util.TreeSet;

/**
 * Identifies the balancer that a server list is for. Unlike {@link Origin}, it leaves out classes: a list remains true
 * when they change. An upgrade may add and drop tenants, but processes without any common tenant serve different
 * deployments, even if names and addresses are alike.
 *
 * @param listen the address that clients connect to, the same for all processes of a balancer
 * @param tenants the tenants' names
 */
public record ListOrigin(String balancer, int tier, String listen, TreeSet<String> tenants) {
    /** The origin of the lists that a process with this configuration is told. */
    public static ListOrigin of(Configuration configuration) {
        TreeSet<String> tenants = new TreeSet<>();
        configuration.settings().tenants().stream().map(Tenant::name).forEach(tenants::add);
        return new ListOrigin(
                configuration.name(),
                configuration.settings().tier(),
                configuration.listen().toString(),
                tenants);
    }

    /** Whether a process of this origin may use lists of the other one. */
    boolean accepts(ListOrigin other) {
        return balancer.equals(other.balancer)
                && tier == other.tier
                && listen.equals(other.listen)
                && (tenants.equals(other.tenants) || !Collections.disjoint(tenants, other.tenants));
    }
}
