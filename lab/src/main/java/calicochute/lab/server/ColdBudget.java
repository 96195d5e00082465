package calicochute.lab.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a cold machine can be sent before it falls over: with N the requests of mean work that a multiple of what it can
 * do at that moment makes in a span, no more than N + 2 root N + 2 of them within any span. The root is what
 * independent senders who keep to N between them go beyond it by chance (two deviations of a Poisson count). All work
 * that reaches it counts, from all balancers, also what it turns away. A model without I/O; times and work in
 * microseconds.
 */
public final class ColdBudget {
    private final double multiple;
    private final long span;
    private final double meanWork;
    private final Deque<Sent> window = new ArrayDeque<>();
    private double sum;
    private double informed;
    private double worst;
    private double worstInformed;

    private record Sent(long at, double work, boolean informed) {}

    public ColdBudget(double multiple, long span, double meanWork) {
        this.multiple = multiple;
        this.span = span;
        this.meanWork = meanWork;
    }

    /**
     * Counts work that has come, from a balancer that had been told of the start or not; true if it is too much for a
     * machine that now does {@code capacity} microseconds of work in a microsecond.
     */
    public boolean add(long now, double work, boolean fromInformed, double capacity) {
        window.add(new Sent(now, work, fromInformed));
        sum += work;
        informed += fromInformed ? work : 0;
        while (window.peek().at < now - span) {
            Sent old = window.poll();
            sum -= old.work;
            informed -= old.informed ? old.work : 0;
        }
        double allowed = multiple * capacity * span / meanWork;
        double budget = allowed + 2 * Math.sqrt(allowed) + 2;
        worst = Math.max(worst, sum / meanWork / budget);
        worstInformed = Math.max(worstInformed, informed / meanWork / budget);
        return sum / meanWork > budget;
    }

    /** The part of the work in the span that balancers sent who knew. */
    public double informedShare() {
        return sum <= 0 ? 0 : informed / sum;
    }

    /** The most work of any span so far, as a part of what was allowed at its end; over 1 it was too much. */
    public double worst() {
        return worst;
    }

    /** The same of work from balancers that had been told of the start. */
    public double worstInformed() {
        return worstInformed;
    }

    /** Forgets what has come, as a new start does; the worst of all spans stays. */
    public void clear() {
        window.clear();
        sum = 0;
        informed = 0;
    }
}
