package calicochute.lab.evenness;

import java.util.BitSet;

/**
 * How evenly dispatches lie on servers, against what was expected of each: the most and the least of seen over expected
 * (both add up alike, so 1 is the mean), and {@code spread}, the root mean square of their difference over the mean
 * number for a server.
 */
public record Load(double most, double least, double spread) {
    /** Nothing was sent, or there was nobody to send to. */
    public static final Load NONE = new Load(1, 1, 0);

    /** @param expected of each server, in any unit */
    public static Load of(int[] seen, double[] expected, BitSet servers) {
        double seenSum = servers.stream().map(s -> seen[s]).sum();
        double expectedSum = servers.stream().mapToDouble(s -> expected[s]).sum();
        if (seenSum <= 0 || expectedSum <= 0) {
            return NONE;
        }
        double unit = seenSum / expectedSum;
        double mean = seenSum / servers.cardinality();
        double most = 0;
        double least = Double.MAX_VALUE;
        double squares = 0;
        for (int s = servers.nextSetBit(0); s >= 0; s = servers.nextSetBit(s + 1)) {
            double due = expected[s] * unit;
            // Where nothing was expected (a group that nobody sent to) nothing came either.
            double load = due > 0 ? seen[s] / due : seen[s] > 0 ? Double.MAX_VALUE : 1;
            most = Math.max(most, load);
            least = Math.min(least, load);
            squares += (seen[s] - due) * (seen[s] - due);
        }
        return new Load(most, least, Math.sqrt(squares / servers.cardinality()) / mean);
    }

    /** The mean of several, each figure for itself. */
    static Load mean(java.util.List<Load> loads) {
        return new Load(
                loads.stream().mapToDouble(Load::most).average().orElse(1),
                loads.stream().mapToDouble(Load::least).average().orElse(1),
                loads.stream().mapToDouble(Load::spread).average().orElse(0));
    }
}
