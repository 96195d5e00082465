package calicochute.experiment;

import calicochute.experiment.Counts.Cell;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The counts of one sealed window added up, in five groups of balancers: what one balancer counts lies in one group, so
 * that a verdict can be asked for that stands without any one of them. Sums are of values in [0, 1].
 *
 * <p>What is left out: counts of an unknown balancer, and those assigned with another share than the window's (a
 * balancer that had not heard of a move). One balancer's part is at most {@link #MOST_MEDIANS} times the median: beyond
 * it all its sums are scaled down alike, which depends on its number of sessions only, not on arms or outcomes, and so
 * keeps the evidence valid (E exp(f x) is at most (E exp x)^f for f up to 1).
 */
public final class Sealed {
    static final int GROUPS = 5;
    static final double MOST_MEDIANS = 3;
    private static final int FEWEST = 10;

    /** Of one group, arm and lane. */
    static final class Total {
        double n;
        double sum;
        double squares;
        double failures;

        /** Sum of (value - b) squared. */
        double around(double b) {
            return Math.max(0, squares - 2 * b * sum + n * b * b);
        }
    }

    final long window;
    final Total[][][] totals;
    final double[] parts = new double[4 * Counts.PARTS];
    final double[] crossed = new double[2];
    double asked;
    double cut;
    private int leftOut;
    private int scaled;

    private Sealed(long window, int lanes) {
        this.window = window;
        totals = new Total[GROUPS][lanes][2];
        for (Total[][] group : totals) {
            for (Total[] lane : group) {
                lane[0] = new Total();
                lane[1] = new Total();
            }
        }
    }

    /**
     * @param share with which the window's sessions were to be assigned, {@link State#share(long)}
     * @param counts of the window, by origin
     * @param peers all configured balancers: their places give the groups
     */
    public static Sealed of(
            Experiment e, long window, double share, Map<String, Counts> counts, Collection<String> peers) {
        Sealed sealed = new Sealed(window, e.lanes().size());
        List<String> places = List.copyOf(new TreeSet<>(peers));
        List<Long> sizes = new ArrayList<>();
        List<String> taken = new ArrayList<>();
        for (String origin : new TreeSet<>(counts.keySet())) {
            Counts c = counts.get(origin);
            if (c.window() != window || c.share() != share || Collections.binarySearch(places, origin) < 0) {
                sealed.leftOut++;
            } else {
                taken.add(origin);
                if (c.sessions() > 0) {
                    sizes.add(c.sessions());
                }
            }
        }
        sizes.sort(null);
        double most = sizes.size() < 3
                ? Double.MAX_VALUE
                : Math.max(FEWEST, MOST_MEDIANS * sizes.get((sizes.size() - 1) / 2));
        for (String origin : taken) {
            sealed.add(counts.get(origin), Collections.binarySearch(places, origin) % GROUPS, most);
        }
        return sealed;
    }

    private void add(Counts c, int group, double most) {
        double f = Math.min(1, most / Math.max(1, c.sessions()));
        scaled += f < 1 ? 1 : 0;
        for (Map.Entry<Cell, Sums> entry : c.cells().entrySet()) {
            if (entry.getKey().lane() < totals[group].length) {
                Sums sums = entry.getValue();
                Total total = totals[group][entry.getKey().lane()][
                        entry.getKey().arm().ordinal()];
                total.n += f * sums.n();
                total.sum += f * sums.sum() / Sums.PARTS;
                total.squares += f * sums.squares() / Sums.PARTS / Sums.PARTS;
                total.failures += f * sums.failures() / Sums.PARTS;
                crossed[entry.getKey().arm().ordinal()] += f * sums.crossed();
            }
        }
        for (int i = 0; i < parts.length; i++) {
            parts[i] += f * c.parts().get(i) / (i % 2 == 0 ? 1 : Sums.PARTS);
        }
        asked += c.asked();
        cut += c.cut();
    }

    public long window() {
        return window;
    }

    /** Balancers whose counts were left out. */
    public int leftOut() {
        return leftOut;
    }

    /** Balancers whose part was scaled down. */
    public int scaled() {
        return scaled;
    }

    double sessions(int group, Arm arm) {
        double sum = 0;
        for (Total[] lane : totals[group]) {
            sum += lane[arm.ordinal()].n;
        }
        return sum;
    }

    double sessions(Arm arm) {
        double sum = 0;
        for (int group = 0; group < GROUPS; group++) {
            sum += sessions(group, arm);
        }
        return sum;
    }

    /** Over all groups. */
    Total total(int lane, Arm arm) {
        Total all = new Total();
        for (Total[][] group : totals) {
            Total one = group[lane][arm.ordinal()];
            all.n += one.n;
            all.sum += one.sum;
            all.squares += one.squares;
            all.failures += one.failures;
        }
        return all;
    }
}
