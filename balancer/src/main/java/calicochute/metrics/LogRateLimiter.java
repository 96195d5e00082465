package calicochute.metrics;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the log lines of each event to {@link #MAX_LINES_PER_SECOND} and counts the suppressed ones until a line is
 * written again. Without a limit, a flood of bad requests would cost more in log lines than in refused requests. Not
 * thread-safe; the time is an argument.
 */
final class LogRateLimiter {
    static final int MAX_LINES_PER_SECOND = 10;
    /**
     * Events with a limit of their own, about twice as many as the program logs. Further events share one limit, so
     * that memory stays bounded whatever names are logged.
     */
    static final int MAX_EVENTS = 64;
    /** The result of {@link #acquire} for a line that must not be written. */
    static final long SUPPRESSED = -1;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private final Map<String, EventRate> rates = new HashMap<>();
    private final EventRate sharedRate = new EventRate();

    private static final class EventRate {
        long second = Long.MIN_VALUE;
        int lines;
        long suppressed;
    }

    /** The number of the event's lines suppressed since the last one written, or {@link #SUPPRESSED}. */
    long acquire(String event, long nowMicros) {
        EventRate rate = rate(event);
        long second = Math.floorDiv(nowMicros, MICROS_PER_SECOND);
        // An earlier second counts as a new one too: if the clock is set back, the event must not stay suppressed until
        // the old time is reached again.
        if (rate.second != second) {
            rate.second = second;
            rate.lines = 0;
        }
        if (rate.lines == MAX_LINES_PER_SECOND) {
            rate.suppressed++;
            return SUPPRESSED;
        }
        rate.lines++;
        long suppressed = rate.suppressed;
        rate.suppressed = 0;
        return suppressed;
    }

    private EventRate rate(String event) {
        EventRate known = rates.get(event);
        if (known != null || rates.size() == MAX_EVENTS) {
            return known != null ? known : sharedRate;
        }
        EventRate rate = new EventRate();
        rates.put(event, rate);
        return rate;
    }
}
