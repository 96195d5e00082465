package calicochute.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class ServingThreadsTest {
    private final List<String> ended = new CopyOnWriteArrayList<>();
    private final ServingThreads threads =
            new ServingThreads("io", true, (name, cause) -> ended.add(name + " " + cause));

    private void runToEnd(Runnable task) throws InterruptedException {
        Thread thread = threads.newThread(task);
        thread.setUncaughtExceptionHandler((failed, cause) -> {});
        assertTrue(thread.isDaemon());
        thread.start();
        thread.join();
    }

    /** HttpCore's I/O thread rethrows errors but returns on an exception, so either has to be noticed. */
    @Test
    void everyUnexpectedEndIsReported() throws InterruptedException {
        runToEnd(() -> {
            throw new OutOfMemoryError("heap");
        });
        runToEnd(() -> {});
        assertEquals(List.of("io java.lang.OutOfMemoryError: heap", "io null"), ended);
    }

    @Test
    void anExpectedEndIsNotReported() throws InterruptedException {
        threads.expectEnd();
        runToEnd(() -> {});
        assertEquals(List.of(), ended);
    }
}
