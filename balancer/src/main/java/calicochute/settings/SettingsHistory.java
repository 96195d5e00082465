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
 * The settings in force, together with the classes and tenants that sessions which arrived earlier may still refer to.
 * An index never changes its meaning: the tables only grow, and a class with an earlier one's name and rules gets that
 * one's index again. Immutable.
 *
 * @param current the settings in force
 * @param classes all classes since the start
 * @param tenants all tenants since the start, each with its latest share
 * @param removedClasses classes that are not in the settings in force but still accepted, by name
 * @param removedTenants tenants that are not in the settings in force but still accepted, by name
 */
public record SettingsHistory(
        Settings current,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Map<String, Removed> removedClasses,
        Map<String, Removed> removedTenants) {
    /** How long a removed class or tenant is still accepted: clients learn of a change later than the balancer. */
    public static final long REMOVAL_GRACE_MICROS = 10_000_000;

    private static final int MAX_CLASSES = 512;

    /** The index of a removed class or tenant, and the time until which it is accepted. */
    public record Removed(int index, long untilMicros) {}

    public SettingsHistory {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        removedClasses = Map.copyOf(removedClasses);
        removedTenants = Map.copyOf(removedTenants);
    }

    /** The settings that the process starts with. */
    public static SettingsHistory of(Settings first) {
        return new SettingsHistory(first, first.classes(), first.tenants(), Map.of(), Map.of());
    }

    /**
     * The history after a change of the settings.
     *
     * @param nowMicros time of the change
     */
    public SettingsHistory next(Settings changed, long nowMicros) throws SettingsException {
        List<RequestClass> all = new ArrayList<>(classes);
        changed.classes().stream().filter(c -> !all.contains(c)).forEach(all::add);
        if (all.size() > MAX_CLASSES) {
            throw new SettingsException("more than " + MAX_CLASSES + " classes since the start; a restart is needed");
        }
        Map<String, Tenant> shares = new LinkedHashMap<>();
        tenants.forEach(t -> shares.put(t.name(), t));
        changed.tenants().forEach(t -> shares.put(t.name(), t));
        Map<String, Removed> withoutClasses = unexpired(removedClasses, nowMicros);
        current.classes()
                .forEach(c -> withoutClasses.put(
                        c.name(), new Removed(classes.indexOf(c), nowMicros + REMOVAL_GRACE_MICROS)));
        changed.classes().forEach(c -> withoutClasses.remove(c.name()));
        Map<String, Removed> withoutTenants = unexpired(removedTenants, nowMicros);
        current.tenants()
                .forEach(t ->
                        withoutTenants.put(t.name(), new Removed(index(t.name()), nowMicros + REMOVAL_GRACE_MICROS)));
        changed.tenants().forEach(t -> withoutTenants.remove(t.name()));
        return new SettingsHistory(changed, all, new ArrayList<>(shares.values()), withoutClasses, withoutTenants);
    }

    private static Map<String, Removed> unexpired(Map<String, Removed> before, long nowMicros) {
        Map<String, Removed> unexpired = new HashMap<>(before);
        unexpired.values().removeIf(removed -> nowMicros >= removed.untilMicros);
        return unexpired;
    }

    /** The index of a class that sessions may name at this time; -1 for none. */
    public int classIndex(String name, long nowMicros) {
        for (RequestClass requestClass : current.classes()) {
            if (requestClass.name().equals(name)) {
                return classes.indexOf(requestClass);
            }
        }
        Removed removed = removedClasses.get(name);
        return removed != null && nowMicros < removed.untilMicros ? removed.index : -1;
    }

    /**
     * The index of a tenant that sessions may name at this time; -1 for none. A removed tenant is rejected after a
     * reload as it is after a restart.
     */
    public int tenantIndex(String name, long nowMicros) {
        if (current.tenants().stream().anyMatch(t -> t.name().equals(name))) {
            return index(name);
        }
        Removed removed = removedTenants.get(name);
        return removed != null && nowMicros < removed.untilMicros ? removed.index : -1;
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
     * The longest deadline in microseconds of the classes in force. Removed classes don't count: the platform that
     * stops a process waits as long as the latest settings say, and not for a removed class with a longer deadline.
     */
    public long longestDeadline() {
        return current.classes().stream()
                .mapToLong(RequestClass::deadline)
                .max()
                .orElse(0);
    }

    /** The settings in force, with all classes and tenants since the start at their indexes. */
    public Settings forDecisionModule() {
        Settings settings = current;
        return new Settings(
                settings.seed(),
                settings.instance(),
                settings.balancers(),
                settings.tier(),
                settings.passesDeadline(),
                settings.subscribes(),
                settings.marksRetries(),
                settings.zone(),
                settings.tick(),
                settings.overShareWorth(),
                settings.reportFields(),
                classes,
                tenants,
                settings.limits(),
                settings.rules(),
                settings.goal());
    }
}
