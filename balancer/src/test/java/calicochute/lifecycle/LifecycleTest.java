package calicochute.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lifecycle.Lifecycle.State;
import org.junit.jupiter.api.Test;

/** The transitions of {@link Lifecycle} and what clients see in each state. */
class LifecycleTest {
    /** {@code /ready} fails at once, but connections are not closed while the platform's front end still sends. */
    @Test
    void idleConnectionsAreClosedOnlyAfterQuiescing() {
        Lifecycle quiescing = Lifecycle.serving().quiesce(1_000_000);
        assertFalse(quiescing.ready());
        assertTrue(quiescing.closesAfterResponse());
        assertFalse(quiescing.closesIdleConnections(1_300_000));
        assertEquals(State.QUIESCED, quiescing.stateAt(1_600_000));
        assertTrue(quiescing.closesIdleConnections(1_600_000));
        assertTrue(quiescing.acceptsConnections(9_000_000));
        assertEquals(quiescing, quiescing.quiesce(5_000_000));
    }

    @Test
    void resumeUndoesQuiesceAtAnyTime() {
        assertEquals(Lifecycle.serving(), Lifecycle.serving().quiesce(5).resume());
        assertTrue(Lifecycle.serving().resume().ready());
    }

    /** A stop is neither undone by a late resume nor delayed by a quiesce or a second SIGTERM. */
    @Test
    void stopIsFinal() {
        Lifecycle stopping = Lifecycle.serving().quiesce(0).stop(100, false);
        assertEquals(stopping, stopping.resume());
        assertEquals(stopping, stopping.quiesce(200));
        assertEquals(stopping, stopping.stop(300, false));
        assertTrue(stopping.acceptsConnections(500_000));
        assertFalse(stopping.acceptsConnections(600_000));
        assertFalse(stopping.ready());
    }

    /** The platform kills the process after the longest deadline, 3 s at most, plus 0.7 s. */
    @Test
    void responseDeadlineIsBeforeTheKill() {
        Lifecycle stopping = Lifecycle.serving().stop(1_000_000, true);
        assertTrue(stopping.responseDeadline(() -> 8_000_000) > 3_000_000
                && stopping.responseDeadline(() -> 8_000_000) < 4_700_000);
        assertTrue(stopping.responseDeadline(() -> 500_000) > 1_500_000
                && stopping.responseDeadline(() -> 500_000) < 2_200_000);
        assertEquals(Long.MAX_VALUE, Lifecycle.serving().quiesce(0).responseDeadline(() -> 8_000_000));
    }

    /** While another process serves, it accepts nothing from the start, and {@code /ready} goes on answering 200. */
    @Test
    void newConnectionsAreLeftToTheOtherProcess() {
        Lifecycle stopping = Lifecycle.serving().stop(0, true);
        assertFalse(stopping.acceptsConnections(0));
        assertTrue(stopping.ready());
        assertTrue(stopping.closesAfterResponse());
        assertFalse(stopping.closesIdleConnections(500_000));
        assertTrue(stopping.closesIdleConnections(1_000_000));
    }
}
