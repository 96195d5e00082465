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

/** Drawn histories of an experiment, window by window, at ten balancers. */
final class SimulatedExperiment {
    /** Windows of 2 s. */
    static final long WINDOW_MICROS = 2_000_000;

    static final List<String> PEERS =
            IntStream.range(0, 10).mapToObj(i -> "b" + i).toList();

    /** What a session comes to: the measure, or below 0 where it failed. */
    interface Outcome {
        double draw(SplittableRandom random, int lane, Arm arm, long window);
    }

    /** May change what a balancer reports. */
    interface ReportFilter {
        Counts apply(int balancer, Counts counts);
    }

    final Experiment experiment;
    final Stopper stopper;
    final SplittableRandom random;
    State state;
    /** Of the four parts of the arm's servers, that of the session being drawn. */
    int serverBucket;

    final List<SealedWindow> history = new ArrayList<>();

    SimulatedExperiment(Experiment experiment, long seed) {
        this.experiment = experiment;
        random = new SplittableRandom(seed);
        stopper = new Stopper(experiment, WINDOW_MICROS, 5);
        state = stopper.initialState(0);
    }

    /** Two lanes, order-copy (0) and shelf-read (1). */
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

    static Outcome served(double control, double treatment) {
        return (random, lane, arm, window) -> random.nextDouble() < (arm == Arm.CONTROL ? control : treatment) ? 1 : 0;
    }

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
            long[] cellSums = sums[balancer][lane * 2 + arm.ordinal()];
            cellSums[0]++;
            cellSums[1] += scaledValue;
            cellSums[2] += scaledValue * scaledValue;
            cellSums[3] += value < 0 ? Sums.SCALE : 0;
            int bucket = 2 * (arm.ordinal() * 4 + serverBucket);
            serverBuckets[balancer][bucket]++;
            serverBuckets[balancer][bucket + 1] += scaledValue;
        }
        Map<String, Counts> countsByOrigin = new TreeMap<>();
        for (int b = 0; b < PEERS.size(); b++) {
            Map<ArmLane, Sums> byArmLane = new TreeMap<>();
            for (int c = 0; c < 4; c++) {
                byArmLane.put(
                        new ArmLane(Arm.values()[c % 2], c / 2),
                        new Sums(sums[b][c][0], sums[b][c][1], sums[b][c][2], sums[b][c][3], 0, 0));
            }
            List<Long> boxed = new ArrayList<>(Collections.nCopies(16, 0L));
            for (int i = 0; i < 16; i++) {
                boxed.set(i, serverBuckets[b][i]);
            }
            Counts counts = new Counts(window, share, byArmLane, boxed, 0, 0);
            countsByOrigin.put(PEERS.get(b), filter == null ? counts : filter.apply(b, counts));
        }
        return SealedWindow.of(experiment, window, share, countsByOrigin, PEERS);
    }

    /** Until a verdict, at most so many windows. */
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
