package calicochute.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.experiment.Experiment.After;
import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Verdict.Note;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StopperTest {
    private static final Guard GUARD = new Guard("order-copy", 0.01);

    private static Map<Verdict, Long> verdicts(
            int plays, double share, double least, int windows, int sessions, Sim.Outcome outcome, Guard... guards) {
        Map<Verdict, Long> found = LongStream.range(0, plays)
                .parallel()
                .mapToObj(seed -> new Sim(Sim.experiment(share, least, windows, guards), seed)
                        .run(windows, sessions, outcome, null)
                        .verdict())
                .collect(Collectors.groupingBy(v -> v, () -> new EnumMap<>(Verdict.class), Collectors.counting()));
        for (Verdict verdict : Verdict.values()) {
            found.putIfAbsent(verdict, 0L);
        }
        return found;
    }

    /** Looked at after each of 80 windows; 1,000 plays of fixed seeds, at most 0.05 of them false. */
    @Test
    void falseVerdictsUnderNoDifference() {
        Map<Verdict, Long> found = verdicts(
                1000,
                0.2,
                0.05,
                80,
                100,
                (r, lane, arm, w) -> {
                    double y = r.nextDouble();
                    return lane == 0 && y < 0.03 ? -1 : y < 0.12 ? 0 : 1;
                },
                GUARD);
        assertTrue(
                found.get(Verdict.TREATMENT) + found.get(Verdict.CONTROL) + found.get(Verdict.HARM) <= 50, "" + found);
        assertTrue(found.get(Verdict.NO_DIFFERENCE) > 600, "" + found);
    }

    @Test
    void atTheSmallestDifferenceThatMatters() {
        Map<Verdict, Long> better = verdicts(200, 0.5, 0.05, 60, 100, Sim.served(0.85, 0.9));
        assertTrue(
                better.get(Verdict.TREATMENT) >= 180
                        && better.get(Verdict.CONTROL) == 0
                        && better.get(Verdict.NO_DIFFERENCE) <= 10,
                "" + better);
        Map<Verdict, Long> worse = verdicts(200, 0.5, 0.05, 60, 100, Sim.served(0.9, 0.85));
        assertTrue(
                worse.get(Verdict.CONTROL) >= 180
                        && worse.get(Verdict.TREATMENT) == 0
                        && worse.get(Verdict.NO_DIFFERENCE) <= 10,
                "" + worse);
    }

    @Test
    void aFifthOfOneClassFailing() {
        Sim.Outcome harmful = (r, lane, arm, w) -> {
            double y = r.nextDouble();
            return lane == 0 && y < (arm == Arm.TREATMENT ? 0.2 : 0.01) ? -1 : y < 0.06 ? 0 : 1;
        };
        for (double share : new double[] {0.1, 0.5}) {
            double[] copies = LongStream.range(0, 200)
                    .mapToDouble(seed -> {
                        Sim sim = new Sim(Sim.experiment(share, 0.001, 1000, GUARD), seed);
                        assertEquals(
                                Verdict.HARM, sim.run(1000, 20, harmful, null).verdict());
                        assertEquals(0, sim.state.share(sim.state.window() + 1));
                        return sim.history.stream()
                                .mapToDouble(s -> s.total(0, Arm.TREATMENT).n)
                                .sum();
                    })
                    .sorted()
                    .toArray();
            assertTrue(copies[199] <= 200, "" + copies[199]);
        }
    }

    @Test
    void theGuardAllowsWhatItSays() {
        assertEquals(
                0,
                verdicts(
                                        200,
                                        0.5,
                                        0.3,
                                        60,
                                        100,
                                        (r, lane, arm, w) ->
                                                lane == 0 && r.nextDouble() < (arm == Arm.TREATMENT ? 0.02 : 0.01)
                                                        ? -1
                                                        : 1,
                                        GUARD)
                                .get(Verdict.HARM)
                        / 10);
    }

    @Property(tries = 40)
    void bytesTellAllAndGoOnTheSame(@ForAll long seed) throws UnreadableException {
        Sim sim = new Sim(Sim.experiment(0.3, 0.05, 50, GUARD), seed);
        sim.run((int) (seed & 63), 50, Sim.served(0.9, 0.8), null);
        byte[] bytes = sim.state.bytes();
        State read = State.of(bytes);
        assertEquals(sim.state, read);
        Sealed more = sim.window(sim.state.window() + 1, 50, Sim.served(0.9, 0.8), null);
        assertEquals(sim.stopper.next(sim.state, more), sim.stopper.next(read, more));
        assertTrue(Arrays.equals(bytes, sim.state.bytes()), "a state handed out does not change");
        for (int i = 0; i < bytes.length; i += 7) {
            int length = i;
            assertThrows(UnreadableException.class, () -> State.of(Arrays.copyOf(bytes, length)));
        }
    }

    @Property(tries = 500)
    void anyBytesAreAStateOrATypedError(@ForAll long seed, @ForAll byte[] noise) {
        byte[] bytes = new Sim(Sim.experiment(0.3, 0.05, 50, GUARD), seed).state.bytes();
        for (int i = 0; i < noise.length; i++) {
            bytes[Math.floorMod((int) (seed >> i % 32) + i, bytes.length)] = noise[i];
        }
        try {
            State.of(bytes).toString();
        } catch (UnreadableException e) {
            assertTrue(e.getMessage().contains("state"));
        }
    }

    @Test
    void theLargestStateFits() {
        Set<String> lanes = IntStream.range(0, ExperimentCheck.MOST_LANES)
                .mapToObj(i -> "l" + i)
                .collect(Collectors.toSet());
        Experiment e = new Experiment(
                "e",
                "",
                null,
                null,
                null,
                0.5,
                lanes,
                null,
                null,
                0.02,
                0.05,
                List.of(new Guard("l0", 0), new Guard("l1", 0), new Guard("l2", 0)),
                null,
                null);
        int length = new Stopper(e, Sim.LENGTH, 5).begin(0).bytes().length;
        assertTrue(length <= 900, "" + length);
    }

    @Test
    void aVerdictIsFinalAndAWindowCountsOnce() {
        Sim sim = new Sim(Sim.experiment(0.5, 0.05, 1000), 1);
        sim.advance(100, Sim.served(0.5, 0.9), null);
        assertSame(sim.state, sim.stopper.next(sim.state, sim.history.get(0)));
        State decided = sim.run(1000, 100, Sim.served(0.5, 0.9), null);
        assertEquals(Verdict.TREATMENT, decided.verdict());
        for (int i = 0; i < 100; i++) {
            sim.advance(100, Sim.served(0.9, 0.2), null);
        }
        assertEquals(Verdict.TREATMENT, sim.state.verdict());
        assertEquals(decided.decided(), sim.state.decided());
        assertThrows(
                IllegalArgumentException.class,
                () -> new Stopper(Sim.experiment(0.5, 0.06, 1000), Sim.LENGTH, 5).next(decided, sim.history.get(0)));
    }

    @Test
    void theLongestDurationEndsItUndecided() {
        State state = new Sim(Sim.experiment(0.5, 0.01, 10), 1).run(20, 20, Sim.served(0.9, 0.9), null);
        assertEquals(Verdict.UNDECIDED, state.verdict());
        assertEquals(9, state.decided());
    }

    @Test
    void afterAVerdictTheShareGoesUpInStepsAndBackAtHarm() {
        Experiment plain = Sim.experiment(0.2, 0.05, 1000, GUARD);
        Experiment e = new Experiment(
                plain.name(),
                "",
                plain.unit(),
                plain.control(),
                plain.treatment(),
                0.2,
                plain.lanes(),
                null,
                null,
                0.05,
                0.05,
                plain.guards(),
                plain.longest(),
                new After(List.of(0.5, 0.8), Duration.ofSeconds(20)));
        Sim sim = new Sim(e, 3);
        State decided = sim.run(1000, 100, Sim.served(0.5, 0.9), null);
        assertEquals(Verdict.TREATMENT, decided.verdict());
        long at = decided.decided();
        assertEquals(0.2, decided.share(at + 4));
        assertEquals(0.5, decided.share(at + 5));
        while (sim.state.window() < at + 15) {
            sim.advance(100, Sim.served(0.5, 0.9), null);
        }
        assertEquals(0.5, sim.state.share(at + 19));
        assertEquals(0.8, sim.state.share(at + 20));
        for (int i = 0; i < 60; i++) {
            sim.advance(100, (r, lane, arm, w) -> arm == Arm.TREATMENT && r.nextDouble() < 0.3 ? -1 : 1, null);
        }
        assertTrue(sim.state.notes().contains(Note.TURNED_BACK));
        assertEquals(0, sim.state.share(sim.state.window() + 1));
        assertEquals(Verdict.TREATMENT, sim.state.verdict());
    }

    @Test
    void movesOfTheShareAreBounded() {
        Sim sim = new Sim(Sim.experiment(0.2, 0.05, 1000), 1);
        sim.advance(10, Sim.served(1, 1), null);
        for (double share : new double[] {0, 1, -1, Double.NaN}) {
            assertThrows(IllegalArgumentException.class, () -> sim.stopper.move(sim.state, share, 10));
        }
        assertThrows(IllegalArgumentException.class, () -> sim.stopper.move(sim.state, 0.5, 0));
        State moved = sim.stopper.move(sim.state, 0.5, 9);
        assertEquals(0.2, moved.share(8));
        assertThrows(IllegalArgumentException.class, () -> sim.stopper.move(moved, 0.6, 12));
    }
}
