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

    /** However it is cut and however little room the sink has: the same bytes, and never more ahead than the window. */
    @Property
    void whatGoesInComesOut(
            @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 60) Integer> steps,
            @ForAll @IntRange(min = 0, max = 90) int less)
            throws IOException {
        Pipe pipe = new Pipe();
        Random random = new Random(steps.size());
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int[] credit = {WINDOW};
        pipe.creditTo(bytes -> credit[0] += bytes);
        pipe.shrink(less);
        for (int step : steps) {
            byte[] piece = new byte[Math.min(step, credit[0])];
            random.nextBytes(piece);
            in.write(piece);
            credit[0] -= piece.length;
            pipe.put(ByteBuffer.wrap(piece));
            assertTrue(pipe.held() <= WINDOW);
            pipe.take(room(out, random.nextInt(40)));
            assertTrue(credit[0] + pipe.held() <= WINDOW);
            assertTrue(credit[0] + pipe.held() >= WINDOW - less);
        }
        pipe.end();
        pipe.take(room(out, Integer.MAX_VALUE));
        assertTrue(pipe.drained());
        assertArrayEquals(in.toByteArray(), out.toByteArray());
    }

    private static Pipe.Sink room(ByteArrayOutputStream to, int room) {
        int[] left = {room};
        return bytes -> {
            int length = Math.min(left[0], bytes.remaining());
            byte[] taken = new byte[length];
            bytes.get(taken);
            to.write(taken, 0, length);
            left[0] -= length;
            return length;
        };
    }

    /** What a server still gave before it broke off is passed on; only then is the body cut, and never whole. */
    @Test
    void whatWasGivenBeforeABreakIsTaken() throws IOException {
        Pipe pipe = new Pipe();
        pipe.put(ByteBuffer.wrap(new byte[10]));
        pipe.breakOff();
        assertFalse(pipe.cut());
        pipe.take(room(new ByteArrayOutputStream(), 100));
        assertTrue(pipe.cut());
        assertFalse(pipe.drained());
    }

    /** Once nobody takes it, the source reads on, so that its connection can be used again. */
    @Test
    void anAbandonedPipeGivesAllCreditBack() {
        Pipe pipe = new Pipe();
        int[] credit = {0};
        pipe.put(ByteBuffer.wrap(new byte[10]));
        pipe.creditTo(bytes -> credit[0] += bytes);
        pipe.abandon();
        pipe.put(ByteBuffer.wrap(new byte[5]));
        assertEquals(15, credit[0]);
        assertEquals(0, pipe.held());
    }
}
