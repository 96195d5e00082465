package calicochute.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ReadWindowTest {
    private static final int STREAMING_WINDOW_BYTES = 20_000;
    private static final int UNKNOWN_LENGTH = -1;

    private static int extendFully(ReadWindow window, long length) {
        int granted = 0;
        for (int bytes = window.extendToBuffer(length); bytes > 0; bytes = window.extendToBuffer(length)) {
            granted += bytes;
        }
        return granted;
    }

    @Test
    void bodyGetsNoMoreThanItsLengthAndTheBudgetAllow() {
        ByteBudget budget = new ByteBudget(70_000);
        Pipe pipe = new Pipe();
        assertEquals(0, extendFully(new ReadWindow(pipe, budget.newShare(), STREAMING_WINDOW_BYTES), 8192));
        assertEquals(1808, extendFully(new ReadWindow(pipe, budget.newShare(), STREAMING_WINDOW_BYTES), 10_000));
        int whole = Bounds.MAX_BUFFERED_BODY_BYTES + Bounds.READ_BUFFER_BYTES - Bounds.INITIAL_WINDOW_BYTES;
        assertEquals(
                whole, extendFully(new ReadWindow(pipe, budget.newShare(), STREAMING_WINDOW_BYTES), UNKNOWN_LENGTH));
        assertEquals(
                70_000 - 1808 - whole,
                extendFully(new ReadWindow(pipe, budget.newShare(), STREAMING_WINDOW_BYTES), 65_536));
        assertEquals(0, budget.availableBytes());
    }

    /**
     * What was read to buffer a body is not credited once it is streamed, and its reservation shrinks as it is taken.
     */
    @Test
    void streamedBodyKeepsOnlyItsWindow() throws IOException {
        ByteBudget budget = new ByteBudget(100_000);
        Pipe pipe = new Pipe();
        ReadWindow window = new ReadWindow(pipe, budget.newShare(), STREAMING_WINDOW_BYTES);
        List<Integer> credited = new ArrayList<>();
        pipe.setCreditListener(bytes -> {
            window.bytesTaken();
            credited.add(bytes);
        });
        int read = Bounds.INITIAL_WINDOW_BYTES + extendFully(window, UNKNOWN_LENGTH);
        pipe.put(ByteBuffer.allocate(read));
        assertEquals(0, window.beginStreaming());
        pipe.writeTo(bytes -> {
            int length = bytes.remaining();
            bytes.position(bytes.limit());
            return length;
        });
        assertEquals(List.of(STREAMING_WINDOW_BYTES), credited);
        assertEquals(100_000 - STREAMING_WINDOW_BYTES + Bounds.INITIAL_WINDOW_BYTES, budget.availableBytes());
    }

    @Test
    void windowOfAStreamedBodyGrowsAsFarAsThereIsRoom() {
        ByteBudget budget = new ByteBudget(5000);
        ReadWindow window = new ReadWindow(new Pipe(), budget.newShare(), STREAMING_WINDOW_BYTES);
        assertEquals(5000, window.beginStreaming());
        assertEquals(0, new ReadWindow(new Pipe(), budget.newShare(), STREAMING_WINDOW_BYTES).beginStreaming());
    }

    /**
     * A response may still be written to its client after the session has ended, and still arrive after its client
     * left.
     */
    @Test
    void responseIsReservedUntilSessionAndConnectionHaveEnded() {
        for (boolean sessionFirst : new boolean[] {true, false}) {
            ByteBudget budget = new ByteBudget(1000);
            SessionMemory memory = new SessionMemory(budget);
            memory.request().reserve(300);
            ByteBudget.Share response = memory.newResponse();
            response.reserve(500);
            if (sessionFirst) {
                memory.endSession();
                assertEquals(500, budget.availableBytes());
                memory.releaseConnection();
            } else {
                memory.releaseConnection();
                assertEquals(200, budget.availableBytes());
                memory.endSession();
            }
            assertEquals(1000, budget.availableBytes());
            assertEquals(0, response.reserve(1));
        }
    }

    /** For any order of reservations and ends the budget is kept, and is whole again after the last end. */
    @Property(seed = "4711")
    void budgetIsKept(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 39) Integer> steps) {
        int total = 200_000;
        ByteBudget budget = new ByteBudget(total);
        List<SessionMemory> sessions = new ArrayList<>();
        for (int step : steps) {
            SessionMemory memory = new SessionMemory(budget);
            sessions.add(memory);
            extendFully(new ReadWindow(new Pipe(), memory.request(), STREAMING_WINDOW_BYTES), step * 2000L);
            new ReadWindow(new Pipe(), memory.newResponse(), STREAMING_WINDOW_BYTES).beginStreaming();
            assertTrue(budget.availableBytes() >= 0 && budget.availableBytes() <= total);
            SessionMemory ended = sessions.get(step % sessions.size());
            ended.endSession();
            if (step % 2 == 0) {
                ended.releaseConnection();
            }
        }
        sessions.forEach(SessionMemory::endSession);
        sessions.forEach(SessionMemory::releaseConnection);
        assertEquals(total, budget.availableBytes());
    }
}
