package calicochute.experiment;

/**
 * Of the sessions of one arm and lane, by the arm they were assigned (intention to treat). Whole numbers, so that sums
 * are the same in any order.
 *
 * @param n sessions counted
 * @param sum of the measure, in {@link #PARTS ths}
 * @param squares of the measure's squares, in ths of ths
 * @param failures in ths (a tenant's can be a part)
 * @param crossed for which the arm had no room or no server: served by another one, or denied
 * @param repeats retries of a unit counted before: not in n
 */
public record Sums(long count, long sum, long sumOfSquares, long failures, long crossovers, long retries) {
    public static final long SCALE = 1024;
    static final Sums ZERO = new Sums(0, 0, 0, 0, 0, 0);
    private static final long MAX_COUNT = 1L << 32;

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
     * What n values in [0, 1] can give: the sum at most n, the squares at most the sum, and at least its square over n.
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
