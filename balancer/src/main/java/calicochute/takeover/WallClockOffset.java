package calicochute.takeover;

import java.util.concurrent.TimeUnit;

/**
 * How far the wall clock, by which lists give the starts of servers, is ahead of the monotonic clock, which all
 * processes of a system share. Around a step of the wall clock the lowest recent offset counts: by it no server that
 * has just started is taken for an older one. Used by one thread.
 */
public final class WallClockOffset {
    /** A smaller change of the offset is no step. */
    private static final long MIN_STEP_MICROS = 100_000;
    /** How long the offset from before a step counts. */
    private static final long STEP_MEMORY_MICROS = 60_000_000;

    private boolean known;
    private long last;
    /** The lowest offset from before the steps that count. */
    private long lowestBefore;

    private long steppedAtMicros;

    /** The offset at this moment, in microseconds. */
    public static long now() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
                - TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Takes the current offset at the given monotonic time; returns the lowest recent one. */
    public long update(long offset, long nowMicros) {
        if (!known || nowMicros - steppedAtMicros >= STEP_MEMORY_MICROS) {
            lowestBefore = Long.MAX_VALUE;
        }
        if (known && Math.abs(offset - last) > MIN_STEP_MICROS) {
            lowestBefore = Math.min(lowestBefore, last);
            steppedAtMicros = nowMicros;
        }
        known = true;
        last = offset;
        return Math.min(lowestBefore, offset);
    }
}
