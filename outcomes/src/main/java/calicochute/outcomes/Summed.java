package calicochute.outcomes;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * A row without its names: what an owner publishes of one subject and window. Computed from the set of witnesses'
 * tallies alone, so that any order of hearing them gives the same. See {@link Row}.
 */
record Summed(long hash, int witnesses, Tally sum, Tally clipped, double middle, double between)
        implements Comparable<Summed> {
    static Summed of(long hash, Collection<Tally> tallies, int cap) {
        long[] totals = tallies.stream().mapToLong(Tally::total).sorted().toArray();
        long most = Math.max(1, cap * totals[(totals.length - 1) / 2]);
        Tally sum = Tally.NONE;
        Tally clipped = Tally.NONE;
        for (Tally tally : tallies) {
            sum = sum.plus(tally);
            clipped = clipped.plus(tally.atMost(most));
        }
        double[] means = tallies.stream()
                .filter(t -> t.speeds() > 0)
                .mapToDouble(Tally::meanLogSpeed)
                .sorted()
                .toArray();
        double mean = Arrays.stream(means).average().orElse(0);
        double squares = Arrays.stream(means).map(m -> (m - mean) * (m - mean)).sum();
        return new Summed(
                hash,
                totals.length,
                sum,
                clipped,
                Tally.exact(means.length == 0 ? 0 : means[(means.length - 1) / 2]),
                Tally.exact(means.length < 2 ? 0 : squares / (means.length - 1)));
    }

    boolean possible(Limits limits) {
        if (witnesses < 1
                || witnesses > limits.witnesses()
                || !sum.possible(limits.counts(), witnesses)
                || !clipped.possible(limits.counts(), witnesses)
                || sum.total() < witnesses
                || clipped.speeds() > sum.speeds()) {
            return false;
        }
        for (End end : List.of(End.values())) {
            if (clipped.of(end) > sum.of(end)) {
                return false;
            }
        }
        return Math.abs(middle) <= Tally.GREATEST_LOG + 1
                && between >= 0
                && between <= 2 * (Tally.GREATEST_LOG + 1) * (Tally.GREATEST_LOG + 1);
    }

    /** The one of most witnesses is the greatest. */
    @Override
    public int compareTo(Summed other) {
        int by = Integer.compare(witnesses, other.witnesses);
        by = by != 0 ? by : sum.compareTo(other.sum);
        by = by != 0 ? by : clipped.compareTo(other.clipped);
        by = by != 0 ? by : Double.compare(middle, other.middle);
        return by != 0 ? by : Double.compare(between, other.between);
    }
}
