package calicochute.outcomes;

import java.util.Collection;
import java.util.List;

/** Rows and pictures as an owner and a reader make them, without the datagrams between. */
public final class Pictures {
    private Pictures() {}

    public static Row row(Subject subject, long window, Collection<Tally> tallies) {
        Summed s = Summed.of(subject.hash(), tallies, Limits.USUAL.cap());
        return new Row(
                subject, window, new Origin("owner", 1), s.witnesses(), s.sum(), s.clipped(), s.middle(), s.between());
    }

    public static Picture of(List<Row> rows) {
        return new Picture(Windows.USUAL, rows);
    }
}
