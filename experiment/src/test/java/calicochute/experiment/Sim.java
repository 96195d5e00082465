package calicochute.experiment;

import calicochute.experiment.Counts.Cell;
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
final class Sim {
    /** Windows of 2 s. */
    static final long LENGTH = 2_000_000;

    static final List<String> PEERS =
            IntStream.range(0, 10).mapToObj(i -> "b" + i).toList();

    /** What a session comes to: the measure, or below 0 where it failed. */
    interface Outcome {
        double of(SplittableRandom random, int lane, Arm arm, long window);
    }

    /** May change what a balancer reports. */
    interface Liar {
        Counts of(int balancer, Counts counts);
    }

    final Experiment e;
    final Stopper stopper;
    final SplittableRandom random;
    State state;
    /** Of the four parts of the arm's servers, that of the session being drawn. */
    int servers;

    final List<Sealed> history = new ArrayList<>();

    Sim(Experiment e, long seed) {
        this.e = e;
        random = new SplittableRandom(seed);
        stopper = new Stopper(e, LENGTH, 5);
        state = stopper.begin(0);
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
                Duration.ofMillis(windows * LENGTH / 1000),
                null);
    }

    static Outcome served(double control, double treatment) {
        return (random, lane, arm, window) -> random.nextDouble() < (arm == Arm.CONTROL ? control : treatment) ? 1 : 0;
    }

    Sealed window(long window, int sessions, Outcome outcome, Liar liar) {
        double share = state.share(window);
        long[][][] sums = new long[PEERS.size()][4][4];
        long[][] parts = new long[PEERS.size()][16];
        for (int i = 0; i < sessions; i++) {
            int lane = random.nextInt(2);
            Arm arm = random.nextDouble() < share ? Arm.TREATMENT : Arm.CONTROL;
            servers = random.nextInt(4);
            double y = outcome.of(random, lane, arm, window);
            long ths = Math.round(Math.max(0, y) * Sums.PARTS);
            int at = random.nextInt(PEERS.size());
            long[] s = sums[at][lane * 2 + arm.ordinal()];
            s[0]++;
            s[1] += ths;
            s[2] += ths * ths;
            s[3] += y < 0 ? Sums.PARTS : 0;
            int part = 2 * (arm.ordinal() * 4 + servers);
            parts[at][part]++;
            parts[at][part + 1] += ths;
        }
        Map<String, Counts> all = new TreeMap<>();
        for (int b = 0; b < PEERS.size(); b++) {
            Map<Cell, Sums> cells = new TreeMap<>();
            for (int c = 0; c < 4; c++) {
                cells.put(
                        new Cell(Arm.values()[c % 2], c / 2),
                        new Sums(sums[b][c][0], sums[b][c][1], sums[b][c][2], sums[b][c][3], 0, 0));
            }
            List<Long> boxed = new ArrayList<>(Collections.nCopies(16, 0L));
            for (int i = 0; i < 16; i++) {
                boxed.set(i, parts[b][i]);
            }
            Counts counts = new Counts(window, share, cells, boxed, 0, 0);
            all.put(PEERS.get(b), liar == null ? counts : liar.of(b, counts));
        }
        return Sealed.of(e, window, share, all, PEERS);
    }

    /** Until a verdict, at most so many windows. */
    State run(int windows, int sessions, Outcome outcome, Liar liar) {
        for (int i = 0; i < windows && state.verdict() == Verdict.NONE; i++) {
            advance(sessions, outcome, liar);
        }
        return state;
    }

    void advance(int sessions, Outcome outcome, Liar liar) {
        Sealed sealed = window(state.window() + 1, sessions, outcome, liar);
        history.add(sealed);
        state = stopper.next(state, sealed);
    }
}
