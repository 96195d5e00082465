package calicochute.node;

import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The decision queue on one thread of the standard scheduler. */
final class DecisionThread implements DecisionQueue {
    private final long startedAt = System.currentTimeMillis() * 1000;
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
        return startedAt + (System.nanoTime() - startedNanos) / 1000;
    }

    @Override
    public void post(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException e) {
            // The process is about to exit and nothing is owed any more.
            Log.info("stopped", "a late event was dropped");
        }
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        ScheduledFuture<?> future = executor.schedule(() -> run(task), micros, TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    /** Guards against an executor that swallows failures: each is counted and logged, and the thread goes on. */
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
