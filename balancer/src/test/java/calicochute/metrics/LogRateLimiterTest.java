package calicochute.metrics;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Limits per event and second; the count of suppressed lines; clocks set back; the bound on the number of events. */
public class LogRateLimiterTest {
    private static final long SECOND_MICROS = 1_000_000;
    /** A time 0.4 s after the start of a second. */
    private static final long NOW_MICROS = 1_700_000_000L * SECOND_MICROS + 400_000;

    private final LogRateLimiter limiter = new LogRateLimiter();

    /** How many of the given number of lines are written. */
    private long written(String event, int lines, long nowMicros) {
        long written = 0;
        for (int i = 0; i < lines; i++) {
            written += limiter.acquire(event, nowMicros) == LogRateLimiter.SUPPRESSED ? 0 : 1;
        }
        return written;
    }

    @Test
    public void writesTenLinesPerSecondAndEvent() {
        assertEquals(10, written("bad-input", 500, NOW_MICROS));
        assertEquals(0, written("bad-input", 1, NOW_MICROS + 599_999));
        assertEquals(10, written("list", 500, NOW_MICROS));
    }

    @Test
    public void limitStartsAgainWithTheNextSecond() {
        assertEquals(10, written("bad-input", 10, NOW_MICROS));
        assertEquals(10, written("bad-input", 500, NOW_MICROS + 600_000));
    }

    @Test
    public void nextWrittenLineReportsTheSuppressedCountOnce() {
        assertEquals(10, written("bad-input", 52, NOW_MICROS));
        assertEquals(42, limiter.acquire("bad-input", NOW_MICROS + 30 * SECOND_MICROS));
        assertEquals(0, limiter.acquire("bad-input", NOW_MICROS + 30 * SECOND_MICROS));
        assertEquals(0, limiter.acquire("list", NOW_MICROS + 30 * SECOND_MICROS));
    }

    @Test
    public void clockSetBackDoesNotSuppress() {
        assertEquals(10, written("bad-input", 11, NOW_MICROS));
        assertEquals(1, limiter.acquire("bad-input", NOW_MICROS - 3600 * SECOND_MICROS));
    }

    @Test
    public void secondsBeforeTheEpochAreCountedAlike() {
        assertEquals(10, written("bad-input", 10, -1));
        assertEquals(10, written("bad-input", 10, 0));
        assertEquals(10, written("list", 20, -SECOND_MICROS));
        assertEquals(0, written("list", 1, -1));
    }

    @Test
    public void eventsBeyondTheMaximumShareOneLimit() {
        for (int i = 0; i < LogRateLimiter.MAX_EVENTS; i++) {
            assertEquals(10, written("event-" + i, 11, NOW_MICROS));
        }
        assertEquals(10, written("one-more", 10, NOW_MICROS));
        assertEquals(0, written("another", 2, NOW_MICROS));
        assertEquals(2, limiter.acquire("third", NOW_MICROS + SECOND_MICROS));
        assertEquals(1, limiter.acquire("event-0", NOW_MICROS + SECOND_MICROS));
    }
}
