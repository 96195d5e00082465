package calicochute.takeover;

import calicochute.decision.Balancer.Settings;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Identifies what a learnt state is about: the balancer, and the parts of its settings that the estimates depend on. If
 * any of them differs, the state was learnt for another workload or deployment, even if names are alike, and must not
 * be used. Objectives, deadlines, limits and tenants' shares may change between two processes and are left out.
 *
 * @param classes by class name, the effect and the key scope of its requests
 * @param tenants the tenants' names
 */
public record Origin(String balancer, int tier, Map<String, String> classes, TreeSet<String> tenants) {
    public static Origin of(String balancer, Settings settings) {
        Map<String, String> classes = new TreeMap<>();
        settings.classes().forEach(c -> classes.put(c.name(), c.effect() + " " + c.scope()));
        TreeSet<String> tenants = new TreeSet<>();
        settings.tenants().forEach(t -> tenants.add(t.name()));
        return new Origin(balancer, settings.tier(), classes, tenants);
    }
}
