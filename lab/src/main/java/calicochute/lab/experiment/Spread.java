package calicochute.lab.experiment;

import calicochute.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How far a figure lies apart in several runs of the same incident. {@code share} is (highest - lowest) / median, 0
 * where the median is 0.
 */
public record Spread(String figure, int runs, double lowest, double median, double highest) {
    public double share() {
        return median == 0 ? 0 : (highest - lowest) / Math.abs(median);
    }

    /** The spread of every figure that all the runs have. */
    public static List<Spread> of(List<RunResult> runs) {
        Map<String, List<Double>> values = new LinkedHashMap<>();
        runs.forEach(r -> r.figures()
                .forEach((name, v) ->
                        values.computeIfAbsent(name, n -> new ArrayList<>()).add(v)));
        List<Spread> spreads = new ArrayList<>();
        values.forEach((name, list) -> {
            if (list.size() == runs.size()) {
                double[] sorted = list.stream().mapToDouble(v -> v).sorted().toArray();
                spreads.add(new Spread(name, sorted.length, sorted[0], median(sorted), sorted[sorted.length - 1]));
            }
        });
        return spreads;
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
