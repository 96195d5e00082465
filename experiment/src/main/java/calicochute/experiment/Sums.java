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
public record Sums(long n, long sum, long squares, long failures, long crossed, long repeats) {
    public static final long PARTS = 1024;
    static final Sums NONE = new Sums(0, 0, 0, 0, 0, 0);
    private static final long MOST = 1L << 32;

    public Sums plus(Sums o) {
        return new Sums(
                n + o.n,
                sum + o.sum,
                squares + o.squares,
                failures + o.failures,
                crossed + o.crossed,
                repeats + o.repeats);
    }

    /**
     * What n values in [0, 1] can give: the sum at most n, the squares at most the sum, and at least its square over n.
     */
    boolean possible() {
        return n >= 0
                && n < MOST
                && sum >= 0
                && sum <= n * PARTS
                && squares >= 0
                && squares <= sum * PARTS
                && (double) sum * sum <= (double) n * squares * (1 + 1e-9)
                && failures >= 0
                && failures <= n * PARTS
                && crossed >= 0
                && crossed <= n
                && repeats >= 0
                && repeats < MOST;
    }
}
