package calicochute.outcomes;

import java.util.Arrays;

/**
 * Dispatches counted by how they ended, and the speeds seen. Immutable. The logs are multiples of 1/16384, so that
 * their sums are exact: added in any order they are the same to the last bit.
 *
 * @param ends how many ended in each way, by {@link End#ordinal()}
 * @param logSpeed the sum of the natural logs of the speeds (1: the time that was expected; 2: half of it)
 * @param logSpeedSquares the sum of their squares
 * @param speeds how many dispatches gave a speed
 */
public record Tally(long[] ends, double logSpeed, double logSpeedSquares, long speeds) implements Comparable<Tally> {
    /** Units of a log on the wire and in the sums. */
    static final double UNITS = 16_384;
    /** No balancer can measure a speed over 1000 or under a thousandth. */
    public static final double GREATEST_LOG = Math.log(1000);

    private static final int WAYS = End.values().length;

    public static final Tally NONE = new Tally(new long[WAYS], 0, 0, 0);

    public Tally {
        if (ends.length != WAYS) {
            throw new IllegalArgumentException("ends: " + ends.length);
        }
        ends = ends.clone();
        logSpeed = exact(logSpeed);
        logSpeedSquares = exact(logSpeedSquares);
    }

    static double exact(double log) {
        return Math.rint(log * UNITS) / UNITS;
    }

    /** One dispatch; a log speed of NaN: none was seen; one out of range counts as the end of the range. */
    public static Tally of(End end, double logSpeed) {
        long[] ends = new long[WAYS];
        ends[end.ordinal()] = 1;
        if (Double.isNaN(logSpeed)) {
            return new Tally(ends, 0, 0, 0);
        }
        double log = exact(Math.max(-GREATEST_LOG, Math.min(GREATEST_LOG, logSpeed)));
        return new Tally(ends, log, log * log, 1);
    }

    @Override
    public long[] ends() {
        return ends.clone();
    }

    public long of(End end) {
        return ends[end.ordinal()];
    }

    /** Dispatches in all. */
    public long total() {
        long total = 0;
        for (long many : ends) {
            total += many;
        }
        return total;
    }

    /** The mean of the log speeds; 0 where there are none. */
    public double meanLogSpeed() {
        return speeds == 0 ? 0 : logSpeed / speeds;
    }

    public Tally plus(Tally other) {
        long[] sum = ends.clone();
        for (int i = 0; i < WAYS; i++) {
            sum[i] += other.ends[i];
        }
        return new Tally(
                sum, logSpeed + other.logSpeed, logSpeedSquares + other.logSpeedSquares, speeds + other.speeds);
    }

    /**
     * The same shares of ends and the same mean speed with {@code most} dispatches, if there are more: whole numbers by
     * the largest remainders.
     */
    public Tally atMost(long most) {
        long total = total();
        if (total <= most) {
            return this;
        }
        double share = (double) most / total;
        long[] fewer = new long[WAYS];
        double[] rest = new double[WAYS];
        long left = most;
        for (int i = 0; i < WAYS; i++) {
            fewer[i] = Math.min(ends[i], (long) (ends[i] * share));
            rest[i] = ends[i] * share - fewer[i];
            left -= fewer[i];
        }
        for (; left > 0; left--) {
            int next = -1;
            for (int i = 0; i < WAYS; i++) {
                if (fewer[i] < ends[i] && (next < 0 || rest[i] > rest[next])) {
                    next = i;
                }
            }
            fewer[next]++;
            rest[next]--;
        }
        long seen = Math.min(most, Math.round(speeds * share));
        double of = speeds == 0 ? 0 : (double) seen / speeds;
        return new Tally(fewer, logSpeed * of, logSpeedSquares * of, seen);
    }

    /**
     * Whether a balancer (or {@code witnesses} of them) can have counted this, at most {@code most} dispatches each.
     */
    boolean possible(long most, int witnesses) {
        for (long many : ends) {
            if (many < 0 || many > most * witnesses) {
                return false;
            }
        }
        long total = total();
        if (total < 1 || total > most * witnesses || speeds < 0 || speeds > total) {
            return false;
        }
        // Each sum is off by half a unit for each sample or clipped witness at most; a mean of logs that far off moves
        // the square by as much times 2 logs.
        double slack = (speeds + witnesses) * 16 / UNITS;
        return Math.abs(logSpeed) <= speeds * GREATEST_LOG + slack
                && logSpeedSquares <= speeds * GREATEST_LOG * GREATEST_LOG + slack
                && logSpeedSquares >= 0
                && logSpeedSquares * speeds + slack * speeds >= logSpeed * logSpeed
                && (speeds > 0 || logSpeed == 0 && logSpeedSquares == 0);
    }

    /**
     * A fixed order of all tallies, more dispatches first of all: of two that cannot both be true the greater is kept.
     */
    @Override
    public int compareTo(Tally other) {
        int by = Long.compare(total(), other.total());
        by = by != 0 ? by : Arrays.compare(ends, other.ends);
        by = by != 0 ? by : Long.compare(speeds, other.speeds);
        by = by != 0 ? by : Double.compare(logSpeed, other.logSpeed);
        return by != 0 ? by : Double.compare(logSpeedSquares, other.logSpeedSquares);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Tally tally && compareTo(tally) == 0;
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(ends) * 31 + Double.hashCode(logSpeed);
    }

    @Override
    public String toString() {
        return Arrays.toString(ends) + " logs " + logSpeed + " squares " + logSpeedSquares + " of " + speeds;
    }
}
