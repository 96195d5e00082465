package calicochute.decision;

import java.util.PriorityQueue;

/** Virtual time in microseconds, and the tasks due, in order of time; those due at once run in the order scheduled. */
final class EventQueue {
    long now;
    private long scheduled;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>((first, second) ->
            first.at != second.at ? Long.compare(first.at, second.at) : Long.compare(first.order, second.order));

    private record Task(long at, long order, Runnable action) {}

    EventQueue(long now) {
        this.now = now;
    }

    void after(long delay, Runnable action) {
        tasks.add(new Task(now + Math.max(1, delay), scheduled++, action));
    }

    void at(long time, Runnable action) {
        after(time - now, action);
    }

    void runUntil(long end) {
        while (now < end && !tasks.isEmpty()) {
            Task next = tasks.remove();
            now = next.at;
            next.action.run();
        }
    }
}
