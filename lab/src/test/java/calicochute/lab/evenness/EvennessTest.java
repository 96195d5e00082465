package calicochute.lab.evenness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.evenness.Evenness.Part;
import calicochute.lab.evenness.Evenness.Phase;
import calicochute.lab.random.RandomStreams;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;

/** Checks the evenness figures on dispatches whose distribution is known. */
class EvennessTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long LENGTH_MICROS = 12 * SECOND_MICROS;

    private static BitSet firstServers(int count) {
        BitSet set = new BitSet();
        set.set(0, count);
        return set;
    }

    private static EligibleServers allEligible(int servers) {
        List<BitSet> seconds = new ArrayList<>();
        for (long s = 0; s < LENGTH_MICROS / SECOND_MICROS; s++) {
            seconds.add(firstServers(servers));
        }
        return new EligibleServers(seconds);
    }

    /** Eight servers: four with capacity 1 and four with capacity 2, two of each kind in each zone. */
    private static List<Server> servers() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new Server("s" + i, i % 2 == 0 ? "east" : "west", i < 4 ? "small" : "large", i < 4 ? 1 : 2));
        }
        return servers;
    }

    /** A thousand dispatches a second from ten balancers. */
    private static List<Dispatch> dispatches(IntUnaryOperator server) {
        List<Dispatch> dispatches = new ArrayList<>();
        for (int i = 0; i < LENGTH_MICROS / 1000; i++) {
            dispatches.add(new Dispatch(i * 1000L, i % 10, server.applyAsInt(i), i % 4 != 0));
        }
        return dispatches;
    }

    private static Evenness analyse(List<Dispatch> dispatches, TroubleResponse.TroubleInterval... troubles) {
        return Evenness.of(
                "t",
                servers(),
                dispatches,
                allEligible(8),
                LENGTH_MICROS,
                List.of(troubles),
                new RandomStreams(3).of("evenness", 0));
    }

    private static IntUnaryOperator weighted(double... weights) {
        UniformRandomProvider draw = new RandomStreams(9).of("test", 0);
        return i -> RandomStreams.weighted(draw, weights);
    }

    private static Load part(Phase phase, LoadBreakdown.Expectation expectation) {
        return phase.parts().stream()
                .filter(p -> p.against().equals(expectation.label()))
                .map(Part::load)
                .findFirst()
                .orElseThrow();
    }

    /**
     * 10, 20 and 60 dispatches against expectations of 1, 1 and 2: scaled to the sum of 90, these are 22.5, 22.5 and
     * 45. The fourth server is not among those compared.
     */
    @Test
    void loadIsActualOverScaledExpectation() {
        Load load = Load.of(new int[] {10, 20, 60, 999}, new double[] {1, 1, 2, 1}, firstServers(3));
        assertEquals(60 / 45.0, load.most(), 1e-9);
        assertEquals(10 / 22.5, load.least(), 1e-9);
        assertEquals(Math.sqrt((12.5 * 12.5 + 2.5 * 2.5 + 15 * 15) / 3) / 30, load.spread(), 1e-9);
        assertEquals(Load.NONE, Load.of(new int[3], new double[] {1, 1, 1}, firstServers(3)));
    }

    @Test
    void concurrentSendersAreCountedPerServerAndSpan() {
        assertEquals(
                2,
                ConcurrentSenders.max(List.of(
                        new Dispatch(0, 1, 0, true),
                        new Dispatch(10, 1, 0, true),
                        new Dispatch(99_000, 2, 0, true),
                        new Dispatch(99_500, 3, 1, true),
                        new Dispatch(110_000, 3, 0, true))));
        assertEquals(0, ConcurrentSenders.max(List.of()));
    }

    /** Choices weighted by capacity are as even as the baseline; the same seed gives the same baseline. */
    @Test
    void choiceByCapacityMatchesBaseline() {
        Evenness evenness = analyse(dispatches(weighted(1, 1, 1, 1, 2, 2, 2, 2)));
        assertEquals(3, evenness.windows().size());
        assertEquals(10_000, evenness.windows().get(1).dispatches());
        for (Evenness.Window window : evenness.windows()) {
            assertEquals(window.byChance().most(), window.load().most(), 0.04);
            assertEquals(window.byChance().least(), window.load().least(), 0.04);
        }
        Phase phase = evenness.phases().get(0);
        assertEquals(1, phase.power(), 0.05);
        assertEquals(
                phase.noise(),
                part(phase, LoadBreakdown.Expectation.ZONE_AND_KIND).spread(),
                phase.noise());
        assertTrue(part(phase, LoadBreakdown.Expectation.EQUAL).spread() > 0.3);
        assertEquals(evenness, analyse(dispatches(weighted(1, 1, 1, 1, 2, 2, 2, 2))));
    }

    @Test
    void spreadVanishesAgainstExpectationThatExplainsIt() {
        // Weights are capacity squared.
        Phase power =
                analyse(dispatches(weighted(1, 1, 1, 1, 4, 4, 4, 4))).phases().get(0);
        assertEquals(2, power.power(), 0.05);
        assertTrue(part(power, LoadBreakdown.Expectation.CAPACITY).spread()
                > 5 * part(power, LoadBreakdown.Expectation.POWER).spread());
        // Weights are three times as high in one zone.
        Phase zone =
                analyse(dispatches(weighted(3, 1, 3, 1, 6, 2, 6, 2))).phases().get(0);
        assertTrue(part(zone, LoadBreakdown.Expectation.KIND).spread()
                > 5 * part(zone, LoadBreakdown.Expectation.ZONE_AND_KIND).spread());
        // Each balancer uses one server of each zone and kind: the first for seven of the ten balancers, else the
        // second.
        UniformRandomProvider draw = new RandomStreams(9).of("test", 1);
        Phase subset = analyse(dispatches(i -> 4 * draw.nextInt(2) + draw.nextInt(2) + (i % 10 < 7 ? 0 : 2)))
                .phases()
                .get(0);
        assertTrue(part(subset, LoadBreakdown.Expectation.ZONE_AND_KIND).spread() > 0.3);
        assertEquals(0, part(subset, LoadBreakdown.Expectation.SUBSET).spread(), 1e-9);
    }

    /** A server that is cold or hit by a trouble is left out of every window that includes that second. */
    @Test
    void onlyEligibleServersCount() {
        List<BitSet> seconds = new ArrayList<>(allEligible(8).bySecond());
        seconds.set(11, firstServers(7));
        Evenness evenness = Evenness.of(
                "t",
                servers(),
                dispatches(i -> i % 8),
                new EligibleServers(seconds),
                LENGTH_MICROS,
                List.of(),
                new RandomStreams(3).of("evenness", 0));
        assertEquals(
                List.of(8, 8, 7),
                evenness.windows().stream().map(Evenness.Window::servers).toList());
        assertEquals(8_750, evenness.windows().get(2).dispatches());
    }

    /**
     * Servers 6 and 7 (a third of capacity) get nothing from 500 ms after the trouble begins to 950 ms after it ends.
     */
    @Test
    void timesToLeaveAndResumeTroubledServers() {
        BitSet victims = new BitSet();
        victims.set(6, 8);
        int[] byCapacity = {0, 1, 2, 3, 4, 4, 5, 5, 6, 6, 7, 7};
        List<Dispatch> dispatches =
                dispatches(i -> byCapacity[i % 12] >= 6 && i >= 4_500 && i < 8_950 ? i % 6 : byCapacity[i % 12]);
        TroubleResponse response = analyse(
                        dispatches,
                        new TroubleResponse.TroubleInterval("slow", 4 * SECOND_MICROS, 8 * SECOND_MICROS, victims))
                .sick()
                .get(0);
        assertEquals(1 / 3.0, response.fair(), 1e-9);
        assertEquals(0.3, response.quarter(), 1e-9);
        assertEquals(0.9, response.back(), 1e-9);
        assertEquals(
                dispatches.stream()
                        .filter(d -> d.firstAttempt()
                                && d.server() >= 6
                                && d.atMicros() >= 4 * SECOND_MICROS
                                && d.atMicros() < 8 * SECOND_MICROS)
                        .count(),
                response.firstTries());
        assertTrue(response.firstTries() > 100);
        assertEquals(0, response.shares().get(6), 1e-9);
        TroubleResponse unchanged = analyse(
                        dispatches(i -> byCapacity[i % 12]),
                        new TroubleResponse.TroubleInterval("slow", 4 * SECOND_MICROS, 8 * SECOND_MICROS, victims))
                .sick()
                .get(0);
        assertNull(unchanged.quarter());
        assertEquals(0, unchanged.back(), 1e-9);
        assertEquals(1, unchanged.ofFirstTries(), 0.02);
    }
}
