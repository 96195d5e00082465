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

class ReadAheadBudgetTest {
    private static final int TOTAL_BYTES = 800_000;

    /**
     * For any sequence of operations, reservations stay within the budget and within a half for one body, and all bytes
     * are returned at the end.
     */
    @Property(seed = "4711")
    void reservedBytesAreReturned(@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 59) Integer> steps) {
        ReadAheadBudget budget = new ReadAheadBudget(TOTAL_BYTES);
        List<ReadAheadBudget.Share> shares =
                Stream.generate(budget::newShare).limit(20).toList();
        int[] reserved = new int[shares.size()];
        for (int step : steps) {
            int i = step / 3;
            switch (step % 3) {
                case 0 -> {
                    for (int reservedMore = shares.get(i).reserveMore(bytes -> true);
                            reservedMore > 0;
                            reservedMore = shares.get(i).reserveMore(bytes -> true)) {
                        reserved[i] += reservedMore;
                    }
                }
                case 1 -> assertEquals(0, shares.get(i).reserveMore(bytes -> false));
                default -> {
                    reserved[i] /= 2;
                    shares.get(i).releaseAllBut(reserved[i]);
                }
            }
            int sum = 0;
            for (int bytes : reserved) {
                assertTrue(bytes <= TOTAL_BYTES / 2);
                sum += bytes;
            }
            assertEquals(TOTAL_BYTES - sum, budget.availableBytes());
            assertTrue(budget.availableBytes() >= 0);
        }
        shares.forEach(ReadAheadBudget.Share::close);
        shares.forEach(share -> assertEquals(0, share.reserveMore(bytes -> true)));
        assertEquals(TOTAL_BYTES, budget.availableBytes());
    }

    /**
     * Together with the pipe: once bytes were taken nothing is reserved, and bytes taken after a reservation are not
     * granted again until all of it is returned.
     */
    @Test
    void nothingIsReservedOnceTheBodyIsTaken() throws IOException {
        ReadAheadBudget budget = new ReadAheadBudget(TOTAL_BYTES);
        ReadAheadBudget.Share share = budget.newShare();
        Pipe pipe = new Pipe();
        List<Integer> granted = new ArrayList<>();
        pipe.setCreditListener(bytes -> {
            share.releaseAllBut(pipe.withheldCredit());
            granted.add(bytes);
        });
        pipe.put(ByteBuffer.wrap(new byte[70_000]));
        int reserved = share.reserveMore(pipe::grantAhead);
        pipe.put(ByteBuffer.wrap(new byte[reserved]));
        assertEquals(TOTAL_BYTES - reserved, budget.availableBytes());
        pipe.writeTo(bytes -> {
            int taken = Math.min(reserved - 1, bytes.remaining());
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
        assertEquals(TOTAL_BYTES, budget.availableBytes());
        assertEquals(0, share.reserveMore(pipe::grantAhead));
        Pipe cancelled = new Pipe();
        cancelled.cancel();
        assertEquals(0, budget.newShare().reserveMore(cancelled::grantAhead));
        assertEquals(TOTAL_BYTES, budget.availableBytes());
    }
}
