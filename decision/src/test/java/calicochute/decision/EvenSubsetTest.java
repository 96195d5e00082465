package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.Goal;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against uneven subsets: without communication, about equally many instances use each backend, and most of an
 * instance's backends are in its own zone.
 */
class EvenSubsetTest {
    private static final String[] ZONES = {"a", "b", "c"};
    private static final int BACKENDS = 60;

    private static List<Backend> backends() {
        return IntStream.range(0, BACKENDS)
                .mapToObj(i -> Fixture.backend("s-" + i, ZONES[i % 3], i))
                .toList();
    }

    /** The load of each backend if each instance spreads its load evenly over the own-zone part of its subset. */
    private static double[] ownZoneLoad(int balancers, IntUnaryOperator zoneOf) {
        double[] load = new double[BACKENDS];
        for (int instance = 0; instance < balancers; instance++) {
            String zone = ZONES[zoneOf.applyAsInt(instance)];
            List<TrackedBackend> ownZone = Arrays.stream(fixture(instance, balancers, zone, backends())
                            .balancer
                            .state()
                            .subset)
                    .filter(s -> s.entry.zone().equals(zone))
                    .toList();
            ownZone.forEach(s -> load[s.entry.cell()] += 1.0 / ownZone.size());
        }
        return load;
    }

    private static Fixture fixture(int instance, int balancers, String zone, List<Backend> backends) {
        var base = Fixture.settings(List.of(Fixture.requestClass(Effect.REPEATABLE, KeyScope.ALL)), Fixture.LIMITS);
        Fixture fixture = new Fixture(new Settings(
                instance,
                instance,
                balancers,
                1,
                false,
                false,
                false,
                zone,
                5000,
                0.1,
                List.of(),
                base.classes(),
                List.of(),
                base.limits(),
                base.rules(),
                new Goal(1, 0, 0, 0, 0.09, 0.2, 0)));
        fixture.on(new BackendList(ListKind.FULL, backends));
        return fixture;
    }

    /**
     * A slice of a ring over all zones holds between one and seven backends of the own zone, and the most used backend
     * then gets 2.2 times the mean load.
     */
    @Test
    void backendsAreUsedByAboutEquallyManyInstancesOfTheirZone() {
        for (int balancers : new int[] {63, 100, 300}) {
            for (IntUnaryOperator zoneOf :
                    new IntUnaryOperator[] {instance -> instance % 3, instance -> instance * 3 / balancers}) {
                double[] load = ownZoneLoad(balancers, zoneOf);
                double mean = Arrays.stream(load).average().orElseThrow();
                assertTrue(
                        Arrays.stream(load).max().orElseThrow() / mean < 1.25,
                        balancers + ": " + Arrays.toString(load));
                assertTrue(
                        Arrays.stream(load).min().orElseThrow() / mean > 0.75,
                        balancers + ": " + Arrays.toString(load));
            }
        }
    }

    @Test
    void subsetHoldsBackendsOfOtherZonesForFailover() {
        TrackedBackend[] subset = fixture(7, 100, "b", backends()).balancer.state().subset;
        assertEquals(12, subset.length);
        assertEquals(
                8, Arrays.stream(subset).filter(s -> s.entry.zone().equals("b")).count());
    }

    @Test
    void otherZonesFillTheSubsetOfASmallZone() {
        List<Backend> few = backends().stream()
                .filter(b -> !b.zone().equals("b") || b.cell() < 5)
                .toList();
        TrackedBackend[] subset = fixture(7, 100, "b", few).balancer.state().subset;
        assertEquals(12, subset.length);
        assertEquals(
                2, Arrays.stream(subset).filter(s -> s.entry.zone().equals("b")).count());
    }

    /** A backend that drains changes few other places of a subset, so that connections to the others stay. */
    @Test
    void drainingBackendLeavesTheSubsetAndChangesLittleElse() {
        List<Backend> before = backends();
        for (int instance = 0; instance < 100; instance += 9) {
            Fixture fixture = fixture(instance, 100, "a", before);
            List<String> used = Arrays.stream(fixture.balancer.state().subset)
                    .map(s -> s.id)
                    .toList();
            Backend gone = before.stream()
                    .filter(b -> used.contains(b.id()))
                    .findFirst()
                    .orElseThrow();
            fixture.now += SECOND;
            fixture.on(new BackendList(ListKind.CHANGES, List.of(Fixture.with(gone, BackendState.DRAINING, 0))));
            List<String> after = Arrays.stream(fixture.balancer.state().subset)
                    .map(s -> s.id)
                    .toList();
            assertTrue(!after.contains(gone.id()), "still used");
            List<String> kept = new ArrayList<>(used);
            kept.retainAll(after);
            assertTrue(kept.size() >= used.size() - 4, used + " became " + after);
        }
    }
}
