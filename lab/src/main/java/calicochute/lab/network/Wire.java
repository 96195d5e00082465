package calicochute.lab.network;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides what becomes of each datagram between balancers, without I/O and clock. Each way between two has a stream of
 * random numbers of its own and takes as many from it for each datagram, whatever is wrong: the same datagram of a way
 * fares alike in two runs, however the ways' datagrams mix, and a fault changes nothing but what it says.
 */
public final class Wire {
    /** A datagram held back is this much later, at least and at most, in microseconds: a few others overtake it. */
    static final long HELD_LEAST = 2_000;

    static final long HELD_MOST = 20_000;
    /** A second copy comes this much after the first one at most. */
    static final long REPEATED_WITHIN = 10_000;

    private final int balancers;
    private final LongFunction<UniformRandomProvider> chance;
    private final UniformRandomProvider[] ways;
    private final List<Fault> faults = new ArrayList<>();
    private Conditions usual;

    /** What becomes of one: when each of its copies arrives (none: it does not), and why none does or what is odd. */
    public record Fate(List<Long> arrivals, Cause cause) {}

    /** What was decided on a datagram. */
    public enum Cause {
        PASSED,
        LOST,
        CUT,
        REPEATED,
        HELD
    }

    /** @param chance a way's stream by its number, from * balancers + to */
    public Wire(int balancers, Conditions usual, LongFunction<UniformRandomProvider> chance) {
        this.balancers = balancers;
        this.usual = usual;
        this.chance = chance;
        ways = new UniformRandomProvider[balancers * balancers];
    }

    public void usually(Conditions conditions) {
        usual = conditions;
    }

    public Conditions usual() {
        return usual;
    }

    public void begin(Fault fault) {
        faults.add(fault);
    }

    /** Ends a fault that was begun; others go on. */
    public void end(Fault fault) {
        faults.remove(fault);
    }

    /** Ends all faults. */
    public void heal() {
        faults.clear();
    }

    /** A datagram is sent at {@code now}, microseconds. */
    public Fate send(long now, int from, int to) {
        int way = from * balancers + to;
        if (ways[way] == null) {
            ways[way] = chance.apply(way);
        }
        UniformRandomProvider draw = ways[way];
        double loses = draw.nextDouble();
        double repeats = draw.nextDouble();
        double holds = draw.nextDouble();
        double howLong = draw.nextDouble();
        double kept = 1 - usual.loss();
        long delay = usual.delay();
        for (Fault fault : faults) {
            if (fault.cuts(from, to)) {
                return new Fate(List.of(), Cause.CUT);
            }
            kept *= 1 - fault.loss(from, to);
            delay += fault.delay(from, to);
        }
        if (loses >= kept) {
            return new Fate(List.of(), Cause.LOST);
        }
        boolean held = holds < usual.reorder();
        long arrival = now + delay + (held ? HELD_LEAST + (long) (howLong * (HELD_MOST - HELD_LEAST)) : 0);
        if (repeats < usual.repeat()) {
            return new Fate(List.of(arrival, arrival + (long) (howLong * REPEATED_WITHIN)), Cause.REPEATED);
        }
        return new Fate(List.of(arrival), held ? Cause.HELD : Cause.PASSED);
    }
}
