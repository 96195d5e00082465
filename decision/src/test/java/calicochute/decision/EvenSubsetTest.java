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

/** Which servers the instances of a fleet use: of each about as many instances, most at home, without talk. */
class EvenSubsetTest {
    private static final String[] ZONES = {"a", "b", "c"};
    private static final int SERVERS = 60;

    private static List<Backend> servers() {
        return IntStream.range(0, SERVERS)
                .mapToObj(i -> Fixture.backend("s-" + i, ZONES[i % 3], i))
                .toList();
    }

    /** Of each server, its part of the load where each instance spreads its own evenly over what it uses at home. */
    private static double[] homeLoad(int balancers, IntUnaryOperator zoneOf) {
        double[] load = new double[SERVERS];
        for (int me = 0; me < balancers; me++) {
            String zone = ZONES[zoneOf.applyAsInt(me)];
            List<Server> home = Arrays.stream(
                            using(me, balancers, zone, servers()).choice.known().use)
                    .filter(s -> s.entry.zone().equals(zone))
                    .toList();
            home.forEach(s -> load[s.entry.cell()] += 1.0 / home.size());
        }
        return load;
    }

    private static Fixture using(int me, int balancers, String zone, List<Backend> servers) {
        var s = Fixture.settings(List.of(Fixture.requestClass(Effect.REPEATABLE, KeyScope.ALL)), Fixture.LIMITS);
        Fixture f = new Fixture(new Settings(
                me,
                me,
                balancers,
                1,
                false,
                false,
                false,
                zone,
                5000,
                0.1,
                List.of(),
                s.classes(),
                List.of(),
                s.limits(),
                s.rules(),
                new Goal(1, 0, 0, 0, 0.09, 0.2, 0)));
        f.on(new BackendList(ListKind.FULL, servers));
        return f;
    }

    /**
     * Before, a slice over all zones held one to seven servers of the instance's own, and the most used one got 2.2
     * times the mean.
     */
    @Test
    void eachServerIsUsedByAboutAsManyInstancesOfItsZone() {
        for (int balancers : new int[] {63, 100, 300}) {
            for (IntUnaryOperator zoneOf : new IntUnaryOperator[] {me -> me % 3, me -> me * 3 / balancers}) {
                double[] load = homeLoad(balancers, zoneOf);
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
    void someOfTheSubsetAreAbroadForWhenHomeFails() {
        Server[] use = using(7, 100, "b", servers()).choice.known().use;
        assertEquals(12, use.length);
        assertEquals(
                8, Arrays.stream(use).filter(s -> s.entry.zone().equals("b")).count());
    }

    @Test
    void whereHomeIsSmallAbroadFillsTheSubset() {
        List<Backend> few = servers().stream()
                .filter(b -> !b.zone().equals("b") || b.cell() < 5)
                .toList();
        Server[] use = using(7, 100, "b", few).choice.known().use;
        assertEquals(12, use.length);
        assertEquals(
                2, Arrays.stream(use).filter(s -> s.entry.zone().equals("b")).count());
    }

    /** One server less moves at most one place of an instance's slices: connections to the others stay. */
    @Test
    void aDrainLeavesTheSubsetAtOnceAndMovesLittle() {
        List<Backend> before = servers();
        for (int me = 0; me < 100; me += 9) {
            Fixture f = using(me, 100, "a", before);
            List<String> used =
                    Arrays.stream(f.choice.known().use).map(s -> s.id).toList();
            Backend gone = before.stream()
                    .filter(b -> used.contains(b.id()))
                    .findFirst()
                    .orElseThrow();
            f.now += SECOND;
            f.on(new BackendList(ListKind.CHANGES, List.of(Fixture.with(gone, BackendState.DRAINING, 0))));
            List<String> after =
                    Arrays.stream(f.choice.known().use).map(s -> s.id).toList();
            assertTrue(!after.contains(gone.id()), "still used");
            List<String> kept = new ArrayList<>(used);
            kept.retainAll(after);
            assertTrue(kept.size() >= used.size() - 4, used + " became " + after);
        }
    }
}
