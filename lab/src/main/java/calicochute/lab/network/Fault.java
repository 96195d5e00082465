package calicochute.lab.network;

import java.util.BitSet;

/** Something wrong between balancers, which are named by their numbers. Several may hold at one time. */
public interface Fault {
    /** Whether nothing passes from one to the other. */
    default boolean cuts(int from, int to) {
        return false;
    }

    /** The part of what is sent from one to the other that is lost. */
    default double loss(int from, int to) {
        return 0;
    }

    /** How much longer it takes, in microseconds. */
    default long delay(int from, int to) {
        return 0;
    }

    /** A part of what these send and get is lost. */
    record Loss(BitSet whose, double part) implements Fault {
        @Override
        public double loss(int from, int to) {
            return whose.get(from) || whose.get(to) ? part : 0;
        }
    }

    /** What these send and get takes longer, by so many microseconds. */
    record Delay(BitSet whose, long micros) implements Fault {
        @Override
        public long delay(int from, int to) {
            return whose.get(from) || whose.get(to) ? micros : 0;
        }
    }

    /** Nothing passes one way; the other way is open. */
    record Cut(BitSet from, BitSet to) implements Fault {
        @Override
        public boolean cuts(int sender, int receiver) {
            return from.get(sender) && to.get(receiver);
        }
    }

    /** Nothing passes between these and the others. */
    record Split(BitSet side) implements Fault {
        @Override
        public boolean cuts(int from, int to) {
            return side.get(from) != side.get(to);
        }
    }

    /** What comes to these comes late, by so many microseconds, as to a process that reads too slowly. */
    record SlowPeer(BitSet who, long micros) implements Fault {
        @Override
        public long delay(int from, int to) {
            return who.get(to) ? micros : 0;
        }
    }

    /** A set of balancers. */
    static BitSet of(int... balancers) {
        BitSet set = new BitSet();
        for (int balancer : balancers) {
            set.set(balancer);
        }
        return set;
    }
}
