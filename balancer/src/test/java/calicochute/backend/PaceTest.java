package calicochute.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PaceTest {
    private static final long LOOK = 500_000;

    /** How many looks an answer lasts that brings so many bytes between two of them; at most 10,000. */
    private static int looks(long bytes, boolean awaited) {
        Pace pace = new Pace(0, 16_384);
        int looks = 1;
        while (looks < 10_000 && pace.holds(looks * LOOK, 16_384 + looks * bytes, awaited)) {
            looks++;
        }
        return looks;
    }

    @Test
    void standingStillOrDrippingEnds() {
        assertEquals(10, looks(0, true));
        assertEquals(11, looks(1, true), "a byte at a time is no progress");
        assertEquals(10_000, looks(500, true), "slow but steady");
    }

    @Test
    void aClientThatDoesNotReadIsNotTheServersFault() {
        assertEquals(10_000, looks(0, false));
    }

    /** A pause is forgiven once it has been made up for, and none is saved up for. */
    @Test
    void pausesAreBounded() {
        Pace pace = new Pace(0, 0);
        assertEquals(true, pace.holds(4_900_000, 0, true));
        assertEquals(true, pace.holds(5_000_000, 1_000_000, true));
        assertEquals(true, pace.holds(9_900_000, 1_000_000, true));
        assertEquals(false, pace.holds(10_000_000, 1_000_000, true));
    }
}
