package calicochute.outcomes;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** What was dropped or odd, by cause. */
public final class Counts {
    /** Causes. */
    public enum Cause {
        /** A body that is none: wrong version or kind, cut off, too long, a window that is not its version's. */
        MALFORMED,
        /** What no balancer can have measured: speeds, counts or squares out of range. */
        IMPOSSIBLE,
        /** A window further ahead or behind than clocks may be. */
        CLOCK_OFF,
        /** Another whole for the same origin, window and subject: the greater was kept. */
        CLASH,
        /** More subjects of one origin, or more witnesses or unknown subjects, than are held. */
        TOO_MANY,
        /** A window's tallies given up for want of room, or a report for one that was. */
        GIVEN_UP,
        /**
         * An entry whose owner this balancer is not, as it sees the fleet: added up, published only if nobody else
         * does.
         */
        NOT_OWNER,
        /** Two known subjects with one hash: the first is kept. */
        COLLISION,
        /** Ended after its window was closed. */
        LATE,
        /** A window closed by force: too many were open. */
        FORCED,
        /** A second sending left out: too many are waiting. */
        UNSENT,
        /** A speed of this balancer's own out of range: counted as the end of the range. */
        OUT_OF_RANGE
    }

    private static final int ORIGINS = 1024;
    private final Map<Cause, Long> causes = new EnumMap<>(Cause.class);
    private final Map<String, Long> clockOff = new TreeMap<>();

    void add(Cause cause) {
        causes.merge(cause, 1L, Long::sum);
    }

    void clockOff(String origin) {
        add(Cause.CLOCK_OFF);
        if (clockOff.size() < ORIGINS || clockOff.containsKey(origin)) {
            clockOff.merge(origin, 1L, Long::sum);
        }
    }

    public long of(Cause cause) {
        return causes.getOrDefault(cause, 0L);
    }

    public Map<Cause, Long> all() {
        return Map.copyOf(causes);
    }

    /** Bodies not heard since their sender's clock is off, by its name. */
    public Map<String, Long> clockOff() {
        return Map.copyOf(clockOff);
    }
}
