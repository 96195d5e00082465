package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The decision queue, implemented by a scheduled executor with one thread. */
final class DecisionThread implements DecisionQueue {
    private final long startedAtMicros = System.currentTimeMillis() * 1000;
    private final long startedNanos = System.nanoTime();
    private final Counters counters;
    private final ScheduledThreadPoolExecutor executor;

    DecisionThread(Counters counters) {
        this.counters = counters;
        executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "decision"));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public long now() {
        return startedAtMicros + (System.nanoTime() - startedNanos) / 1000;
    }

    @Override
    public void post(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            // The executor has shut down because the process is exiting; no session waits for a response.
            Log.info("stopped", "event dropped after shutdown");
        }
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        ScheduledFuture<?> future = executor.schedule(() -> run(task), delayMicros, TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    /** Counts and logs a failure, which the executor would swallow; the thread continues. */
    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            counters.count(Counter.MODULE_FAULTS);
            StackTraceElement[] trace = e.getStackTrace();
            Log.warn("decision-fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
