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

class SuccessionTest {
    private static RequestClass cls(String name, Effect effect) {
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

    /** Whatever files follow each other, an index once given means the same class for ever. */
    @Property
    void anIndexNeverMeansAnotherClass(
            @ForAll @Size(max = 12) List<@Size(min = 1, max = 4) Set<@IntRange(min = 0, max = 5) Integer>> files)
            throws SettingsException {
        Succession now = Succession.of(settings(List.of(cls("a", Effect.ONCE))));
        long time = 0;
        for (Set<Integer> file : files) {
            Succession before = now;
            // Three names, each under one of two rules; a name once in a file.
            List<RequestClass> classes = file.stream()
                    .filter(i -> i < 3 || !file.contains(i - 3))
                    .map(i -> cls(List.of("a", "b", "c").get(i % 3), i < 3 ? Effect.ONCE : Effect.REPEATABLE))
                    .toList();
            time += Succession.GRACE / 2;
            now = before.next(settings(classes), time);
            assertEquals(
                    before.classes(), now.classes().subList(0, before.classes().size()));
            for (RequestClass c : classes) {
                assertEquals(c, now.classes().get(now.classIndex(c.name(), time)));
            }
        }
        assertTrue(now.classes().size() <= 6, "the same rules get the same index again");
    }

    /** Callers learn of a change later than the balancer does. */
    @Test
    void aDroppedClassIsTakenForAWhileUnderItsOldRules() throws SettingsException {
        Succession first = Succession.of(settings(List.of(cls("a", Effect.ONCE), cls("b", Effect.KEYED))));
        Succession next = first.next(settings(List.of(cls("a", Effect.REPEATABLE))), 100);
        assertEquals(2, next.classIndex("a", 100));
        assertEquals(1, next.classIndex("b", 100 + Succession.GRACE - 1));
        assertEquals(-1, next.classIndex("b", 100 + Succession.GRACE));
        Succession third = next.next(settings(List.of(cls("a", Effect.REPEATABLE))), 200);
        assertEquals(-1, third.classIndex("b", 100 + Succession.GRACE), "a further file gives no further grace");
        assertEquals(
                1, third.next(settings(List.of(cls("b", Effect.KEYED))), 300).classIndex("b", 1L << 60));
    }

    /** Like a class: refused after the grace, as it would be after a restart, and let in again under its old index. */
    @Test
    void aDroppedTenantIsTakenForAWhile() throws SettingsException {
        Succession first = Succession.of(settings(List.of(cls("a", Effect.ONCE)), "s", "t"));
        Succession next = first.next(settings(List.of(cls("a", Effect.ONCE)), "t"), 100);
        assertEquals(0, next.tenantIndex("s", 100 + Succession.GRACE - 1));
        assertEquals(-1, next.tenantIndex("s", 100 + Succession.GRACE));
        Succession third = next.next(settings(List.of(cls("a", Effect.ONCE)), "t"), 200);
        assertEquals(-1, third.tenantIndex("s", 100 + Succession.GRACE), "a further file gives no further grace");
        assertEquals(
                0,
                third.next(settings(List.of(cls("a", Effect.ONCE)), "t", "s"), 300)
                        .tenantIndex("s", 1L << 60));
    }

    /** What the platform goes by when it ends a process: not a longer deadline that the file no longer has. */
    @Test
    void theLongestDeadlineIsOneInForce() throws SettingsException {
        RequestClass slow = new RequestClass("slow", Effect.ONCE, KeyScope.ALL, 1, 1, 900, 1, 0, false);
        RequestClass quick = new RequestClass("slow", Effect.ONCE, KeyScope.ALL, 1, 1, 7, 1, 0, false);
        Succession first = Succession.of(settings(List.of(slow, cls("a", Effect.ONCE))));
        assertEquals(900, first.longestDeadline());
        assertEquals(
                7,
                first.next(settings(List.of(quick, cls("a", Effect.ONCE))), 0).longestDeadline());
        assertEquals(1, first.next(settings(List.of(cls("a", Effect.ONCE))), 0).longestDeadline());
    }

    @Test
    void aTenantKeepsItsIndex() throws SettingsException {
        Succession next = Succession.of(settings(List.of(cls("a", Effect.ONCE)), "s", "t"))
                .next(settings(List.of(cls("a", Effect.ONCE)), "t", "u"), 0);
        assertEquals(1, next.tenantIndex("t", 0));
        assertEquals(2, next.tenantIndex("u", 0));
        assertEquals(3, next.forModule().tenants().size());
    }
}
