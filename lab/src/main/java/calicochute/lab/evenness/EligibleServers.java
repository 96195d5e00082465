package calicochute.lab.evenness;

import java.util.BitSet;
import java.util.List;

/**
 * The servers of a tier that were eligible for dispatches: up, warm, and hit by no trouble.
 *
 * @param bySecond their indices, for each second from the start of the run
 */
public record EligibleServers(List<BitSet> bySecond) {
    private static final long SECOND_MICROS = 1_000_000;

    /** Returns those at a time; the first or last second stands for a time before the start or after the end. */
    public BitSet at(long micros) {
        int second = (int) Math.max(0, Math.min(bySecond.size() - 1L, Math.floorDiv(micros, SECOND_MICROS)));
        return bySecond.get(second);
    }

    /** Returns those that were eligible in every second from one time to another, in microseconds. */
    public BitSet throughout(long from, long to) {
        BitSet eligible = (BitSet) at(from).clone();
        for (long micros = from; micros < to; micros += SECOND_MICROS) {
            eligible.and(at(micros));
        }
        eligible.and(at(to - 1));
        return eligible;
    }
}
