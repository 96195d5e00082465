package calicochute.metrics;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** What the guard lets through, second by second. */
public class FloodGuardTest {
    private static final long SECOND = 1_000_000;
    /** A time within a second of the clock, not at its start. */
    private static final long NOW = 1_700_000_000L * SECOND + 400_000;

    private final FloodGuard guard = new FloodGuard();

    private long written(String event, int lines, long nowMicros) {
        long written = 0;
        for (int i = 0; i < lines; i++) {
            written += guard.take(event, nowMicros) == FloodGuard.LEAVE_OUT ? 0 : 1;
        }
        return written;
    }

    @Test
    public void tenLinesASecondOfOneEventAreWritten() {
        assertEquals(10, written("bad-input", 500, NOW));
        assertEquals(0, written("bad-input", 1, NOW + 599_999));
        assertEquals(10, written("list", 500, NOW));
    }

    @Test
    public void theClocksNextSecondBeginsAnew() {
        assertEquals(10, written("bad-input", 10, NOW));
        assertEquals(10, written("bad-input", 500, NOW + 600_000));
    }

    @Test
    public void theNextLineTellsHowManyWereLeftOutAndOnlyThat() {
        assertEquals(10, written("bad-input", 52, NOW));
        assertEquals(42, guard.take("bad-input", NOW + 30 * SECOND));
        assertEquals(0, guard.take("bad-input", NOW + 30 * SECOND));
        assertEquals(0, guard.take("list", NOW + 30 * SECOND));
    }

    @Test
    public void aClockSetBackDoesNotSilence() {
        assertEquals(10, written("bad-input", 11, NOW));
        assertEquals(1, guard.take("bad-input", NOW - 3600 * SECOND));
    }

    @Test
    public void aSecondBeforeTheEpochIsOneSecond() {
        assertEquals(10, written("bad-input", 10, -1));
        assertEquals(10, written("bad-input", 10, 0));
        assertEquals(10, written("list", 20, -SECOND));
        assertEquals(0, written("list", 1, -1));
    }

    @Test
    public void eventsBeyondTheBoundShareOneRate() {
        for (int i = 0; i < FloodGuard.EVENTS; i++) {
            assertEquals(10, written("event-" + i, 11, NOW));
        }
        assertEquals(10, written("one-more", 10, NOW));
        assertEquals(0, written("another", 2, NOW));
        assertEquals(2, guard.take("third", NOW + SECOND));
        assertEquals(1, guard.take("event-0", NOW + SECOND));
    }
}
