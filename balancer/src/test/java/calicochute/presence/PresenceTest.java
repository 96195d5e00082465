package calicochute.presence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.presence.Presence.State;
import org.junit.jupiter.api.Test;

class PresenceTest {
    /** The no goes out at once; connections are not ended while the front still sends. */
    @Test
    void leavingComesBeforeAway() {
        Presence leaving = Presence.serving().quiesce(1_000_000);
        assertFalse(leaving.ready());
        assertTrue(leaving.lastAnswers());
        assertFalse(leaving.endsIdle(1_300_000));
        assertEquals(State.AWAY, leaving.at(1_600_000));
        assertTrue(leaving.endsIdle(1_600_000));
        assertTrue(leaving.accepts(9_000_000));
        assertEquals(leaving, leaving.quiesce(5_000_000));
    }

    @Test
    void resumeUndoesItAtAnyMoment() {
        assertEquals(Presence.serving(), Presence.serving().quiesce(5).resume());
        assertTrue(Presence.serving().resume().ready());
    }

    /** An end is not undone by a call that comes too late, nor put off by one that sends clients away. */
    @Test
    void anEndIsFinal() {
        Presence ending = Presence.serving().quiesce(0).end(100, false);
        assertEquals(ending, ending.resume());
        assertEquals(ending, ending.quiesce(200));
        assertEquals(ending, ending.end(300, false));
        assertTrue(ending.accepts(500_000));
        assertFalse(ending.accepts(600_000));
        assertFalse(ending.ready());
    }

    /** The platform waits for the longest deadline, 3 s at most, and 0.7 s more. */
    @Test
    void everythingIsAnsweredBeforeTheProcessIsEnded() {
        Presence ending = Presence.serving().end(1_000_000, true);
        assertTrue(ending.answersBy(() -> 8_000_000) > 3_000_000 && ending.answersBy(() -> 8_000_000) < 4_700_000);
        assertTrue(ending.answersBy(() -> 500_000) > 1_500_000 && ending.answersBy(() -> 500_000) < 2_200_000);
        assertEquals(Long.MAX_VALUE, Presence.serving().quiesce(0).answersBy(() -> 8_000_000));
    }

    /** Beside another process: it accepts nothing from the first moment, and the balancer as a whole stays ready. */
    @Test
    void accompaniedItLeavesTheDoorToTheOther() {
        Presence ending = Presence.serving().end(0, true);
        assertFalse(ending.accepts(0));
        assertTrue(ending.ready());
        assertTrue(ending.lastAnswers());
        assertFalse(ending.endsIdle(500_000));
        assertTrue(ending.endsIdle(1_000_000));
    }
}
