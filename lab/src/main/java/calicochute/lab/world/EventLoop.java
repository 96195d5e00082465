package calicochute.lab.world;

import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * The single thread on which everything emulated runs: timers, in the order of their times, and tasks that other
 * threads post. It measures how late each timer runs, because a run whose timers are late is not a valid measurement.
 * Times are Unix times in microseconds: the system clock at construction plus the monotonic time since then.
 */
public final class EventLoop {
    /** How long the thread waits at most when no timer is scheduled. */
    private static final long MAX_PARK_MICROS = 20_000_000;

    /** Greater lateness is recorded as this value. */
    private static final long MAX_LATENESS_MICROS = 60_000_000;

    private final long startMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Histogram lateness = new Histogram(MAX_LATENESS_MICROS, 3);
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean stopped;
    private volatile Throwable failure;
    private long sequence;

    /** A timer; of two timers for the same time, the one scheduled first runs first. */
    public static final class Timer implements Comparable<Timer> {
        private final long time;
        private final long order;
        private Runnable task;

        private Timer(long time, long order, Runnable task) {
            this.time = time;
            this.order = order;
            this.task = task;
        }

        /** Cancels the timer: its task does not run. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    public EventLoop() {
        thread = new Thread(this::loop, "event-loop");
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** The Unix time in microseconds; may be called from any thread. */
    public long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /** Runs the task as soon as possible; may be called from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    /**
     * Runs the task at a Unix time in microseconds, or as soon as possible if that time has passed. May be called only
     * on the event loop's thread.
     */
    public Timer scheduleAt(long time, Runnable task) {
        Timer timer = new Timer(time, sequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs the task after a delay in microseconds. May be called only on the event loop's thread. */
    public Timer scheduleAfter(long micros, Runnable task) {
        return scheduleAt(now() + micros, task);
    }

    /** Runs the task after each interval, the first time one interval from now, until the event loop stops. */
    public void scheduleEvery(long micros, Runnable task) {
        scheduleEvery(now() + micros, micros, task);
    }

    private void scheduleEvery(long time, long micros, Runnable task) {
        scheduleAt(time, () -> {
            task.run();
            scheduleEvery(time + micros, micros, task);
        });
    }

    /** How late timers ran, in microseconds. May be read only on the event loop's thread or after it has stopped. */
    public Histogram lateness() {
        return lateness;
    }

    /** Discards the lateness recorded so far, such as that of the time in which balancers start. */
    public void resetLateness() {
        lateness.reset();
    }

    /** The exception that ended the event loop; null if there was none. */
    public Throwable failure() {
        return failure;
    }

    /** Makes the event loop end after the task that is running; may be called from any thread. */
    public void stop() {
        stopped = true;
        LockSupport.unpark(thread);
    }

    /** Waits up to the given time for the event loop's thread to end. */
    public void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    private void loop() {
        try {
            while (!stopped) {
                for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                    task.run();
                }
                Timer next = timers.peek();
                long now = now();
                if (next != null && next.time <= now) {
                    timers.poll();
                    if (next.task != null) {
                        lateness.recordValue(Math.min(MAX_LATENESS_MICROS, now - next.time));
                        next.task.run();
                    }
                    continue;
                }
                parked = true;
                if (posted.isEmpty() && !stopped) {
                    LockSupport.parkNanos(this, next == null ? MAX_PARK_MICROS * 1000 : (next.time - now) * 1000);
                }
                parked = false;
            }
        } catch (RuntimeException | Error exception) {
            failure = exception;
            stopped = true;
        }
    }
}
