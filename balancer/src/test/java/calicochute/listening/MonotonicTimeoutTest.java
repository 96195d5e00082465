package calicochute.listening;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MonotonicTimeoutTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long START_MS = 10 * HOUR_MS;

    private final MonotonicTimeout timeout = new MonotonicTimeout(START_MS, 0);

    private static long nanos(long ms) {
        return ms * 1_000_000;
    }

    @Test
    void stepsOfTheWallClockChangeNothing() {
        for (long step : new long[] {0, HOUR_MS, -HOUR_MS, 5000, -5000}) {
            assertFalse(timeout.expired(START_MS, START_MS + 999 + step, nanos(999), 1000));
        }
        timeout.rebase(START_MS - HOUR_MS);
        assertTrue(timeout.expired(START_MS - HOUR_MS, START_MS + 1000 - HOUR_MS, nanos(1000), 1000));
    }

    @Test
    void eventRestartsTheTimeout() {
        assertFalse(timeout.expired(START_MS + 980, START_MS + 1000, nanos(1000), 1000));
        assertFalse(timeout.expired(START_MS + 980, START_MS + 1970, nanos(1970), 1000));
        assertTrue(timeout.expired(START_MS + 980, START_MS + 1980, nanos(1980), 1000));
        assertEquals(1000, timeout.idleMs(START_MS + 980, START_MS + 1980, nanos(1980)));
    }

    /** An event just before a step: its age by the wall clock is not believed. */
    @Test
    void ageOfAnEventIsBounded() {
        assertFalse(timeout.expired(START_MS + 500, START_MS + HOUR_MS, nanos(510), 1000));
        assertFalse(timeout.expired(START_MS + 900, START_MS - HOUR_MS, nanos(1000), 100));
        assertTrue(timeout.expired(START_MS + 900, START_MS - HOUR_MS, nanos(1100), 100));
    }
}
