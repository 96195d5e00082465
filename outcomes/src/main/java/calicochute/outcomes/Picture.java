package calicochute.outcomes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What this balancer knows of the fleet's outcomes: the rows of the last windows of each known subject. A copy: later
 * rows do not change it.
 */
public final class Picture {
    /** Microseconds in which an outcome's weight falls to 1/e: as the decision module's estimates. */
    public static final long AGE = 3_000_000;

    private final Windows windows;
    private final List<Row> rows;

    Picture(Windows windows, List<Row> rows) {
        this.windows = windows;
        this.rows = List.copyOf(rows);
    }

    /** One start of a server. */
    public record Server(String id, long startedAt) implements Comparable<Server> {
        @Override
        public int compareTo(Server other) {
            int by = id.compareTo(other.id);
            return by != 0 ? by : Long.compare(startedAt, other.startedAt);
        }
    }

    /**
     * Sums over the rows of a server (all classes and arms) of the clipped tallies, each weighing exp(-age / 3 s).
     *
     * @param ends by {@link End#ordinal()}
     * @param between the mean of the rows' variances between witnesses, by their weight
     * @param witnesses the most of any of its rows
     */
    public record Aged(
            List<Double> ends, double logSpeed, double logSpeedSquares, double speeds, double between, int witnesses) {
        public double total() {
            return ends.stream().mapToDouble(Double::doubleValue).sum();
        }

        public double of(End end) {
            return ends.get(end.ordinal());
        }
    }

    /** All rows held of the last windows, those of a subject one after the other. */
    public Collection<Row> rows(long now) {
        return rows.stream()
                .filter(r -> windows.number(now) - r.window() <= Limits.USUAL.behind())
                .toList();
    }

    /** Of each subject the row of the newest window. */
    public Map<Subject, Row> newest(long now) {
        Map<Subject, Row> newest = new HashMap<>();
        rows(now).forEach(r -> newest.merge(r.subject(), r, (a, b) -> a.window() > b.window() ? a : b));
        return newest;
    }

    /** Sums for each server; {@code now}: a window's age counts from its end, 0 at least. */
    public Map<Server, Aged> aged(long now) {
        Map<Server, List<Row>> by = new TreeMap<>();
        rows(now)
                .forEach(r -> by.computeIfAbsent(
                                new Server(r.subject().server(), r.subject().startedAt()), s -> new ArrayList<>())
                        .add(r));
        Map<Server, Aged> aged = new TreeMap<>();
        by.forEach((server, of) -> aged.put(server, sum(of, now)));
        return aged;
    }

    private Aged sum(List<Row> of, long now) {
        double[] ends = new double[End.values().length];
        double logs = 0;
        double squares = 0;
        double speeds = 0;
        double between = 0;
        double weights = 0;
        int witnesses = 0;
        for (Row row : of) {
            double weight = Math.exp(-(double) Math.max(0, now - windows.end(row.window())) / AGE);
            for (End end : End.values()) {
                ends[end.ordinal()] += weight * row.clipped().of(end);
            }
            logs += weight * row.clipped().logSpeed();
            squares += weight * row.clipped().logSpeedSquares();
            speeds += weight * row.clipped().speeds();
            between += weight * row.clipped().speeds() * row.between();
            weights += weight * row.clipped().speeds();
            witnesses = Math.max(witnesses, row.witnesses());
        }
        List<Double> list = new ArrayList<>();
        for (double end : ends) {
            list.add(end);
        }
        return new Aged(List.copyOf(list), logs, squares, speeds, weights == 0 ? 0 : between / weights, witnesses);
    }
}
