package calicochute.decision;

import java.util.PriorityQueue;

/** Virtual time, microseconds: what is due, in order; what is due at once in the order it was asked for. */
final class Agenda {
    long now;
    private long asked;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));

    private record Due(long at, long order, Runnable what) {}

    Agenda(long now) {
        this.now = now;
    }

    void after(long delay, Runnable what) {
        due.add(new Due(now + Math.max(1, delay), asked++, what));
    }

    void at(long when, Runnable what) {
        after(when - now, what);
    }

    void runUntil(long end) {
        while (now < end && !due.isEmpty()) {
            Due next = due.remove();
            now = next.at;
            next.what.run();
        }
    }
}
