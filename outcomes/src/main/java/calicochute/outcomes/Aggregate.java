package calicochute.outcomes;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * What an owner publishes for one key and window: an {@link AggregateRow} without its key, window and owner. It depends
 * only on the set of the reporters' tallies, so that any order of receiving them gives the same aggregate.
 */
record Aggregate(
        long hash, int reporters, Tally sum, Tally clipped, double medianLogSpeed, double varianceBetweenReporters)
        implements Comparable<Aggregate> {
    static Aggregate of(long hash, Collection<Tally> tallies, int medianMultiple) {
        long[] totals = tallies.stream().mapToLong(Tally::total).sorted().toArray();
        long most = Math.max(1, medianMultiple * totals[(totals.length - 1) / 2]);
        Tally sum = Tally.EMPTY;
        Tally clipped = Tally.EMPTY;
        for (Tally tally : tallies) {
            sum = sum.plus(tally);
            clipped = clipped.plus(tally.clippedTo(most));
        }
        double[] means = tallies.stream()
                .filter(t -> t.speedSamples() > 0)
                .mapToDouble(Tally::meanLogSpeed)
                .sorted()
                .toArray();
        double mean = Arrays.stream(means).average().orElse(0);
        double squares = Arrays.stream(means).map(m -> (m - mean) * (m - mean)).sum();
        return new Aggregate(
                hash,
                totals.length,
                sum,
                clipped,
                Tally.quantize(means.length == 0 ? 0 : means[(means.length - 1) / 2]),
                Tally.quantize(means.length < 2 ? 0 : squares / (means.length - 1)));
    }

    /** Whether reporters within the limits can have measured this. */
    boolean isPlausible(Limits limits) {
        if (reporters < 1
                || reporters > limits.maxReporters()
                || !sum.isPlausible(limits.maxDispatches(), reporters)
                || !clipped.isPlausible(limits.maxDispatches(), reporters)
                || sum.total() < reporters
                || clipped.speedSamples() > sum.speedSamples()) {
            return false;
        }
        for (DispatchResult result : List.of(DispatchResult.values())) {
            if (clipped.count(result) > sum.count(result)) {
                return false;
            }
        }
        return Math.abs(medianLogSpeed) <= Tally.MAX_LOG_SPEED + 1
                && varianceBetweenReporters >= 0
                && varianceBetweenReporters <= 2 * (Tally.MAX_LOG_SPEED + 1) * (Tally.MAX_LOG_SPEED + 1);
    }

    /** A fixed total order in which the aggregate of the most reporters is the greatest. */
    @Override
    public int compareTo(Aggregate other) {
        int order = Integer.compare(reporters, other.reporters);
        order = order != 0 ? order : sum.compareTo(other.sum);
        order = order != 0 ? order : clipped.compareTo(other.clipped);
        order = order != 0 ? order : Double.compare(medianLogSpeed, other.medianLogSpeed);
        return order != 0 ? order : Double.compare(varianceBetweenReporters, other.varianceBetweenReporters);
    }
}
