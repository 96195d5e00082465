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

class WorldTest {
    @Test
    void timersRunInOrderAndCancelledOnesDoNot() throws Exception {
        World world = new World();
        List<String> ran = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        world.start();
        world.post(() -> {
            long at = world.now() + 20_000;
            world.at(at + 1000, () -> ran.add("last"));
            world.at(at, () -> ran.add("first"));
            world.at(at, () -> ran.add("second"));
            world.at(at, () -> ran.add("never")).cancel();
            world.at(at + 2000, done::countDown);
        });
        assertTrue(done.await(20, TimeUnit.SECONDS));
        world.stop();
        world.join(20_000);
        assertEquals(List.of("first", "second", "last"), ran);
        assertEquals(4, world.lateness().getTotalCount());
        assertNull(world.fault());
    }

    /** Guards against a run that goes on in silence after its world has died. */
    @Test
    void aFaultEndsTheWorldAndIsKept() throws Exception {
        World world = new World();
        world.start();
        world.post(() -> {
            throw new IllegalStateException("broken");
        });
        world.join(20_000);
        assertNotNull(world.fault());
    }
}
