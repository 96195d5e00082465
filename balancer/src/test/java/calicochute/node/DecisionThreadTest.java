package calicochute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DecisionThreadTest {
    /**
     * Guards against an executor that swallows failures: whatever a task ends in is counted, and the tasks behind it
     * are run.
     */
    @ParameterizedTest
    @ValueSource(
            classes = {
                IllegalStateException.class,
                AssertionError.class,
                NoClassDefFoundError.class,
                OutOfMemoryError.class
            })
    void whateverATaskEndsInIsCounted(Class<? extends Throwable> how) throws Exception {
        Counters counters = new Counters();
        DecisionThread thread = new DecisionThread(counters);
        thread.post(() -> fail(how));
        thread.schedule(1, () -> fail(how));
        CountDownLatch next = new CountDownLatch(1);
        thread.schedule(1_000, () -> thread.post(next::countDown));
        assertTrue(next.await(30, TimeUnit.SECONDS));
        assertEquals(2, counters.get(Counter.MODULE_FAULTS));
    }

    /** Throws it, checked or not. */
    private static void fail(Class<? extends Throwable> how) {
        try {
            Throwable thrown = how.getConstructor().newInstance();
            if (thrown instanceof Error e) {
                throw e;
            }
            throw (RuntimeException) thrown;
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
