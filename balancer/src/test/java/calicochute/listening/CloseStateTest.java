package calicochute.listening;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.listening.CloseState.Step;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tries all sequences of events while a connection closes. */
class CloseStateTest {
    private enum Event {
        STOP_READING_REQUESTS,
        INPUT,
        FLOOD,
        PEER_CLOSES,
        CLOSE_GRACEFULLY,
        LINGER_TIMEOUT
    }

    private static final int SEQUENCE_LENGTH = 6;
    private long nowMs;

    private Step apply(CloseState closeState, Event event, boolean responseOwed) {
        return switch (event) {
            case STOP_READING_REQUESTS -> {
                closeState.stopReadingRequests();
                yield null;
            }
            // Input is discarded only once requests are not read any more.
            case INPUT -> closeState.acceptsRequests() ? null : closeState.inputDiscarded(100, responseOwed, nowMs);
            case FLOOD ->
                closeState.acceptsRequests()
                        ? null
                        : closeState.inputDiscarded(CloseState.MAX_DISCARDED_BYTES + 1, responseOwed, nowMs);
            case PEER_CLOSES -> closeState.peerClosed(responseOwed);
            case CLOSE_GRACEFULLY -> closeState.closeGracefully(nowMs);
            case LINGER_TIMEOUT -> {
                nowMs += CloseState.LINGER_MS;
                yield closeState.checkLinger(nowMs);
            }
        };
    }

    /**
     * For every sequence: at most one shutdown and one close; a close only after the peer's close, the linger timeout
     * or too much input, and never in the step of the shutdown; a reset only while a response is owed; no request
     * accepted after the shutdown.
     */
    @Test
    void everyEventSequenceClosesOnce() {
        int sequences = (int) Math.pow(Event.values().length, SEQUENCE_LENGTH);
        for (int sequence = 0; sequence < 2 * sequences; sequence++) {
            boolean responseOwed = sequence >= sequences;
            CloseState closeState = new CloseState();
            List<Event> applied = new ArrayList<>();
            boolean requestsStopped = false;
            int shutdowns = 0;
            int closes = 0;
            for (int i = 0, rest = sequence % sequences; i < SEQUENCE_LENGTH; i++, rest /= Event.values().length) {
                Event event = Event.values()[rest % Event.values().length];
                applied.add(event);
                // After this side closes, no response is owed.
                Step step = apply(closeState, event, responseOwed && shutdowns + closes == 0);
                requestsStopped |= event == Event.STOP_READING_REQUESTS || event == Event.CLOSE_GRACEFULLY;
                assertEquals(!requestsStopped, closeState.acceptsRequests(), () -> "accepts requests after " + applied);
                if (step == Step.SHUT_DOWN) {
                    assertEquals(Event.CLOSE_GRACEFULLY, event);
                    assertFalse(
                            applied.contains(Event.PEER_CLOSES), () -> "shut down after the peer closed: " + applied);
                    shutdowns++;
                } else if (step == Step.CLOSE) {
                    boolean peerClosed = applied.contains(Event.PEER_CLOSES);
                    assertTrue(
                            peerClosed
                                    || shutdowns == 1
                                            && (event == Event.LINGER_TIMEOUT
                                                    || event == Event.FLOOD
                                                    || applied.contains(Event.FLOOD)),
                            () -> "closed too early: " + applied);
                    closes++;
                } else if (step == Step.RESET) {
                    assertTrue(
                            responseOwed
                                    && shutdowns + closes == 0
                                    && (event == Event.PEER_CLOSES || closeState.discardLimitExceeded()),
                            () -> "reset: " + applied);
                }
                assertTrue(shutdowns <= 1 && closes <= 1, () -> "more than once: " + applied);
            }
            // After any sequence, a graceful close and the linger timeout leave the connection closed.
            Step finalStep = closeState.closeGracefully(nowMs);
            nowMs += CloseState.LINGER_MS;
            Step lingerStep = closeState.checkLinger(nowMs);
            assertEquals(
                    1,
                    closes + (finalStep == Step.CLOSE ? 1 : 0) + (lingerStep == Step.CLOSE ? 1 : 0),
                    () -> "left open: " + applied);
        }
    }

    /** A client that disconnects while its response is owed is noticed even after extra input behind its request. */
    @Test
    void peerCloseIsSeenAfterDiscardedInput() {
        CloseState closeState = new CloseState();
        closeState.stopReadingRequests();
        assertEquals(Step.CONTINUE_READING, closeState.inputDiscarded(CloseState.MAX_DISCARDED_BYTES, true, 0));
        assertEquals(Step.RESET, closeState.peerClosed(true));
    }

    /** The limit counts all input together and does not restart at the shutdown. */
    @Test
    void discardedInputIsBounded() {
        CloseState closeState = new CloseState();
        closeState.stopReadingRequests();
        for (int i = 0; i < CloseState.MAX_DISCARDED_BYTES / 1024; i++) {
            assertEquals(Step.CONTINUE_READING, closeState.inputDiscarded(1024, true, 0));
        }
        assertEquals(Step.NONE, closeState.inputDiscarded(1, false, 0));
        assertEquals(Step.RESET, closeState.inputDiscarded(Integer.MAX_VALUE, true, 0));
        assertNotEquals(Step.CLOSE, closeState.closeGracefully(0));
        assertEquals(Step.CLOSE, closeState.inputDiscarded(1, false, 0));
    }
}
