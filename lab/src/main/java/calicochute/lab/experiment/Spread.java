package calicochute.lab.experiment;

import calicochute.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The spread of a figure over several runs with the same scenario and seed. */
public record Spread(String figure, int runs, double lowest, double median, double highest) {
    /** Returns (highest - lowest) / median, or 0 if the median is 0. */
    public double relativeRange() {
        return median == 0 ? 0 : (highest - lowest) / Math.abs(median);
    }

    /** Returns the spread of every figure that all runs have. */
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
