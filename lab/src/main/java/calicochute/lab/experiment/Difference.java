package calicochute.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * How much a figure differs between two variants played on the same seeds: the mean of the paired differences and its
 * 95% confidence interval (Student's t on the pairs). With fewer than two pairs the interval is endless.
 */
public record Difference(String figure, int pairs, double mean, double baseMean, double low, double high) {
    private static final double CONFIDENCE = 0.95;

    /** Whether the interval leaves zero out. */
    public boolean clear() {
        return low > 0 || high < 0;
    }

    /**
     * The differences of the figures that both variants have. Each maps a seed to its runs' figures; where a seed was
     * played several times its runs are averaged first.
     */
    public static List<Difference> of(
            Map<Long, List<Map<String, Double>>> base, Map<Long, List<Map<String, Double>>> other) {
        Set<Long> seeds = new TreeSet<>(base.keySet());
        seeds.retainAll(other.keySet());
        List<Difference> differences = new ArrayList<>();
        if (seeds.isEmpty()) {
            return differences;
        }
        for (String figure : base.get(seeds.iterator().next()).get(0).keySet()) {
            SummaryStatistics paired = new SummaryStatistics();
            SummaryStatistics first = new SummaryStatistics();
            for (long seed : seeds) {
                double a = mean(base.get(seed), figure);
                double b = mean(other.get(seed), figure);
                if (!Double.isNaN(a) && !Double.isNaN(b)) {
                    paired.addValue(b - a);
                    first.addValue(a);
                }
            }
            if (paired.getN() > 0) {
                double half = half(paired);
                differences.add(new Difference(
                        figure,
                        (int) paired.getN(),
                        paired.getMean(),
                        first.getMean(),
                        paired.getMean() - half,
                        paired.getMean() + half));
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

    private static double half(SummaryStatistics of) {
        if (of.getN() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double t = new TDistribution(of.getN() - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
        return t * of.getStandardDeviation() / Math.sqrt(of.getN());
    }
}
