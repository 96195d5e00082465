package calicochute.outcomes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What this balancer knows of the fleet's outcomes: the rows of the last windows of each known key. Later rows do not
 * change a snapshot.
 */
public final class OutcomeSnapshot {
    /** Microseconds in which an outcome's weight falls to 1/e, as for the decision module's estimates. */
    public static final long DECAY_MICROS = 3_000_000;

    private final Windows windows;
    private final List<AggregateRow> rows;

    OutcomeSnapshot(Windows windows, List<AggregateRow> rows) {
        this.windows = windows;
        this.rows = List.copyOf(rows);
    }

    /** One start of a server. */
    public record ServerStart(String id, long startedAt) implements Comparable<ServerStart> {
        @Override
        public int compareTo(ServerStart other) {
            int order = id.compareTo(other.id);
            return order != 0 ? order : Long.compare(startedAt, other.startedAt);
        }
    }

    /**
     * Sums over the clipped tallies of a server's rows (all classes and arms), each weighted by exp(-age / 3 s).
     *
     * @param counts dispatches by {@link DispatchResult#ordinal()}
     * @param logSpeedSum the sum of the log speeds
     * @param logSpeedSquareSum the sum of the squares of the log speeds
     * @param speedSamples how many dispatches gave a speed
     * @param varianceBetweenReporters the weighted mean of the rows' variances between reporters
     * @param reporters the most reporters of any row
     */
    public record DecayedSums(
            List<Double> counts,
            double logSpeedSum,
            double logSpeedSquareSum,
            double speedSamples,
            double varianceBetweenReporters,
            int reporters) {
        public double total() {
            return counts.stream().mapToDouble(Double::doubleValue).sum();
        }

        public double count(DispatchResult result) {
            return counts.get(result.ordinal());
        }
    }

    /** All rows of the last windows, those of one key next to each other. */
    public Collection<AggregateRow> rows(long now) {
        return rows.stream()
                .filter(r -> windows.number(now) - r.window() <= Limits.DEFAULT.maxWindowsBehind())
                .toList();
    }

    /** For each key the row of its newest window. */
    public Map<OutcomeKey, AggregateRow> newestRows(long now) {
        Map<OutcomeKey, AggregateRow> newest = new HashMap<>();
        rows(now).forEach(r -> newest.merge(r.key(), r, (a, b) -> a.window() > b.window() ? a : b));
        return newest;
    }

    /** Decayed sums for each server. The age of a window counts from its end and is at least 0. */
    public Map<ServerStart, DecayedSums> decayedSums(long now) {
        Map<ServerStart, List<AggregateRow>> byServer = new TreeMap<>();
        rows(now)
                .forEach(r -> byServer.computeIfAbsent(
                                new ServerStart(r.key().server(), r.key().startedAt()), s -> new ArrayList<>())
                        .add(r));
        Map<ServerStart, DecayedSums> sums = new TreeMap<>();
        byServer.forEach((server, serverRows) -> sums.put(server, sum(serverRows, now)));
        return sums;
    }

    private DecayedSums sum(List<AggregateRow> serverRows, long now) {
        double[] counts = new double[DispatchResult.values().length];
        double logSpeedSum = 0;
        double logSpeedSquareSum = 0;
        double speedSamples = 0;
        double weightedVariance = 0;
        double weights = 0;
        int reporters = 0;
        for (AggregateRow row : serverRows) {
            double weight = Math.exp(-(double) Math.max(0, now - windows.end(row.window())) / DECAY_MICROS);
            for (DispatchResult result : DispatchResult.values()) {
                counts[result.ordinal()] += weight * row.clipped().count(result);
            }
            logSpeedSum += weight * row.clipped().logSpeedSum();
            logSpeedSquareSum += weight * row.clipped().logSpeedSquareSum();
            speedSamples += weight * row.clipped().speedSamples();
            weightedVariance += weight * row.clipped().speedSamples() * row.varianceBetweenReporters();
            weights += weight * row.clipped().speedSamples();
            reporters = Math.max(reporters, row.reporters());
        }
        List<Double> list = new ArrayList<>();
        for (double count : counts) {
            list.add(count);
        }
        return new DecayedSums(
                List.copyOf(list),
                logSpeedSum,
                logSpeedSquareSum,
                speedSamples,
                weights == 0 ? 0 : weightedVariance / weights,
                reporters);
    }
}
