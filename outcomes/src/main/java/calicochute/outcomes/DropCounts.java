package calicochute.outcomes;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts of dropped input and of anomalies, by cause. */
public final class DropCounts {
    /** Why something was dropped or is anomalous. The constants' names are shown to operators. */
    public enum Cause {
        /** A message body with a wrong version or kind, truncated, too long, or with a window unlike its version's. */
        MALFORMED,
        /** Values that no balancer can have measured: speeds, counts or sums of squares out of range. */
        IMPOSSIBLE,
        /** A window further ahead or behind than clocks may differ. */
        CLOCK_OFF,
        /** A different tally for the same origin, window and key; the greater one was kept. */
        CLASH,
        /** More keys of one origin, or more reporters or unknown keys, than are held. */
        TOO_MANY,
        /** A window's tallies evicted for lack of room, or a report for an evicted window. */
        GIVEN_UP,
        /**
         * A reported key whose owner this balancer is not, by its own view of the fleet. It is added up, and published
         * only if nobody else publishes it.
         */
        NOT_OWNER,
        /** Two known keys with the same hash; the first is kept. */
        COLLISION,
        /** A dispatch that ended after its window was closed. */
        LATE,
        /** A window closed before its time because too many were open. */
        FORCED,
        /** A report not sent again because too many are waiting. */
        UNSENT,
        /** A speed measured by this balancer itself that is out of range; it counts as the end of the range. */
        OUT_OF_RANGE
    }

    private static final int MAX_ORIGINS = 1024;
    private final Map<Cause, Long> causes = new EnumMap<>(Cause.class);
    private final Map<String, Long> clockOff = new TreeMap<>();

    void add(Cause cause) {
        causes.merge(cause, 1L, Long::sum);
    }

    void addClockOff(String origin) {
        add(Cause.CLOCK_OFF);
        if (clockOff.size() < MAX_ORIGINS || clockOff.containsKey(origin)) {
            clockOff.merge(origin, 1L, Long::sum);
        }
    }

    public long of(Cause cause) {
        return causes.getOrDefault(cause, 0L);
    }

    public Map<Cause, Long> all() {
        return Map.copyOf(causes);
    }

    /** Message bodies ignored because the sender's clock is off, by the sender's id. */
    public Map<String, Long> clockOff() {
        return Map.copyOf(clockOff);
    }
}
