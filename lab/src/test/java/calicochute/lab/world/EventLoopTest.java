package calicochute.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    @Test
    void timersRunInOrderAndCancelledOnesDoNotRun() throws Exception {
        EventLoop eventLoop = new EventLoop();
        List<String> ran = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.start();
        eventLoop.post(() -> {
            long at = eventLoop.now() + 20_000;
            eventLoop.scheduleAt(at + 1000, () -> ran.add("last"));
            eventLoop.scheduleAt(at, () -> ran.add("first"));
            eventLoop.scheduleAt(at, () -> ran.add("second"));
            eventLoop.scheduleAt(at, () -> ran.add("never")).cancel();
            eventLoop.scheduleAt(at + 2000, done::countDown);
        });
        assertTrue(done.await(20, TimeUnit.SECONDS));
        eventLoop.stop();
        eventLoop.join(20_000);
        assertEquals(List.of("first", "second", "last"), ran);
        assertEquals(4, eventLoop.lateness().getTotalCount());
        assertNull(eventLoop.failure());
    }

    /** Guards against a run that continues silently after its event loop has failed. */
    @Test
    void anExceptionStopsTheEventLoopAndIsKept() throws Exception {
        EventLoop eventLoop = new EventLoop();
        eventLoop.start();
        eventLoop.post(() -> {
            throw new IllegalStateException("broken");
        });
        eventLoop.join(20_000);
        assertNotNull(eventLoop.failure());
    }
}
