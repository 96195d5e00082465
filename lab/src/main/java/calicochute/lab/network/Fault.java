package calicochute.lab.network;

import java.util.BitSet;

/** A network fault between balancers, which are named by their numbers. Several faults may be active at a time. */
public interface Fault {
    /** Whether the fault drops all datagrams from one balancer to another. */
    default boolean cuts(int from, int to) {
        return false;
    }

    /** The share of the datagrams from one balancer to another that is lost, between 0 and 1. */
    default double loss(int from, int to) {
        return 0;
    }

    /** The additional delay from one balancer to another, in microseconds. */
    default long delay(int from, int to) {
        return 0;
    }

    /** A share of the datagrams from and to these balancers is lost. */
    record Loss(BitSet balancers, double share) implements Fault {
        @Override
        public double loss(int from, int to) {
            return balancers.get(from) || balancers.get(to) ? share : 0;
        }
    }

    /** Datagrams from and to these balancers are delayed. */
    record Delay(BitSet balancers, long micros) implements Fault {
        @Override
        public long delay(int from, int to) {
            return balancers.get(from) || balancers.get(to) ? micros : 0;
        }
    }

    /** Datagrams are dropped in one direction only. */
    record Cut(BitSet from, BitSet to) implements Fault {
        @Override
        public boolean cuts(int sender, int receiver) {
            return from.get(sender) && to.get(receiver);
        }
    }

    /** Datagrams are dropped between these balancers and all others. */
    record Split(BitSet side) implements Fault {
        @Override
        public boolean cuts(int from, int to) {
            return side.get(from) != side.get(to);
        }
    }

    /** Datagrams to these balancers are delayed, as for a process that reads too slowly. */
    record SlowPeer(BitSet receivers, long micros) implements Fault {
        @Override
        public long delay(int from, int to) {
            return receivers.get(to) ? micros : 0;
        }
    }

    /** The set of the balancers with these numbers. */
    static BitSet setOf(int... balancers) {
        BitSet set = new BitSet();
        for (int balancer : balancers) {
            set.set(balancer);
        }
        return set;
    }
}
