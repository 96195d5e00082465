package calicochute.settings;

import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings in force, and the classes and tenants that sessions begun earlier may still refer to. An index never
 * comes to mean another class: the table only grows, and the same rules under the same name get the same index again.
 * Immutable; all times are microseconds.
 *
 * @param current what the file says now
 * @param classes all classes there have been
 * @param tenants all tenants there have been, each with its newest share
 * @param dropped until when classes that the file no longer has are taken, by name
 * @param left until when tenants that the file no longer has are taken, by name
 */
public record Succession(
        Settings current,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Map<String, Dropped> dropped,
        Map<String, Dropped> left) {
    /** Callers learn of a change later than the balancer does. */
    public static final long GRACE = 10_000_000;

    private static final int MOST_CLASSES = 512;

    /** A class or a tenant that is taken for a while yet. */
    public record Dropped(int index, long until) {}

    public Succession {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        dropped = Map.copyOf(dropped);
        left = Map.copyOf(left);
    }

    public static Succession of(Settings first) {
        return new Succession(first, first.classes(), first.tenants(), Map.of(), Map.of());
    }

    public Succession next(Settings changed, long now) throws SettingsException {
        List<RequestClass> all = new ArrayList<>(classes);
        changed.classes().stream().filter(c -> !all.contains(c)).forEach(all::add);
        if (all.size() > MOST_CLASSES) {
            throw new SettingsException("over " + MOST_CLASSES + " classes since the start: time for a restart");
        }
        Map<String, Tenant> shares = new LinkedHashMap<>();
        tenants.forEach(t -> shares.put(t.name(), t));
        changed.tenants().forEach(t -> shares.put(t.name(), t));
        Map<String, Dropped> leaving = stillTaken(dropped, now);
        current.classes().forEach(c -> leaving.put(c.name(), new Dropped(classes.indexOf(c), now + GRACE)));
        changed.classes().forEach(c -> leaving.remove(c.name()));
        Map<String, Dropped> away = stillTaken(left, now);
        current.tenants().forEach(t -> away.put(t.name(), new Dropped(index(t.name()), now + GRACE)));
        changed.tenants().forEach(t -> away.remove(t.name()));
        return new Succession(changed, all, new ArrayList<>(shares.values()), leaving, away);
    }

    private static Map<String, Dropped> stillTaken(Map<String, Dropped> before, long now) {
        Map<String, Dropped> still = new HashMap<>(before);
        still.values().removeIf(d -> now >= d.until);
        return still;
    }

    /** The index of a class that sessions may name now; -1 for none. */
    public int classIndex(String name, long now) {
        for (RequestClass c : current.classes()) {
            if (c.name().equals(name)) {
                return classes.indexOf(c);
            }
        }
        Dropped leaving = dropped.get(name);
        return leaving != null && now < leaving.until ? leaving.index : -1;
    }

    /**
     * The index of a tenant that sessions may name now; -1 for none: one that was taken out is refused after a reload
     * as it is after a restart.
     */
    public int tenantIndex(String name, long now) {
        if (current.tenants().stream().anyMatch(t -> t.name().equals(name))) {
            return index(name);
        }
        Dropped leaving = left.get(name);
        return leaving != null && now < leaving.until ? leaving.index : -1;
    }

    private int index(String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * The longest time that callers give now. Of the classes there have been it may be much less: the platform goes by
     * its newest settings when it ends a process, and would not wait for one that was taken out.
     */
    public long longestDeadline() {
        return current.classes().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(0);
    }

    /** What the module is told: the settings in force, with all classes and tenants at their indexes. */
    public Settings forModule() {
        Settings s = current;
        return new Settings(
                s.seed(),
                s.instance(),
                s.balancers(),
                s.tier(),
                s.passesDeadline(),
                s.subscribes(),
                s.marksRetries(),
                s.zone(),
                s.tick(),
                s.overShareWorth(),
                s.reportFields(),
                classes,
                tenants,
                s.limits(),
                s.rules(),
                s.goal());
    }
}
