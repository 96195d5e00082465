package calicochute.lab.server;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The work that a cold machine can receive before it collapses. N is the number of requests of mean work that a machine
 * with a multiple of its present capacity would serve within a span; the machine tolerates N + 2 sqrt(N) + 2 requests
 * within any span. The middle term is two standard deviations of a Poisson count: independent senders that keep to N
 * together exceed it by that much by chance. All work that reaches the machine counts, from all balancers, including
 * requests that it rejects. The class does no I/O; times and work are in microseconds.
 */
public final class ColdStartBudget {
    private final double multiple;
    private final long spanMicros;
    private final double meanWorkMicros;
    private final Deque<Arrival> recentWork = new ArrayDeque<>();
    private double recentTotal;
    private double informedTotal;
    private double worstShare;
    private double worstInformedShare;

    private record Arrival(long at, double work, boolean informed) {}

    public ColdStartBudget(double multiple, long spanMicros, double meanWorkMicros) {
        this.multiple = multiple;
        this.spanMicros = spanMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /**
     * Counts a request's work; true if the machine, whose capacity is given in microseconds of work per microsecond,
     * now collapses. {@code senderInformed} says whether the balancer that sent it had been told of the machine's
     * start.
     */
    public boolean add(long now, double work, boolean senderInformed, double capacity) {
        recentWork.add(new Arrival(now, work, senderInformed));
        recentTotal += work;
        informedTotal += senderInformed ? work : 0;
        while (recentWork.peek().at < now - spanMicros) {
            Arrival expired = recentWork.poll();
            recentTotal -= expired.work;
            informedTotal -= expired.informed ? expired.work : 0;
        }
        double nominalRequests = multiple * capacity * spanMicros / meanWorkMicros;
        double budget = nominalRequests + 2 * Math.sqrt(nominalRequests) + 2;
        worstShare = Math.max(worstShare, recentTotal / meanWorkMicros / budget);
        worstInformedShare = Math.max(worstInformedShare, informedTotal / meanWorkMicros / budget);
        return recentTotal / meanWorkMicros > budget;
    }

    /** The share of the work in the current span that came from balancers that had been told of the start. */
    public double informedShare() {
        return recentTotal <= 0 ? 0 : informedTotal / recentTotal;
    }

    /** The most work of any span so far, as a share of the budget at that moment; above 1 the machine collapses. */
    public double worstShare() {
        return worstShare;
    }

    /** The same for the work from balancers that had been told of the start. */
    public double worstInformedShare() {
        return worstInformedShare;
    }

    /** Discards the counted work, at a new start or once the machine is warm; the worst shares are kept. */
    public void clear() {
        recentWork.clear();
        recentTotal = 0;
        informedTotal = 0;
    }
}
