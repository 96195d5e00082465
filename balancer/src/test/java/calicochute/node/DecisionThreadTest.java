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
     * Guards against failures that the executor swallows: each exception or error of a task is counted, and later tasks
     * run.
     */
    @ParameterizedTest
    @ValueSource(
            classes = {
                IllegalStateException.class,
                AssertionError.class,
                NoClassDefFoundError.class,
                OutOfMemoryError.class
            })
    void failureOfATaskIsCountedAndLaterTasksRun(Class<? extends Throwable> type) throws Exception {
        Counters counters = new Counters();
        DecisionThread thread = new DecisionThread(counters);
        thread.post(() -> fail(type));
        thread.schedule(1, () -> fail(type));
        CountDownLatch laterTask = new CountDownLatch(1);
        thread.schedule(1_000, () -> thread.post(laterTask::countDown));
        assertTrue(laterTask.await(30, TimeUnit.SECONDS));
        assertEquals(2, counters.get(Counter.MODULE_FAULTS));
    }

    /** Throws a new exception or error of the given type. */
    private static void fail(Class<? extends Throwable> type) {
        try {
            Throwable thrown = type.getConstructor().newInstance();
            if (thrown instanceof Error e) {
                throw e;
            }
            throw (RuntimeException) thrown;
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
