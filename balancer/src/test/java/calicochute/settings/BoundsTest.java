package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BoundsTest {
    private static final long HEAP_BYTES = 96L << 20;

    /** Guards against bodies that together outgrow the heap, whatever the memory limit allows. */
    @Test
    void bodiesFitIntoMemoryLimitAndHeap() {
        assertEquals(32 << 20, Bounds.of(1024, false, 192, HEAP_BYTES).bodyBytes());
        assertEquals(32 << 20, Bounds.of(1024, false, 2048, HEAP_BYTES).bodyBytes());
        assertEquals((64 << 20) / 6, Bounds.of(1024, false, 64, HEAP_BYTES).bodyBytes());
    }

    /** All that bodies can hold at once, with and without reservation, leaves a quarter of the heap to the rest. */
    @Test
    void allBodiesTogetherLeaveRoomInTheHeap() {
        for (int sockets : new int[] {256, 1024}) {
            Bounds bounds = Bounds.of(sockets, true, 192, HEAP_BYTES);
            long unreserved =
                    (long) (bounds.clientConnections() + bounds.serverConnections()) * Bounds.INITIAL_WINDOW_BYTES;
            assertTrue(unreserved + bounds.bodyBytes() + bounds.readAheadBytes() <= HEAP_BYTES * 3 / 4);
        }
    }
}
