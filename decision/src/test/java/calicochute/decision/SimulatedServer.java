package calicochute.decision;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Rules;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One process of a server: slots with a queue, slower while cold. A faulty one fails all calls at once or has a tenth
 * of the speed. It never crashes; the overloads that would have crashed it are counted.
 */
final class SimulatedServer {
    static final int SLOTS = 4;
    /** Requests that can wait for a slot. */
    private static final int QUEUE_CAPACITY = 40;

    /** One second in microseconds. */
    private static final long SECOND = 1_000_000;

    /** {@code work} is in requests of mean work; {@code senderKnew}: its sender knew of this start. */
    private record Received(long at, double work, boolean senderKnew) {}

    enum Fault {
        NONE,
        FAILS,
        SLOW
    }

    final String id;
    private final String zone;
    /** Requests of mean work a second once warm. */
    private final double capacity;
    /** The same of a server of size 1. */
    private final double unitCapacity;
    /** Size given by the list. */
    private final double weight;
    /** 0: long ago, warm from the beginning. */
    final long startedAt;

    private final EventQueue events;
    private final Rules rules;
    private final List<Received> received = new ArrayList<>();
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    int busy;
    boolean lost;
    /** Replaced: balancers that have heard of that do not call it any more. */
    boolean replaced;

    Fault fault = Fault.NONE;
    long idleSince;

    SimulatedServer(
            String id,
            String zone,
            long startedAt,
            double unitCapacity,
            double size,
            double weight,
            Rules rules,
            EventQueue events) {
        this.id = id;
        this.zone = zone;
        this.startedAt = startedAt;
        this.unitCapacity = unitCapacity;
        this.weight = weight;
        capacity = unitCapacity * size;
        this.rules = rules;
        this.events = events;
        idleSince = events.now;
    }

    Backend entry(BackendState state) {
        return new Backend(id, zone, 0, weight, state, startedAt, "k");
    }

    boolean cold(long at) {
        return startedAt > 0 && at < startedAt + rules.warmUp();
    }

    private double warmth(long at) {
        double age = startedAt == 0 ? rules.warmUp() : at - startedAt;
        return rules.coldCapacityShare() + (1 - rules.coldCapacityShare()) * Math.min(1, age / rules.warmUp());
    }

    /** Accepts a request; false if the server is lost, fails or is full. */
    boolean accept(double work, boolean senderKnew, Runnable done) {
        if (lost) {
            return false;
        }
        received.add(new Received(events.now, work, senderKnew));
        if (fault == Fault.FAILS || busy >= slots() && queue.size() == QUEUE_CAPACITY) {
            return false;
        }
        double speed = unitCapacity * warmth(events.now) * (fault == Fault.SLOW ? 0.1 : 1);
        queue.add(() -> events.after((long) (SLOTS * work / speed * SECOND), () -> {
            busy--;
            idleSince = events.now;
            if (!lost) {
                done.run();
            }
            startNext();
        }));
        startNext();
        return true;
    }

    private long slots() {
        return Math.round(SLOTS * capacity / unitCapacity);
    }

    private void startNext() {
        if (busy < slots() && !queue.isEmpty()) {
            busy++;
            queue.remove().run();
        }
    }

    /** Work that the server could do in the span before this moment. */
    double possibleWork(long span) {
        return capacity * warmth(events.now) * span / SECOND;
    }

    /** Work that the server received in the span before this moment. */
    double receivedWork(long span) {
        return received.stream()
                .filter(r -> r.at > events.now - span)
                .mapToDouble(Received::work)
                .sum();
    }

    /**
     * Work that may reach the server within an overload window: n = multiple x present capacity x window, and a margin
     * of two standard deviations and two requests for random arrivals.
     */
    private double budget(long at) {
        double n = rules.overloadMultiple() * capacity * warmth(at) * rules.overloadWindow() / SECOND;
        return n + 2 * Math.sqrt(n) + 2;
    }

    /**
     * The worst overload window while the server was cold, as a share of the budget at its end: of all work received,
     * and of the work from senders that knew of the start. The rule is broken where all work is over the budget and
     * over two thirds of it came from senders that knew.
     */
    record WorstWindow(double all, double senderKnew, boolean broken) {}

    WorstWindow worstWindow() {
        double all = 0;
        double known = 0;
        double maxAll = 0;
        double maxKnown = 0;
        boolean broken = false;
        int from = 0;
        for (Received last : received) {
            if (!cold(last.at)) {
                break;
            }
            all += last.work;
            known += last.senderKnew ? last.work : 0;
            for (; received.get(from).at <= last.at - rules.overloadWindow(); from++) {
                all -= received.get(from).work;
                known -= received.get(from).senderKnew ? received.get(from).work : 0;
            }
            maxAll = Math.max(maxAll, all / budget(last.at));
            maxKnown = Math.max(maxKnown, known / budget(last.at));
            broken |= all > budget(last.at) && known > all * 2 / 3;
        }
        return new WorstWindow(maxAll, maxKnown, broken);
    }
}
