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

class EvennessTest {
    private static final long S = 1_000_000;
    private static final long LENGTH = 12 * S;

    private static BitSet first(int many) {
        BitSet set = new BitSet();
        set.set(0, many);
        return set;
    }

    private static Room all(int servers) {
        List<BitSet> seconds = new ArrayList<>();
        for (long s = 0; s < LENGTH / S; s++) {
            seconds.add(first(servers));
        }
        return new Room(seconds);
    }

    /** Eight servers, four of a kind with capacity 1 and four with 2, two of each in each zone. */
    private static List<Server> servers() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new Server("s" + i, i % 2 == 0 ? "east" : "west", i < 4 ? "small" : "large", i < 4 ? 1 : 2));
        }
        return servers;
    }

    /** A thousand a second from ten balancers. */
    private static List<Dispatch> sent(IntUnaryOperator server) {
        List<Dispatch> sent = new ArrayList<>();
        for (int i = 0; i < LENGTH / 1000; i++) {
            sent.add(new Dispatch(i * 1000L, i % 10, server.applyAsInt(i), i % 4 != 0));
        }
        return sent;
    }

    private static Evenness of(List<Dispatch> sent, Sick.Trouble... troubles) {
        return Evenness.of(
                "t", servers(), sent, all(8), LENGTH, List.of(troubles), new RandomStreams(3).of("evenness", 0));
    }

    private static IntUnaryOperator weighted(double... weights) {
        UniformRandomProvider draw = new RandomStreams(9).of("test", 0);
        return i -> RandomStreams.weighted(draw, weights);
    }

    private static Load part(Phase phase, Parts.Against against) {
        return phase.parts().stream()
                .filter(p -> p.against().equals(against.words()))
                .map(Part::load)
                .findFirst()
                .orElseThrow();
    }

    /** By hand: 10, 20 and 60 against 1, 1, 2 of 4 shares of 90, that is 22.5, 22.5 and 45; the fourth is left out. */
    @Test
    void loadAgainstWhatWasExpected() {
        Load load = Load.of(new int[] {10, 20, 60, 999}, new double[] {1, 1, 2, 1}, first(3));
        assertEquals(60 / 45.0, load.most(), 1e-9);
        assertEquals(10 / 22.5, load.least(), 1e-9);
        assertEquals(Math.sqrt((12.5 * 12.5 + 2.5 * 2.5 + 15 * 15) / 3) / 30, load.spread(), 1e-9);
        assertEquals(Load.NONE, Load.of(new int[3], new double[] {1, 1, 1}, first(3)));
    }

    @Test
    void theHerdIsOfBalancersAtOneServerInOneMoment() {
        assertEquals(
                2,
                Herd.most(List.of(
                        new Dispatch(0, 1, 0, true),
                        new Dispatch(10, 1, 0, true),
                        new Dispatch(99_000, 2, 0, true),
                        new Dispatch(99_500, 3, 1, true),
                        new Dispatch(110_000, 3, 0, true))));
        assertEquals(0, Herd.most(List.of()));
    }

    /** What follows capacity is as even as chance; the figures of chance are the seed's alone. */
    @Test
    void picksByCapacityAreAsEvenAsChance() {
        Evenness e = of(sent(weighted(1, 1, 1, 1, 2, 2, 2, 2)));
        assertEquals(3, e.windows().size());
        assertEquals(10_000, e.windows().get(1).dispatches());
        for (Evenness.Window w : e.windows()) {
            assertEquals(w.byChance().most(), w.load().most(), 0.04);
            assertEquals(w.byChance().least(), w.load().least(), 0.04);
        }
        Phase phase = e.phases().get(0);
        assertEquals(1, phase.power(), 0.05);
        assertEquals(phase.noise(), part(phase, Parts.Against.GROUP).spread(), phase.noise());
        assertTrue(part(phase, Parts.Against.ALIKE).spread() > 0.3);
        assertEquals(e, of(sent(weighted(1, 1, 1, 1, 2, 2, 2, 2))));
    }

    @Test
    void whatExplainsTheUnevennessTakesItAway() {
        // Capacity squared.
        Phase power = of(sent(weighted(1, 1, 1, 1, 4, 4, 4, 4))).phases().get(0);
        assertEquals(2, power.power(), 0.05);
        assertTrue(part(power, Parts.Against.CAPACITY).spread()
                > 5 * part(power, Parts.Against.POWER).spread());
        // Three times as much in one zone.
        Phase zone = of(sent(weighted(3, 1, 3, 1, 6, 2, 6, 2))).phases().get(0);
        assertTrue(part(zone, Parts.Against.KIND).spread()
                > 5 * part(zone, Parts.Against.GROUP).spread());
        // All balancers alike, each with one server of each zone and kind: the first of the two for seven of ten.
        UniformRandomProvider draw = new RandomStreams(9).of("test", 1);
        Phase subset = of(sent(i -> 4 * draw.nextInt(2) + draw.nextInt(2) + (i % 10 < 7 ? 0 : 2)))
                .phases()
                .get(0);
        assertTrue(part(subset, Parts.Against.GROUP).spread() > 0.3);
        assertEquals(0, part(subset, Parts.Against.SUBSET).spread(), 1e-9);
    }

    /** A server that is in trouble or cold counts in no window that touches the time. */
    @Test
    void onlyServersWithRoomCount() {
        List<BitSet> seconds = new ArrayList<>(all(8).seconds());
        seconds.set(11, first(7));
        Evenness e = Evenness.of(
                "t",
                servers(),
                sent(i -> i % 8),
                new Room(seconds),
                LENGTH,
                List.of(),
                new RandomStreams(3).of("evenness", 0));
        assertEquals(
                List.of(8, 8, 7),
                e.windows().stream().map(Evenness.Window::servers).toList());
        assertEquals(8_750, e.windows().get(2).dispatches());
    }

    /** Servers 6 and 7 (a third of capacity) get nothing from 500 ms after the start to 950 ms after the end. */
    @Test
    void howSoonSickServersAreLeftAndTakenBack() {
        BitSet victims = new BitSet();
        victims.set(6, 8);
        int[] wheel = {0, 1, 2, 3, 4, 4, 5, 5, 6, 6, 7, 7};
        List<Dispatch> sent = sent(i -> wheel[i % 12] >= 6 && i >= 4_500 && i < 8_950 ? i % 6 : wheel[i % 12]);
        Sick sick =
                of(sent, new Sick.Trouble("slow", 4 * S, 8 * S, victims)).sick().get(0);
        assertEquals(1 / 3.0, sick.fair(), 1e-9);
        assertEquals(0.3, sick.quarter(), 1e-9);
        assertEquals(0.9, sick.back(), 1e-9);
        assertEquals(
                sent.stream()
                        .filter(d -> d.first() && d.server() >= 6 && d.at() >= 4 * S && d.at() < 8 * S)
                        .count(),
                sick.firstTries());
        assertTrue(sick.firstTries() > 100);
        assertEquals(0, sick.shares().get(6), 1e-9);
        Sick never = of(sent(i -> wheel[i % 12]), new Sick.Trouble("slow", 4 * S, 8 * S, victims))
                .sick()
                .get(0);
        assertNull(never.quarter());
        assertEquals(0, never.back(), 1e-9);
        assertEquals(1, never.ofFirstTries(), 0.02);
    }
}
