package calicochute.experiment;

import calicochute.experiment.Counts.ArmLane;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The aggregated counts of one window, in five groups of balancers. All counts of a balancer are in one group, so that
 * a verdict can be required to hold without any single group. Sums are of values in [0, 1].
 *
 * <p>Counts are left out if they come from an unknown balancer or were assigned with a share other than the window's,
 * by a balancer that had not yet received a change of the share. A balancer may contribute at most {@link #MAX_MEDIANS}
 * times the median number of sessions; above it all its sums are scaled down by one factor f. The factor depends on its
 * number of sessions only and not on arms or outcomes, which keeps the evidence valid: E exp(f x) is at most (E exp
 * x)^f for f up to 1.
 */
public final class SealedWindow {
    /** Number of balancer groups. */
    static final int GROUPS = 5;
    /** Largest contribution of a balancer as a multiple of the median number of sessions. */
    static final double MAX_MEDIANS = 3;
    /** Number of sessions up to which a balancer is never scaled down. */
    private static final int MIN_SESSION_LIMIT = 10;

    /** The sums of one group, arm and lane. */
    static final class Total {
        double count;
        double sum;
        double sumOfSquares;
        double failures;

        /** Sum of (value - center) squared. */
        double squaredDeviations(double center) {
            return Math.max(0, sumOfSquares - 2 * center * sum + count * center * center);
        }
    }

    final long window;
    /** Sums by group, lane and ordinal of the arm. */
    final Total[][][] totals;
    /** For each arm and server bucket: number of sessions and sum of the measure. */
    final double[] serverBuckets = new double[4 * Counts.BUCKETS];
    /** Number of crossovers by ordinal of the arm. */
    final double[] crossovers = new double[2];

    double worthRequested;
    double worthAboveCap;
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
     * Aggregates the counts of a window.
     *
     * @param share share of the treatment in the window, {@link State#share(long)}
     * @param countsByOrigin counts of the window by the name of the balancer
     * @param peers names of all configured balancers; the position in sorted order determines the group
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
        worthRequested += counts.worthRequested();
        worthAboveCap += counts.worthAboveCap();
    }

    public long window() {
        return window;
    }

    /** Number of balancers whose counts were left out. */
    public int leftOut() {
        return leftOut;
    }

    /** Number of balancers whose counts were scaled down. */
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

    /** Sums of an arm and lane over all groups. */
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
