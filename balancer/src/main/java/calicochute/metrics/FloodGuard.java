package calicochute.metrics;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets at most ten lines a second of one event be written, and counts those left out until one is written again:
 * writing a line costs more than refusing the request that it tells of. Not safe for threads; time is passed in.
 */
final class FloodGuard {
    static final int LINES_A_SECOND = 10;
    /**
     * The program names some thirty events. Those beyond share one rate, so that memory stays bounded whatever is
     * named.
     */
    static final int EVENTS = 64;
    /** What {@link #take} gives for a line that is not to be written. */
    static final long LEAVE_OUT = -1;

    private static final long MICROS_A_SECOND = 1_000_000;
    private final Map<String, Rate> rates = new HashMap<>();
    private final Rate beyond = new Rate();

    private static final class Rate {
        long second = Long.MIN_VALUE;
        int lines;
        long leftOut;
    }

    /** How many lines of the event were left out since the last one written, or {@link #LEAVE_OUT}. */
    long take(String event, long nowMicros) {
        Rate rate = rate(event);
        long second = Math.floorDiv(nowMicros, MICROS_A_SECOND);
        // A clock set back begins a second too: an event must not stay silent until the old time comes again.
        if (rate.second != second) {
            rate.second = second;
            rate.lines = 0;
        }
        if (rate.lines == LINES_A_SECOND) {
            rate.leftOut++;
            return LEAVE_OUT;
        }
        rate.lines++;
        long leftOut = rate.leftOut;
        rate.leftOut = 0;
        return leftOut;
    }

    private Rate rate(String event) {
        Rate known = rates.get(event);
        if (known != null || rates.size() == EVENTS) {
            return known != null ? known : beyond;
        }
        Rate rate = new Rate();
        rates.put(event, rate);
        return rate;
    }
}
