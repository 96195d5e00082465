package calicochute.experiment;

/**
 * Sums over the sessions of one arm and lane, by the arm they were assigned to (intention to treat). Values are
 * fixed-point integers, so that the sums do not depend on the order of addition.
 *
 * @param count number of sessions
 * @param sum sum of the measure, in units of 1 / {@link #SCALE}
 * @param sumOfSquares sum of the squared measure, in units of 1 / SCALE squared
 * @param failures number of failures, in units of 1 / SCALE; a tenant can fail in part
 * @param crossovers number of sessions that a server outside the assigned arm served, or that were denied, because the
 *     arm had no capacity or no server
 * @param retries number of retries of units counted before; not included in {@code count}
 */
public record Sums(long count, long sum, long sumOfSquares, long failures, long crossovers, long retries) {
    /** Fixed-point units per 1.0. */
    public static final long SCALE = 1024;

    /** The sums of no sessions. */
    static final Sums ZERO = new Sums(0, 0, 0, 0, 0, 0);
    /** Exclusive bound on counts. */
    private static final long MAX_COUNT = 1L << 32;

    /** Returns the sum of both, component by component. */
    public Sums plus(Sums other) {
        return new Sums(
                count + other.count,
                sum + other.sum,
                sumOfSquares + other.sumOfSquares,
                failures + other.failures,
                crossovers + other.crossovers,
                retries + other.retries);
    }

    /**
     * Whether values in [0, 1] can give these sums: the sum is at most the count, the sum of squares is at most the
     * sum, and the squared sum is at most the count times the sum of squares.
     */
    boolean isConsistent() {
        return count >= 0
                && count < MAX_COUNT
                && sum >= 0
                && sum <= count * SCALE
                && sumOfSquares >= 0
                && sumOfSquares <= sum * SCALE
                && (double) sum * sum <= (double) count * sumOfSquares * (1 + 1e-9)
                && failures >= 0
                && failures <= count * SCALE
                && crossovers >= 0
                && crossovers <= count
                && retries >= 0
                && retries < MAX_COUNT;
    }
}
