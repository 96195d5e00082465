package calicochute.outcomes;

import java.util.Collection;
import java.util.List;

/** Creates rows as an owner does and snapshots as a reader does, without the messages between them. */
public final class Snapshots {
    private Snapshots() {}

    public static AggregateRow row(OutcomeKey key, long window, Collection<Tally> tallies) {
        Aggregate aggregate = Aggregate.of(key.hash(), tallies, Limits.DEFAULT.medianMultiple());
        return new AggregateRow(
                key,
                window,
                new Origin("owner", 1),
                aggregate.reporters(),
                aggregate.sum(),
                aggregate.clipped(),
                aggregate.medianLogSpeed(),
                aggregate.varianceBetweenReporters());
    }

    public static OutcomeSnapshot of(List<AggregateRow> rows) {
        return new OutcomeSnapshot(Windows.DEFAULT, rows);
    }
}
