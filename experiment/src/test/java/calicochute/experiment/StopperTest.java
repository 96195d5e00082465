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

/** Error rate and power of the verdicts, the guards, the rollout, and the serialization of the state. */
class StopperTest {
    private static final Guard GUARD = new Guard("order-copy", 0.01);

    /** Number of runs that end with each verdict, by simulations with the seeds 0 to {@code runs} - 1. */
    private static Map<Verdict, Long> verdicts(
            int runs,
            double share,
            double least,
            int windows,
            int sessions,
            SimulatedExperiment.Outcome outcome,
            Guard... guards) {
        Map<Verdict, Long> found = LongStream.range(0, runs)
                .parallel()
                .mapToObj(seed -> new SimulatedExperiment(
                                SimulatedExperiment.experiment(share, least, windows, guards), seed)
                        .run(windows, sessions, outcome, null)
                        .verdict())
                .collect(Collectors.groupingBy(v -> v, () -> new EnumMap<>(Verdict.class), Collectors.counting()));
        for (Verdict verdict : Verdict.values()) {
            found.putIfAbsent(verdict, 0L);
        }
        return found;
    }

    /**
     * Evaluates each of 80 windows in 1,000 runs with fixed seeds; at most 0.05 of the runs may end with a false
     * verdict.
     */
    @Test
    void falseVerdictsStayBelowTheErrorRate() {
        Map<Verdict, Long> found = verdicts(
                1000,
                0.2,
                0.05,
                80,
                100,
                (random, lane, arm, window) -> {
                    double draw = random.nextDouble();
                    return lane == 0 && draw < 0.03 ? -1 : draw < 0.12 ? 0 : 1;
                },
                GUARD);
        assertTrue(
                found.get(Verdict.TREATMENT) + found.get(Verdict.CONTROL) + found.get(Verdict.HARM) <= 50, "" + found);
        assertTrue(found.get(Verdict.NO_DIFFERENCE) > 600, "" + found);
    }

    @Test
    void detectsTheSmallestRelevantDifference() {
        Map<Verdict, Long> better = verdicts(200, 0.5, 0.05, 60, 100, SimulatedExperiment.served(0.85, 0.9));
        assertTrue(
                better.get(Verdict.TREATMENT) >= 180
                        && better.get(Verdict.CONTROL) == 0
                        && better.get(Verdict.NO_DIFFERENCE) <= 10,
                "" + better);
        Map<Verdict, Long> worse = verdicts(200, 0.5, 0.05, 60, 100, SimulatedExperiment.served(0.9, 0.85));
        assertTrue(
                worse.get(Verdict.CONTROL) >= 180
                        && worse.get(Verdict.TREATMENT) == 0
                        && worse.get(Verdict.NO_DIFFERENCE) <= 10,
                "" + worse);
    }

    @Test
    void guardDetectsFailuresOfOneLane() {
        SimulatedExperiment.Outcome harmful = (random, lane, arm, window) -> {
            double draw = random.nextDouble();
            return lane == 0 && draw < (arm == Arm.TREATMENT ? 0.2 : 0.01) ? -1 : draw < 0.06 ? 0 : 1;
        };
        for (double share : new double[] {0.1, 0.5}) {
            double[] sessionsUntilHarm = LongStream.range(0, 200)
                    .mapToDouble(seed -> {
                        SimulatedExperiment sim = new SimulatedExperiment(
                                SimulatedExperiment.experiment(share, 0.001, 1000, GUARD), seed);
                        assertEquals(
                                Verdict.HARM, sim.run(1000, 20, harmful, null).verdict());
                        assertEquals(0, sim.state.share(sim.state.window() + 1));
                        return sim.history.stream()
                                .mapToDouble(s -> s.total(0, Arm.TREATMENT).count)
                                .sum();
                    })
                    .sorted()
                    .toArray();
            assertTrue(sessionsUntilHarm[199] <= 200, "" + sessionsUntilHarm[199]);
        }
    }

    @Test
    void guardToleratesTheAllowedExcess() {
        assertEquals(
                0,
                verdicts(
                                        200,
                                        0.5,
                                        0.3,
                                        60,
                                        100,
                                        (random, lane, arm, window) ->
                                                lane == 0 && random.nextDouble() < (arm == Arm.TREATMENT ? 0.02 : 0.01)
                                                        ? -1
                                                        : 1,
                                        GUARD)
                                .get(Verdict.HARM)
                        / 10);
    }

    @Property(tries = 40)
    void serializedStateContinuesIdentically(@ForAll long seed) throws UnreadableException {
        SimulatedExperiment sim = new SimulatedExperiment(SimulatedExperiment.experiment(0.3, 0.05, 50, GUARD), seed);
        sim.run((int) (seed & 63), 50, SimulatedExperiment.served(0.9, 0.8), null);
        byte[] bytes = sim.state.toBytes();
        State read = State.fromBytes(bytes);
        assertEquals(sim.state, read);
        SealedWindow nextWindow =
                sim.drawWindow(sim.state.window() + 1, 50, SimulatedExperiment.served(0.9, 0.8), null);
        assertEquals(sim.stopper.advance(sim.state, nextWindow), sim.stopper.advance(read, nextWindow));
        assertTrue(Arrays.equals(bytes, sim.state.toBytes()), "a state does not change after it was returned");
        for (int i = 0; i < bytes.length; i += 7) {
            int length = i;
            assertThrows(UnreadableException.class, () -> State.fromBytes(Arrays.copyOf(bytes, length)));
        }
    }

    @Property(tries = 500)
    void arbitraryBytesParseOrThrowUnreadable(@ForAll long seed, @ForAll byte[] noise) {
        byte[] bytes =
                new SimulatedExperiment(SimulatedExperiment.experiment(0.3, 0.05, 50, GUARD), seed).state.toBytes();
        for (int i = 0; i < noise.length; i++) {
            bytes[Math.floorMod((int) (seed >> i % 32) + i, bytes.length)] = noise[i];
        }
        try {
            State.fromBytes(bytes).toString();
        } catch (UnreadableException e) {
            assertTrue(e.getMessage().contains("state"));
        }
    }

    @Test
    void largestStateFitsItsByteLimit() {
        Set<String> lanes = IntStream.range(0, ExperimentValidator.MAX_LANES)
                .mapToObj(i -> "l" + i)
                .collect(Collectors.toSet());
        Experiment experiment = new Experiment(
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
        int length = new Stopper(experiment, SimulatedExperiment.WINDOW_MICROS, 5)
                .initialState(0)
                .toBytes()
                .length;
        assertTrue(length <= 900, "" + length);
    }

    @Test
    void verdictIsFinalAndWindowCountsOnce() {
        SimulatedExperiment sim = new SimulatedExperiment(SimulatedExperiment.experiment(0.5, 0.05, 1000), 1);
        sim.advance(100, SimulatedExperiment.served(0.5, 0.9), null);
        assertSame(sim.state, sim.stopper.advance(sim.state, sim.history.get(0)));
        State decided = sim.run(1000, 100, SimulatedExperiment.served(0.5, 0.9), null);
        assertEquals(Verdict.TREATMENT, decided.verdict());
        for (int i = 0; i < 100; i++) {
            sim.advance(100, SimulatedExperiment.served(0.9, 0.2), null);
        }
        assertEquals(Verdict.TREATMENT, sim.state.verdict());
        assertEquals(decided.verdictWindow(), sim.state.verdictWindow());
        assertThrows(
                IllegalArgumentException.class,
                () -> new Stopper(SimulatedExperiment.experiment(0.5, 0.06, 1000), SimulatedExperiment.WINDOW_MICROS, 5)
                        .advance(decided, sim.history.get(0)));
    }

    @Test
    void longestDurationEndsUndecided() {
        State state = new SimulatedExperiment(SimulatedExperiment.experiment(0.5, 0.01, 10), 1)
                .run(20, 20, SimulatedExperiment.served(0.9, 0.9), null);
        assertEquals(Verdict.UNDECIDED, state.verdict());
        assertEquals(9, state.verdictWindow());
    }

    @Test
    void rolloutRaisesShareInStepsAndRevertsOnHarm() {
        Experiment plain = SimulatedExperiment.experiment(0.2, 0.05, 1000, GUARD);
        Experiment experiment = new Experiment(
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
        SimulatedExperiment sim = new SimulatedExperiment(experiment, 3);
        State decided = sim.run(1000, 100, SimulatedExperiment.served(0.5, 0.9), null);
        assertEquals(Verdict.TREATMENT, decided.verdict());
        long verdictWindow = decided.verdictWindow();
        assertEquals(0.2, decided.share(verdictWindow + 4));
        assertEquals(0.5, decided.share(verdictWindow + 5));
        while (sim.state.window() < verdictWindow + 15) {
            sim.advance(100, SimulatedExperiment.served(0.5, 0.9), null);
        }
        assertEquals(0.5, sim.state.share(verdictWindow + 19));
        assertEquals(0.8, sim.state.share(verdictWindow + 20));
        for (int i = 0; i < 60; i++) {
            sim.advance(
                    100,
                    (random, lane, arm, window) -> arm == Arm.TREATMENT && random.nextDouble() < 0.3 ? -1 : 1,
                    null);
        }
        assertTrue(sim.state.notes().contains(Note.TURNED_BACK));
        assertEquals(0, sim.state.share(sim.state.window() + 1));
        assertEquals(Verdict.TREATMENT, sim.state.verdict());
    }

    @Test
    void shareChangesAreValidated() {
        SimulatedExperiment sim = new SimulatedExperiment(SimulatedExperiment.experiment(0.2, 0.05, 1000), 1);
        sim.advance(10, SimulatedExperiment.served(1, 1), null);
        for (double share : new double[] {0, 1, -1, Double.NaN}) {
            assertThrows(IllegalArgumentException.class, () -> sim.stopper.changeShare(sim.state, share, 10));
        }
        assertThrows(IllegalArgumentException.class, () -> sim.stopper.changeShare(sim.state, 0.5, 0));
        State moved = sim.stopper.changeShare(sim.state, 0.5, 9);
        assertEquals(0.2, moved.share(8));
        assertThrows(IllegalArgumentException.class, () -> sim.stopper.changeShare(moved, 0.6, 12));
    }
}
