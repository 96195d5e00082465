package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** The same arrivals, each sent to a server picked at random by capacity among those with room at that time. */
final class Chance {
    /** How often it is played, and the means taken; fewer times where that many picks would be too many to hold. */
    static final int ROUNDS = 20;

    private static final int MOST_PICKS = 4_000_000;

    private Chance() {}

    static List<List<Dispatch>> play(
            List<Server> servers, List<Dispatch> arrivals, Room room, UniformRandomProvider from) {
        Map<BitSet, double[]> sums = new HashMap<>();
        List<List<Dispatch>> rounds = new ArrayList<>();
        int play = Math.max(1, Math.min(ROUNDS, MOST_PICKS / Math.max(1, arrivals.size())));
        for (int round = 0; round < play; round++) {
            List<Dispatch> picked = new ArrayList<>(arrivals.size());
            for (Dispatch a : arrivals) {
                double[] upTo = sums.computeIfAbsent(room.at(a.at()), r -> upTo(servers, r));
                picked.add(new Dispatch(a.at(), a.balancer(), pick(upTo, from.nextDouble()), a.first()));
            }
            rounds.add(picked);
        }
        return rounds;
    }

    /** Sums of capacity up to and with each server; of all servers where none has room. */
    private static double[] upTo(List<Server> servers, BitSet room) {
        double[] sums = new double[servers.size()];
        double sum = 0;
        for (int s = 0; s < sums.length; s++) {
            sum += room.isEmpty() || room.get(s) ? servers.get(s).capacity() : 0;
            sums[s] = sum;
        }
        return sums;
    }

    private static int pick(double[] upTo, double draw) {
        double at = draw * upTo[upTo.length - 1];
        int low = 0;
        int high = upTo.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (upTo[middle] > at) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}
