package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.Goal;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Tenant;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Sessions refer to classes and tenants by index; a reload must not make an index mean another one. */
class SettingsHistoryTest {
    private static RequestClass requestClass(String name, Effect effect) {
        return new RequestClass(name, effect, KeyScope.ALL, 1, 1, 1, 1, 0, false);
    }

    private static Settings settings(List<RequestClass> classes, String... tenants) {
        return new Settings(
                1,
                0,
                1,
                0,
                false,
                true,
                true,
                "z",
                1,
                1,
                List.of(),
                classes,
                java.util.Arrays.stream(tenants).map(t -> new Tenant(t, 1, 1)).toList(),
                new Limits(true, false, false, false, true, 3, 9, 1, 1, 1),
                new Rules(1, 1, 1, 1, 1, 1, 1),
                new Goal(1, 0, 0, 0, 0, 0, 0));
    }

    /** For any sequence of configuration files, an index once assigned always means the same class. */
    @Property
    void classIndexKeepsItsMeaning(
            @ForAll @Size(max = 12) List<@Size(min = 1, max = 4) Set<@IntRange(min = 0, max = 5) Integer>> files)
            throws SettingsException {
        SettingsHistory history = SettingsHistory.of(settings(List.of(requestClass("a", Effect.ONCE))));
        long nowMicros = 0;
        for (Set<Integer> file : files) {
            SettingsHistory before = history;
            // Three names, each with one of two effects; a name occurs once in a file.
            List<RequestClass> classes = file.stream()
                    .filter(i -> i < 3 || !file.contains(i - 3))
                    .map(i -> requestClass(List.of("a", "b", "c").get(i % 3), i < 3 ? Effect.ONCE : Effect.REPEATABLE))
                    .toList();
            nowMicros += SettingsHistory.REMOVAL_GRACE_MICROS / 2;
            history = before.next(settings(classes), nowMicros);
            assertEquals(
                    before.classes(),
                    history.classes().subList(0, before.classes().size()));
            for (RequestClass c : classes) {
                assertEquals(c, history.classes().get(history.classIndex(c.name(), nowMicros)));
            }
        }
        assertTrue(history.classes().size() <= 6, "a class with the same rules gets the same index again");
    }

    /** Clients learn of a change later than the balancer, so a removed class is accepted for a while. */
    @Test
    void removedClassIsAcceptedDuringGraceWithItsOldRules() throws SettingsException {
        SettingsHistory first =
                SettingsHistory.of(settings(List.of(requestClass("a", Effect.ONCE), requestClass("b", Effect.KEYED))));
        SettingsHistory next = first.next(settings(List.of(requestClass("a", Effect.REPEATABLE))), 100);
        assertEquals(2, next.classIndex("a", 100));
        assertEquals(1, next.classIndex("b", 100 + SettingsHistory.REMOVAL_GRACE_MICROS - 1));
        assertEquals(-1, next.classIndex("b", 100 + SettingsHistory.REMOVAL_GRACE_MICROS));
        SettingsHistory third = next.next(settings(List.of(requestClass("a", Effect.REPEATABLE))), 200);
        assertEquals(
                -1,
                third.classIndex("b", 100 + SettingsHistory.REMOVAL_GRACE_MICROS),
                "a second reload does not extend the grace period");
        assertEquals(
                1,
                third.next(settings(List.of(requestClass("b", Effect.KEYED))), 300)
                        .classIndex("b", 1L << 60));
    }

    /** A removed tenant is rejected after the grace period, as after a restart; added again it has its old index. */
    @Test
    void removedTenantIsAcceptedDuringGrace() throws SettingsException {
        SettingsHistory first = SettingsHistory.of(settings(List.of(requestClass("a", Effect.ONCE)), "s", "t"));
        SettingsHistory next = first.next(settings(List.of(requestClass("a", Effect.ONCE)), "t"), 100);
        assertEquals(0, next.tenantIndex("s", 100 + SettingsHistory.REMOVAL_GRACE_MICROS - 1));
        assertEquals(-1, next.tenantIndex("s", 100 + SettingsHistory.REMOVAL_GRACE_MICROS));
        SettingsHistory third = next.next(settings(List.of(requestClass("a", Effect.ONCE)), "t"), 200);
        assertEquals(
                -1,
                third.tenantIndex("s", 100 + SettingsHistory.REMOVAL_GRACE_MICROS),
                "a second reload does not extend the grace period");
        assertEquals(
                0,
                third.next(settings(List.of(requestClass("a", Effect.ONCE)), "t", "s"), 300)
                        .tenantIndex("s", 1L << 60));
    }

    /** The platform waits for this long when it stops a process; a removed class must not extend it. */
    @Test
    void longestDeadlineIgnoresRemovedClasses() throws SettingsException {
        RequestClass slow = new RequestClass("slow", Effect.ONCE, KeyScope.ALL, 1, 1, 900, 1, 0, false);
        RequestClass quick = new RequestClass("slow", Effect.ONCE, KeyScope.ALL, 1, 1, 7, 1, 0, false);
        SettingsHistory first = SettingsHistory.of(settings(List.of(slow, requestClass("a", Effect.ONCE))));
        assertEquals(900, first.longestDeadline());
        assertEquals(
                7,
                first.next(settings(List.of(quick, requestClass("a", Effect.ONCE))), 0)
                        .longestDeadline());
        assertEquals(
                1,
                first.next(settings(List.of(requestClass("a", Effect.ONCE))), 0).longestDeadline());
    }

    @Test
    void tenantKeepsItsIndex() throws SettingsException {
        SettingsHistory next = SettingsHistory.of(settings(List.of(requestClass("a", Effect.ONCE)), "s", "t"))
                .next(settings(List.of(requestClass("a", Effect.ONCE)), "t", "u"), 0);
        assertEquals(1, next.tenantIndex("t", 0));
        assertEquals(2, next.tenantIndex("u", 0));
        assertEquals(3, next.forDecisionModule().tenants().size());
    }
}
