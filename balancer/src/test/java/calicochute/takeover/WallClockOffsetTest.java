package calicochute.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against servers that count as older than they are around steps of the wall clock. */
class WallClockOffsetTest {
    private static final long HOUR = 3_600_000_000L;
    private static final long SECOND = 1_000_000;

    private final WallClockOffset offset = new WallClockOffset();

    @Test
    void theLowestOffsetCountsForAMinuteAfterAStep() {
        assertEquals(5, offset.update(5, 0));
        assertEquals(7, offset.update(7, SECOND));
        assertEquals(7, offset.update(7 + HOUR, 2 * SECOND));
        assertEquals(7, offset.update(9 + HOUR, 30 * SECOND));
        assertEquals(9 + HOUR, offset.update(9 + HOUR, 63 * SECOND));
        assertEquals(8, offset.update(8, 64 * SECOND));
        assertEquals(8, offset.update(8 + HOUR, 65 * SECOND));
        assertEquals(8 - HOUR, offset.update(8 - HOUR, 66 * SECOND));
        assertEquals(8 - HOUR, offset.update(8, 67 * SECOND));
    }
}
