package calicochute.lab.evenness;

import java.util.BitSet;
import java.util.List;

/** Which servers had room in each second from the start: {@code seconds.get(s)} holds their numbers. */
public record Room(List<BitSet> seconds) {
    private static final long SECOND = 1_000_000;

    /** Those at a time; before the start and behind the end the nearest second counts. */
    public BitSet at(long micros) {
        int second = (int) Math.max(0, Math.min(seconds.size() - 1L, Math.floorDiv(micros, SECOND)));
        return seconds.get(second);
    }

    /** Those that had room all the time. */
    public BitSet all(long from, long to) {
        BitSet all = (BitSet) at(from).clone();
        for (long at = from; at < to; at += SECOND) {
            all.and(at(at));
        }
        all.and(at(to - 1));
        return all;
    }
}
