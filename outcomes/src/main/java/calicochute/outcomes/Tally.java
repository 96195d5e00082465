package calicochute.outcomes;

import java.util.Arrays;

/**
 * Dispatches counted by result, and sums of the speeds measured. Immutable. The logs are multiples of 1/16384, so that
 * their sums are exact and the same to the last bit in any order of addition.
 *
 * @param counts dispatches by {@link DispatchResult#ordinal()}
 * @param logSpeedSum the sum of the natural logs of the speeds (speed 1: the expected time; 2: half of it)
 * @param logSpeedSquareSum the sum of the squares of these logs
 * @param speedSamples how many dispatches gave a speed
 */
public record Tally(long[] counts, double logSpeedSum, double logSpeedSquareSum, long speedSamples)
        implements Comparable<Tally> {
    /** Units of one log on the wire and in the sums. */
    static final double UNITS_PER_LOG = 16_384;
    /** Natural log of the greatest speed that counts: speeds are limited to the range from 1/1000 to 1000. */
    public static final double MAX_LOG_SPEED = Math.log(1000);

    private static final int RESULTS = DispatchResult.values().length;

    public static final Tally EMPTY = new Tally(new long[RESULTS], 0, 0, 0);

    public Tally {
        if (counts.length != RESULTS) {
            throw new IllegalArgumentException("wrong number of counts: " + counts.length);
        }
        counts = counts.clone();
        logSpeedSum = quantize(logSpeedSum);
        logSpeedSquareSum = quantize(logSpeedSquareSum);
    }

    /** Rounds a log to the nearest multiple of 1/16384. */
    static double quantize(double log) {
        return Math.rint(log * UNITS_PER_LOG) / UNITS_PER_LOG;
    }

    /** One dispatch. A log speed of NaN means that none was measured; one out of range counts as the end of it. */
    public static Tally of(DispatchResult result, double logSpeed) {
        long[] counts = new long[RESULTS];
        counts[result.ordinal()] = 1;
        if (Double.isNaN(logSpeed)) {
            return new Tally(counts, 0, 0, 0);
        }
        double log = quantize(Math.max(-MAX_LOG_SPEED, Math.min(MAX_LOG_SPEED, logSpeed)));
        return new Tally(counts, log, log * log, 1);
    }

    @Override
    public long[] counts() {
        return counts.clone();
    }

    /** The number of dispatches with this result. */
    public long count(DispatchResult result) {
        return counts[result.ordinal()];
    }

    /** The number of dispatches with any result. */
    public long total() {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }

    /** The mean of the log speeds; 0 where there are none. */
    public double meanLogSpeed() {
        return speedSamples == 0 ? 0 : logSpeedSum / speedSamples;
    }

    /** The sum of two tallies. */
    public Tally plus(Tally other) {
        long[] sum = counts.clone();
        for (int i = 0; i < RESULTS; i++) {
            sum[i] += other.counts[i];
        }
        return new Tally(
                sum,
                logSpeedSum + other.logSpeedSum,
                logSpeedSquareSum + other.logSpeedSquareSum,
                speedSamples + other.speedSamples);
    }

    /**
     * This tally scaled down to at most {@code most} dispatches, with the same shares of results and the same mean
     * speed. The counts stay whole numbers, by the largest remainder method.
     */
    public Tally clippedTo(long most) {
        long total = total();
        if (total <= most) {
            return this;
        }
        double share = (double) most / total;
        long[] scaled = new long[RESULTS];
        double[] remainders = new double[RESULTS];
        long left = most;
        for (int i = 0; i < RESULTS; i++) {
            scaled[i] = Math.min(counts[i], (long) (counts[i] * share));
            remainders[i] = counts[i] * share - scaled[i];
            left -= scaled[i];
        }
        for (; left > 0; left--) {
            int next = -1;
            for (int i = 0; i < RESULTS; i++) {
                if (scaled[i] < counts[i] && (next < 0 || remainders[i] > remainders[next])) {
                    next = i;
                }
            }
            scaled[next]++;
            remainders[next]--;
        }
        long samples = Math.min(most, Math.round(speedSamples * share));
        double factor = speedSamples == 0 ? 0 : (double) samples / speedSamples;
        return new Tally(scaled, logSpeedSum * factor, logSpeedSquareSum * factor, samples);
    }

    /**
     * Whether a balancer (or {@code reporters} of them) can have counted this, with at most {@code most} dispatches
     * each.
     */
    boolean isPlausible(long most, int reporters) {
        for (long count : counts) {
            if (count < 0 || count > most * reporters) {
                return false;
            }
        }
        long total = total();
        if (total < 1 || total > most * reporters || speedSamples < 0 || speedSamples > total) {
            return false;
        }
        // Each sum is off by at most half a unit for each sample or clipped reporter. An error of that size in the mean
        // log changes the square by that error times twice the log.
        double slack = (speedSamples + reporters) * 16 / UNITS_PER_LOG;
        return Math.abs(logSpeedSum) <= speedSamples * MAX_LOG_SPEED + slack
                && logSpeedSquareSum <= speedSamples * MAX_LOG_SPEED * MAX_LOG_SPEED + slack
                && logSpeedSquareSum >= 0
                && logSpeedSquareSum * speedSamples + slack * speedSamples >= logSpeedSum * logSpeedSum
                && (speedSamples > 0 || logSpeedSum == 0 && logSpeedSquareSum == 0);
    }

    /**
     * A fixed total order of all tallies, by the number of dispatches first. Of two tallies that contradict each other
     * the greater is kept.
     */
    @Override
    public int compareTo(Tally other) {
        int order = Long.compare(total(), other.total());
        order = order != 0 ? order : Arrays.compare(counts, other.counts);
        order = order != 0 ? order : Long.compare(speedSamples, other.speedSamples);
        order = order != 0 ? order : Double.compare(logSpeedSum, other.logSpeedSum);
        return order != 0 ? order : Double.compare(logSpeedSquareSum, other.logSpeedSquareSum);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Tally tally && compareTo(tally) == 0;
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts) * 31 + Double.hashCode(logSpeedSum);
    }

    @Override
    public String toString() {
        return Arrays.toString(counts) + " log speeds " + logSpeedSum + " squares " + logSpeedSquareSum + " samples "
                + speedSamples;
    }
}
