package calicochute.exchange;

/** Task queue, clock and timers of the single decision thread. */
public interface DecisionQueue {
    /** A scheduled task that can be cancelled. */
    interface Timer {
        void cancel();
    }

    /** The current time in microseconds since the Unix epoch; it never goes backwards. */
    long now();

    /** Runs the task on the decision thread, after all tasks posted earlier. */
    void post(Runnable task);

    /** Runs the task on the decision thread after the given delay. */
    Timer schedule(long delayMicros, Runnable task);
}
