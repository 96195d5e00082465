package calicochute.takeover;

import calicochute.decision.Balancer.Settings;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whose knowledge it is: the balancer, and what its settings say of that which the knowledge is about. Where any of it
 * differs it was learnt of other work, under another deployment's settings, even if names are alike. Aims, deadlines,
 * limits and shares may change: they don't tell owners apart.
 *
 * @param classes what repeats of each do, by name
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
