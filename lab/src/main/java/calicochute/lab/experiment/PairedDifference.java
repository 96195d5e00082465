package calicochute.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * The difference of a figure between two variants that were run with the same seeds: the mean of the paired differences
 * and its 95% confidence interval (paired Student's t). With fewer than two pairs the interval is infinite.
 *
 * @param pairs the number of seeds that both variants have the figure for
 * @param baseMean the mean of the figure in the first variant
 * @param low the lower bound of the interval
 * @param high the upper bound of the interval
 */
public record PairedDifference(String figure, int pairs, double mean, double baseMean, double low, double high) {
    private static final double CONFIDENCE_LEVEL = 0.95;

    /** Whether the confidence interval excludes zero. */
    public boolean excludesZero() {
        return low > 0 || high < 0;
    }

    /**
     * Returns the differences of the figures that both variants have. Each argument maps a seed to the figures of its
     * runs; several runs with the same seed are averaged first.
     */
    public static List<PairedDifference> of(
            Map<Long, List<Map<String, Double>>> base, Map<Long, List<Map<String, Double>>> other) {
        Set<Long> seeds = new TreeSet<>(base.keySet());
        seeds.retainAll(other.keySet());
        List<PairedDifference> differences = new ArrayList<>();
        if (seeds.isEmpty()) {
            return differences;
        }
        for (String figure : base.get(seeds.iterator().next()).get(0).keySet()) {
            SummaryStatistics pairedDifferences = new SummaryStatistics();
            SummaryStatistics baseValues = new SummaryStatistics();
            for (long seed : seeds) {
                double baseValue = mean(base.get(seed), figure);
                double otherValue = mean(other.get(seed), figure);
                if (!Double.isNaN(baseValue) && !Double.isNaN(otherValue)) {
                    pairedDifferences.addValue(otherValue - baseValue);
                    baseValues.addValue(baseValue);
                }
            }
            if (pairedDifferences.getN() > 0) {
                double halfWidth = halfWidth(pairedDifferences);
                differences.add(new PairedDifference(
                        figure,
                        (int) pairedDifferences.getN(),
                        pairedDifferences.getMean(),
                        baseValues.getMean(),
                        pairedDifferences.getMean() - halfWidth,
                        pairedDifferences.getMean() + halfWidth));
            }
        }
        return differences;
    }

    private static double mean(List<Map<String, Double>> runs, String figure) {
        return runs.stream()
                .mapToDouble(r -> r.getOrDefault(figure, Double.NaN))
                .average()
                .orElse(Double.NaN);
    }

    private static double halfWidth(SummaryStatistics statistics) {
        if (statistics.getN() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double quantile =
                new TDistribution(statistics.getN() - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE_LEVEL) / 2);
        return quantile * statistics.getStandardDeviation() / Math.sqrt(statistics.getN());
    }
}
