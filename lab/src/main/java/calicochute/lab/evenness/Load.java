package calicochute.lab.evenness;

import java.util.BitSet;

/**
 * How evenly dispatches are distributed over servers, compared with an expected number for each server. Expected
 * numbers are scaled to the same sum as the actual ones, so a ratio of 1 is the mean.
 *
 * @param most the highest ratio of actual to expected dispatches of a server
 * @param least the lowest such ratio
 * @param spread the root mean square of the differences, over the mean number of dispatches of a server
 */
public record Load(double most, double least, double spread) {
    /** The load if there were no dispatches or no servers. */
    public static final Load NONE = new Load(1, 1, 0);

    /**
     * Compares the dispatches of the given servers.
     *
     * @param actual dispatches of each server
     * @param expected the expected share of each server, in any unit
     * @param servers the indices of the servers to compare
     */
    public static Load of(int[] actual, double[] expected, BitSet servers) {
        double actualSum = servers.stream().map(s -> actual[s]).sum();
        double expectedSum = servers.stream().mapToDouble(s -> expected[s]).sum();
        if (actualSum <= 0 || expectedSum <= 0) {
            return NONE;
        }
        double scale = actualSum / expectedSum;
        double mean = actualSum / servers.cardinality();
        double most = 0;
        double least = Double.MAX_VALUE;
        double squares = 0;
        for (int s = servers.nextSetBit(0); s >= 0; s = servers.nextSetBit(s + 1)) {
            double scaled = expected[s] * scale;
            // A server of a group without any dispatch has an expectation of 0 and no dispatches: its ratio is 1.
            double ratio = scaled > 0 ? actual[s] / scaled : actual[s] > 0 ? Double.MAX_VALUE : 1;
            most = Math.max(most, ratio);
            least = Math.min(least, ratio);
            squares += (actual[s] - scaled) * (actual[s] - scaled);
        }
        return new Load(most, least, Math.sqrt(squares / servers.cardinality()) / mean);
    }

    /** Returns the mean of each component over several loads. */
    static Load mean(java.util.List<Load> loads) {
        return new Load(
                loads.stream().mapToDouble(Load::most).average().orElse(1),
                loads.stream().mapToDouble(Load::least).average().orElse(1),
                loads.stream().mapToDouble(Load::spread).average().orElse(0));
    }
}
