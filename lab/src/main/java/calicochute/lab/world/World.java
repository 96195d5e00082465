package calicochute.lab.world;

import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * The lab's one thread for all that is emulated: timers in the order of their times, and what other threads post. It
 * measures how late each timer runs, since a lab that is late itself measures nothing. Times are Unix times in
 * microseconds, taken from the monotonic clock after the start.
 */
public final class World {
    private static final long LONGEST_PARK = 20_000_000;
    private static final long HIGHEST_LATENESS = 60_000_000;
    private final long startedAt = System.currentTimeMillis() * 1000;
    private final long startedNanos = System.nanoTime();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>();
    private final Histogram lateness = new Histogram(HIGHEST_LATENESS, 3);
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean stopped;
    private volatile Throwable fault;
    private long sequence;

    /** A timer; of two for the same time the one set first runs first. */
    public static final class Alarm implements Comparable<Alarm> {
        private final long time;
        private final long order;
        private Runnable task;

        private Alarm(long time, long order, Runnable task) {
            this.time = time;
            this.order = order;
            this.task = task;
        }

        /** From now on it does nothing. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Alarm other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    public World() {
        thread = new Thread(this::loop, "world");
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Unix time in microseconds; from any thread. */
    public long now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1000;
    }

    /** Has the task run soon; from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    /** Has the task run at a time; a time gone by means soon. Only on the world's thread. */
    public Alarm at(long time, Runnable task) {
        Alarm alarm = new Alarm(time, sequence++, task);
        alarms.add(alarm);
        return alarm;
    }

    public Alarm after(long micros, Runnable task) {
        return at(now() + micros, task);
    }

    /** Runs the task now and again after each interval, until the world ends. */
    public void every(long micros, Runnable task) {
        every(now() + micros, micros, task);
    }

    private void every(long time, long micros, Runnable task) {
        at(time, () -> {
            task.run();
            every(time + micros, micros, task);
        });
    }

    /** How late timers ran, in microseconds. Only once the world has stopped, or on its thread. */
    public Histogram lateness() {
        return lateness;
    }

    /** Forgets the lateness measured so far, such as that of the time in which balancers start. */
    public void resetLateness() {
        lateness.reset();
    }

    /** What ended the world before its time; null where nothing did. */
    public Throwable fault() {
        return fault;
    }

    public void stop() {
        stopped = true;
        LockSupport.unpark(thread);
    }

    /** Waits for the end. */
    public void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    private void loop() {
        try {
            while (!stopped) {
                for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                    task.run();
                }
                Alarm next = alarms.peek();
                long now = now();
                if (next != null && next.time <= now) {
                    alarms.poll();
                    if (next.task != null) {
                        lateness.recordValue(Math.min(HIGHEST_LATENESS, now - next.time));
                        next.task.run();
                    }
                    continue;
                }
                parked = true;
                if (posted.isEmpty() && !stopped) {
                    LockSupport.parkNanos(this, next == null ? LONGEST_PARK * 1000 : (next.time - now) * 1000);
                }
                parked = false;
            }
        } catch (RuntimeException | Error e) {
            fault = e;
            stopped = true;
        }
    }
}
