package calicochute.exchange;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PipeTest {
    private static final int WINDOW = 100;

    /**
     * For any split of the body and any sink capacity the bytes arrive unchanged, and the source is never further ahead
     * than its window.
     */
    @Property
    void bytesArriveUnchangedWithinTheWindow(
            @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @IntRange(min = 0, max = 90) int shrunkBy)
            throws IOException {
        Pipe pipe = new Pipe();
        Random random = new Random(steps.size());
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        int[] credit = {WINDOW};
        pipe.setCreditListener(bytes -> credit[0] += bytes);
        pipe.shrinkWindow(shrunkBy);
        for (int step : steps) {
            byte[] chunk = new byte[Math.min(step, credit[0])];
            random.nextBytes(chunk);
            written.write(chunk);
            credit[0] -= chunk.length;
            pipe.put(ByteBuffer.wrap(chunk));
            assertTrue(pipe.bufferedBytes() <= WINDOW);
            pipe.writeTo(sinkWithCapacity(received, random.nextInt(40)));
            assertTrue(credit[0] + pipe.bufferedBytes() <= WINDOW);
            assertTrue(credit[0] + pipe.bufferedBytes() >= WINDOW - shrunkBy);
        }
        pipe.complete();
        pipe.writeTo(sinkWithCapacity(received, Integer.MAX_VALUE));
        assertTrue(pipe.drained());
        assertArrayEquals(written.toByteArray(), received.toByteArray());
    }

    private static Pipe.Sink sinkWithCapacity(ByteArrayOutputStream target, int capacity) {
        int[] remaining = {capacity};
        return bytes -> {
            int length = Math.min(remaining[0], bytes.remaining());
            byte[] taken = new byte[length];
            bytes.get(taken);
            target.write(taken, 0, length);
            remaining[0] -= length;
            return length;
        };
    }

    /** Bytes received before an abort are delivered first; only then is the body truncated, and it is never drained. */
    @Test
    void bytesBeforeAnAbortAreDelivered() throws IOException {
        Pipe pipe = new Pipe();
        pipe.put(ByteBuffer.wrap(new byte[10]));
        pipe.abort();
        assertFalse(pipe.truncated());
        pipe.writeTo(sinkWithCapacity(new ByteArrayOutputStream(), 100));
        assertTrue(pipe.truncated());
        assertFalse(pipe.drained());
    }

    /** After a cancel the source can still read the body to its end, so that its connection can be reused. */
    @Test
    void cancelledPipeReturnsAllCredit() {
        Pipe pipe = new Pipe();
        int[] credit = {0};
        pipe.put(ByteBuffer.wrap(new byte[10]));
        pipe.setCreditListener(bytes -> credit[0] += bytes);
        pipe.cancel();
        pipe.put(ByteBuffer.wrap(new byte[5]));
        assertEquals(15, credit[0]);
        assertEquals(0, pipe.bufferedBytes());
    }
}
