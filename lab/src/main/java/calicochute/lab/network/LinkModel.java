package calicochute.lab.network;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides what happens to each datagram between balancers, without I/O and without a clock. Each link, that is each
 * ordered pair of balancers, has a random stream of its own and draws the same number of values from it for every
 * datagram, whatever faults are active. So the nth datagram of a link is treated alike in two runs however the
 * datagrams of different links interleave, and a fault affects only the datagrams that it names.
 */
public final class LinkModel {
    /** The least time by which a datagram is held back, in microseconds, so that a few others overtake it. */
    static final long MIN_HOLD_MICROS = 2_000;

    /** The greatest time by which a datagram is held back, in microseconds. */
    static final long MAX_HOLD_MICROS = 20_000;

    /** A second copy arrives at most this long after the first one, in microseconds. */
    static final long MAX_REPEAT_DELAY_MICROS = 10_000;

    private final int balancers;
    private final LongFunction<UniformRandomProvider> randomByLink;
    private final UniformRandomProvider[] streams;
    private final List<Fault> faults = new ArrayList<>();
    private Conditions conditions;

    /** What happens to a datagram: the times at which its copies arrive (none if it is dropped), and the kind. */
    public record Delivery(List<Long> arrivals, DeliveryKind kind) {}

    /** The ways in which a datagram can be treated. */
    public enum DeliveryKind {
        /** Delivered once, without being held back. */
        PASSED,
        /** Dropped at random. */
        LOST,
        /** Dropped by a fault that cuts the link. */
        CUT,
        /** Delivered twice. */
        REPEATED,
        /** Delivered late, so that later datagrams overtake it. */
        HELD
    }

    /** @param randomByLink gives the random stream of the link with number {@code from * balancers + to} */
    public LinkModel(int balancers, Conditions conditions, LongFunction<UniformRandomProvider> randomByLink) {
        this.balancers = balancers;
        this.conditions = conditions;
        this.randomByLink = randomByLink;
        streams = new UniformRandomProvider[balancers * balancers];
    }

    public void setConditions(Conditions conditions) {
        this.conditions = conditions;
    }

    public Conditions conditions() {
        return conditions;
    }

    public void beginFault(Fault fault) {
        faults.add(fault);
    }

    /** Ends one fault; other faults stay active. */
    public void endFault(Fault fault) {
        faults.remove(fault);
    }

    /** Ends all active faults. */
    public void endAllFaults() {
        faults.clear();
    }

    /** Decides on a datagram that is sent at {@code now}, in microseconds. */
    public Delivery send(long now, int from, int to) {
        int link = from * balancers + to;
        if (streams[link] == null) {
            streams[link] = randomByLink.apply(link);
        }
        UniformRandomProvider random = streams[link];
        double lossDraw = random.nextDouble();
        double repeatDraw = random.nextDouble();
        double holdDraw = random.nextDouble();
        double delayDraw = random.nextDouble();
        double passShare = 1 - conditions.loss();
        long delay = conditions.delay();
        for (Fault fault : faults) {
            if (fault.cuts(from, to)) {
                return new Delivery(List.of(), DeliveryKind.CUT);
            }
            passShare *= 1 - fault.loss(from, to);
            delay += fault.delay(from, to);
        }
        if (lossDraw >= passShare) {
            return new Delivery(List.of(), DeliveryKind.LOST);
        }
        boolean held = holdDraw < conditions.reorder();
        long arrival =
                now + delay + (held ? MIN_HOLD_MICROS + (long) (delayDraw * (MAX_HOLD_MICROS - MIN_HOLD_MICROS)) : 0);
        if (repeatDraw < conditions.repeat()) {
            return new Delivery(
                    List.of(arrival, arrival + (long) (delayDraw * MAX_REPEAT_DELAY_MICROS)), DeliveryKind.REPEATED);
        }
        return new Delivery(List.of(arrival), held ? DeliveryKind.HELD : DeliveryKind.PASSED);
    }
}
