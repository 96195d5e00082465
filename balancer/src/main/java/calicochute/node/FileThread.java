package calicochute.node;

import calicochute.metrics.Log;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;

/** The thread that reads and writes files, so that the decision thread does not wait for a disk. */
final class FileThread {
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("shared-files", true));

    void execute(Runnable work) {
        executor.execute(() -> run(work));
    }

    /** Repeats the work, with a pause between two runs. */
    void repeat(long pauseMs, Runnable work) {
        executor.scheduleWithFixedDelay(() -> run(work), pauseMs, pauseMs, TimeUnit.MILLISECONDS);
    }

    /** Runs the work after all work given earlier, and waits for its end for a limited time. */
    void executeAndWait(long timeoutMs, Runnable work) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        execute(() -> {
            work.run();
            done.countDown();
        });
        done.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Logs a failure; without this, the executor would never repeat the work again. */
    private static void run(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            Log.warn("file-work-failed", String.valueOf(e));
        }
    }
}
