package calicochute.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.exchange.Pipe;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ReadAheadTest {
    private static final int ALL = 800_000;

    /**
     * Whatever bodies do in whatever order: never more than there is, an eighth for one, and at the end all is back.
     */
    @Property(seed = "4711")
    void whatIsLentComesBack(@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 59) Integer> steps) {
        ReadAhead ahead = new ReadAhead(ALL);
        List<ReadAhead.Part> parts = Stream.generate(ahead::part).limit(20).toList();
        int[] held = new int[parts.size()];
        for (int step : steps) {
            int i = step / 3;
            switch (step % 3) {
                case 0 -> {
                    for (int more = parts.get(i).more(bytes -> true);
                            more > 0;
                            more = parts.get(i).more(bytes -> true)) {
                        held[i] += more;
                    }
                }
                case 1 -> assertEquals(0, parts.get(i).more(bytes -> false));
                default -> {
                    held[i] /= 2;
                    parts.get(i).keep(held[i]);
                }
            }
            int sum = 0;
            for (int bytes : held) {
                assertTrue(bytes <= ALL / 8);
                sum += bytes;
            }
            assertEquals(ALL - sum, ahead.left());
            assertTrue(ahead.left() >= 0);
        }
        parts.forEach(ReadAhead.Part::close);
        parts.forEach(part -> assertEquals(0, part.more(bytes -> true)));
        assertEquals(ALL, ahead.left());
    }

    /**
     * With the pipe it goes by: taken first, nothing is lent; lent first, what is taken is not granted again until all
     * is back.
     */
    @Test
    void takingEndsIt() throws IOException {
        ReadAhead ahead = new ReadAhead(ALL);
        ReadAhead.Part part = ahead.part();
        Pipe pipe = new Pipe();
        List<Integer> granted = new ArrayList<>();
        pipe.setCreditListener(bytes -> {
            part.keep(pipe.withheldCredit());
            granted.add(bytes);
        });
        pipe.put(ByteBuffer.wrap(new byte[70_000]));
        int lent = part.more(pipe::grantAhead);
        pipe.put(ByteBuffer.wrap(new byte[lent]));
        assertEquals(ALL - lent, ahead.left());
        pipe.writeTo(bytes -> {
            int taken = Math.min(lent - 1, bytes.remaining());
            bytes.position(bytes.position() + taken);
            return taken;
        });
        assertEquals(List.of(), granted);
        pipe.writeTo(bytes -> {
            int taken = bytes.remaining();
            bytes.position(bytes.limit());
            return taken;
        });
        assertEquals(List.of(70_000), granted);
        assertEquals(ALL, ahead.left());
        assertEquals(0, part.more(pipe::grantAhead));
        Pipe left = new Pipe();
        left.cancel();
        assertEquals(0, ahead.part().more(left::grantAhead));
        assertEquals(ALL, ahead.left());
    }
}
