package calicochute.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestProgressTest {
    private static final int UNKNOWN_LENGTH = -1;
    private static final int LONG_BODY_BYTES = 30_000_000;
    private static final int CLOSED_WINDOW_BYTES = 60_000;

    private final RequestProgress progress = new RequestProgress();

    /** A client that sends slowly is timed from its last bytes, not from its first. */
    @Test
    void endMovesOnWhileAllInputIsRead() {
        for (int now = 0; now < 50; now += 10) {
            progress.inputArrived(now);
            progress.inputDrained();
            assertTrue(progress.awaitsClient());
            assertEquals(now + 5, progress.possibleEnd(now + 5));
        }
        progress.inputArrived(60);
        progress.complete(61);
        assertEquals(60, progress.possibleEnd(1000));
    }

    /** What is read of the socket's buffers late may have been written when reading stopped. */
    @Test
    void endStaysWhileInputIsUnread() {
        progress.inputArrived(10);
        progress.observeUnread(20, 64_000, CLOSED_WINDOW_BYTES, 300_000);
        assertEquals(10, progress.possibleEnd(30));
        progress.complete(1000);
        assertEquals(10, progress.possibleEnd(2000));
    }

    /** More is missing than the client's system can hold back. */
    @Test
    void endMovesOnWhileMuchIsMissing() {
        progress.inputArrived(10);
        progress.observeUnread(20, 64_000, CLOSED_WINDOW_BYTES, LONG_BODY_BYTES);
        assertEquals(20, progress.possibleEnd(30));
        progress.observeUnread(40, LONG_BODY_BYTES - 1_000_000, CLOSED_WINDOW_BYTES, LONG_BODY_BYTES);
        assertEquals(20, progress.possibleEnd(50));
    }

    /** Nothing arrives although there is room, and bytes are missing: the client has not written them. */
    @Test
    void endMovesOnWhileTheClientPauses() {
        progress.inputArrived(10);
        progress.observeUnread(20, 64_000, 0, 100_000);
        assertEquals(10, progress.possibleEnd(30), "the client's system may not know of the room yet");
        progress.observeUnread(40, 64_000, 0, 100_000);
        assertEquals(40, progress.possibleEnd(50));
        progress.observeUnread(60, 64_000, 35_000, 100_000);
        assertEquals(40, progress.possibleEnd(70), "the rest may be on its way from one buffer to the other");
    }

    /** Without a length, what arrives later was not written before the client paused. */
    @Test
    void endMovesOnWithoutALengthAsMoreArrives() {
        progress.inputArrived(10);
        progress.observeUnread(20, 64_000, 0, UNKNOWN_LENGTH);
        progress.observeUnread(40, 64_000, 0, UNKNOWN_LENGTH);
        assertEquals(10, progress.possibleEnd(50));
        progress.observeUnread(60, 64_000, 2000, UNKNOWN_LENGTH);
        assertEquals(40, progress.possibleEnd(70));
        progress.observeUnread(80, 64_000, 4000, UNKNOWN_LENGTH);
        assertEquals(40, progress.possibleEnd(90));
    }
}
