package calicochute.experiment;

import calicochute.experiment.Counts.ArmLane;
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
public final class SealedWindow {
    static final int GROUPS = 5;
    static final double MAX_MEDIANS = 3;
    private static final int MIN_SESSION_LIMIT = 10;

    /** Of one group, arm and lane. */
    static final class Total {
        double count;
        double sum;
        double sumOfSquares;
        double failures;

        /** Sum of (value - b) squared. */
        double squaredDeviations(double center) {
            return Math.max(0, sumOfSquares - 2 * center * sum + count * center * center);
        }
    }

    final long window;
    final Total[][][] totals;
    final double[] serverBuckets = new double[4 * Counts.BUCKETS];
    final double[] crossovers = new double[2];
    double worthAsked;
    double worthCut;
    private int leftOut;
    private int scaledDown;

    private SealedWindow(long window, int lanes) {
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
    public static SealedWindow of(
            Experiment experiment,
            long window,
            double share,
            Map<String, Counts> countsByOrigin,
            Collection<String> peers) {
        SealedWindow sealed = new SealedWindow(window, experiment.lanes().size());
        List<String> sortedPeers = List.copyOf(new TreeSet<>(peers));
        List<Long> sessionCounts = new ArrayList<>();
        List<String> acceptedOrigins = new ArrayList<>();
        for (String origin : new TreeSet<>(countsByOrigin.keySet())) {
            Counts counts = countsByOrigin.get(origin);
            if (counts.window() != window
                    || counts.share() != share
                    || Collections.binarySearch(sortedPeers, origin) < 0) {
                sealed.leftOut++;
            } else {
                acceptedOrigins.add(origin);
                if (counts.sessions() > 0) {
                    sessionCounts.add(counts.sessions());
                }
            }
        }
        sessionCounts.sort(null);
        double maxSessions = sessionCounts.size() < 3
                ? Double.MAX_VALUE
                : Math.max(MIN_SESSION_LIMIT, MAX_MEDIANS * sessionCounts.get((sessionCounts.size() - 1) / 2));
        for (String origin : acceptedOrigins) {
            sealed.add(countsByOrigin.get(origin), Collections.binarySearch(sortedPeers, origin) % GROUPS, maxSessions);
        }
        return sealed;
    }

    private void add(Counts counts, int group, double maxSessions) {
        double factor = Math.min(1, maxSessions / Math.max(1, counts.sessions()));
        scaledDown += factor < 1 ? 1 : 0;
        for (Map.Entry<ArmLane, Sums> entry : counts.byArmLane().entrySet()) {
            if (entry.getKey().lane() < totals[group].length) {
                Sums sums = entry.getValue();
                Total total = totals[group][entry.getKey().lane()][
                        entry.getKey().arm().ordinal()];
                total.count += factor * sums.count();
                total.sum += factor * sums.sum() / Sums.SCALE;
                total.sumOfSquares += factor * sums.sumOfSquares() / Sums.SCALE / Sums.SCALE;
                total.failures += factor * sums.failures() / Sums.SCALE;
                crossovers[entry.getKey().arm().ordinal()] += factor * sums.crossovers();
            }
        }
        for (int i = 0; i < serverBuckets.length; i++) {
            serverBuckets[i] += factor * counts.serverBuckets().get(i) / (i % 2 == 0 ? 1 : Sums.SCALE);
        }
        worthAsked += counts.worthAsked();
        worthCut += counts.worthCut();
    }

    public long window() {
        return window;
    }

    /** Balancers whose counts were left out. */
    public int leftOut() {
        return leftOut;
    }

    /** Balancers whose part was scaled down. */
    public int scaledDown() {
        return scaledDown;
    }

    double sessions(int group, Arm arm) {
        double sum = 0;
        for (Total[] lane : totals[group]) {
            sum += lane[arm.ordinal()].count;
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
        Total combined = new Total();
        for (Total[][] group : totals) {
            Total one = group[lane][arm.ordinal()];
            combined.count += one.count;
            combined.sum += one.sum;
            combined.sumOfSquares += one.sumOfSquares;
            combined.failures += one.failures;
        }
        return combined;
    }
}
