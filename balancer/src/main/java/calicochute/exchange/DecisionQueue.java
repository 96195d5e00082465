package calicochute.exchange;

/** The one thread on which decisions are made, its clock and its timers. */
public interface DecisionQueue {
    /** A timer that was set. */
    interface Alarm {
        void cancel();
    }

    /** Microseconds since 1970, never going back. */
    long now();

    /** Runs the task on the decision thread, after all that was posted before. */
    void post(Runnable task);

    /** Runs the task on the decision thread once this many microseconds have passed. */
    Alarm after(long micros, Runnable task);
}
