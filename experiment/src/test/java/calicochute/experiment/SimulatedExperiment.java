package calicochute.experiment;

import calicochute.experiment.Counts.ArmLane;
import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Experiment.Measure;
import calicochute.experiment.Experiment.Selector;
import calicochute.experiment.Experiment.Unit;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Simulates the windows of an experiment at ten balancers. */
final class SimulatedExperiment {
    /** Length of a window in microseconds. */
    static final long WINDOW_MICROS = 2_000_000;

    static final List<String> PEERS =
            IntStream.range(0, 10).mapToObj(i -> "b" + i).toList();

    /** Draws the outcome of a session: the measure, or a negative number if the session failed. */
    interface Outcome {
        double draw(SplittableRandom random, int lane, Arm arm, long window);
    }

    /** Changes the counts that a balancer reports. */
    interface ReportFilter {
        Counts apply(int balancer, Counts counts);
    }

    final Experiment experiment;
    final Stopper stopper;
    final SplittableRandom random;
    State state;
    /** Server bucket of the session whose outcome is being drawn. */
    int serverBucket;

    final List<SealedWindow> history = new ArrayList<>();

    SimulatedExperiment(Experiment experiment, long seed) {
        this.experiment = experiment;
        random = new SplittableRandom(seed);
        stopper = new Stopper(experiment, WINDOW_MICROS, 5);
        state = stopper.initialState(0);
    }

    /** An experiment with the lanes order-copy (0) and shelf-read (1). */
    static Experiment experiment(double share, double least, long windows, Guard... guards) {
        return new Experiment(
                "trial",
                "",
                Unit.SESSION,
                new Selector("old", "", "", ""),
                new Selector("new", "", "", ""),
                share,
                Set.of("order-copy", "shelf-read"),
                Set.of(),
                new Measure(0, 1),
                least,
                0.05,
                List.of(guards),
                Duration.ofMillis(windows * WINDOW_MICROS / 1000),
                null);
    }

    /** Sessions that are served with the given probability in each arm. */
    static Outcome served(double control, double treatment) {
        return (random, lane, arm, window) -> random.nextDouble() < (arm == Arm.CONTROL ? control : treatment) ? 1 : 0;
    }

    /** Draws a window; {@code filter} may be null. */
    SealedWindow drawWindow(long window, int sessions, Outcome outcome, ReportFilter filter) {
        double share = state.share(window);
        long[][][] sums = new long[PEERS.size()][4][4];
        long[][] serverBuckets = new long[PEERS.size()][16];
        for (int i = 0; i < sessions; i++) {
            int lane = random.nextInt(2);
            Arm arm = random.nextDouble() < share ? Arm.TREATMENT : Arm.CONTROL;
            serverBucket = random.nextInt(4);
            double value = outcome.draw(random, lane, arm, window);
            long scaledValue = Math.round(Math.max(0, value) * Sums.SCALE);
            int balancer = random.nextInt(PEERS.size());
            long[] armLaneSums = sums[balancer][lane * 2 + arm.ordinal()];
            armLaneSums[0]++;
            armLaneSums[1] += scaledValue;
            armLaneSums[2] += scaledValue * scaledValue;
            armLaneSums[3] += value < 0 ? Sums.SCALE : 0;
            int bucket = 2 * (arm.ordinal() * 4 + serverBucket);
            serverBuckets[balancer][bucket]++;
            serverBuckets[balancer][bucket + 1] += scaledValue;
        }
        Map<String, Counts> countsByOrigin = new TreeMap<>();
        for (int balancerIndex = 0; balancerIndex < PEERS.size(); balancerIndex++) {
            Map<ArmLane, Sums> byArmLane = new TreeMap<>();
            for (int armLaneIndex = 0; armLaneIndex < 4; armLaneIndex++) {
                byArmLane.put(
                        new ArmLane(Arm.values()[armLaneIndex % 2], armLaneIndex / 2),
                        new Sums(
                                sums[balancerIndex][armLaneIndex][0],
                                sums[balancerIndex][armLaneIndex][1],
                                sums[balancerIndex][armLaneIndex][2],
                                sums[balancerIndex][armLaneIndex][3],
                                0,
                                0));
            }
            List<Long> boxed = new ArrayList<>(Collections.nCopies(16, 0L));
            for (int i = 0; i < 16; i++) {
                boxed.set(i, serverBuckets[balancerIndex][i]);
            }
            Counts counts = new Counts(window, share, byArmLane, boxed, 0, 0);
            countsByOrigin.put(PEERS.get(balancerIndex), filter == null ? counts : filter.apply(balancerIndex, counts));
        }
        return SealedWindow.of(experiment, window, share, countsByOrigin, PEERS);
    }

    /** Advances until there is a verdict or the given number of windows has passed. */
    State run(int windows, int sessions, Outcome outcome, ReportFilter filter) {
        for (int i = 0; i < windows && state.verdict() == Verdict.NONE; i++) {
            advance(sessions, outcome, filter);
        }
        return state;
    }

    void advance(int sessions, Outcome outcome, ReportFilter filter) {
        SealedWindow sealed = drawWindow(state.window() + 1, sessions, outcome, filter);
        history.add(sealed);
        state = stopper.advance(state, sealed);
    }
}
