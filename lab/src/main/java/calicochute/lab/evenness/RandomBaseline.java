package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** The baseline: the same arrivals, each sent to an eligible server chosen at random, weighted by capacity. */
final class RandomBaseline {
    /** Simulated rounds, over which means are taken; fewer if their picks would exceed {@link #MAX_PICKS}. */
    static final int ROUNDS = 20;

    /** Picks of all rounds together, a bound on the memory that they take. */
    private static final int MAX_PICKS = 4_000_000;

    private RandomBaseline() {}

    static List<List<Dispatch>> simulate(
            List<Server> servers, List<Dispatch> arrivals, EligibleServers eligible, UniformRandomProvider random) {
        Map<BitSet, double[]> sums = new HashMap<>();
        List<List<Dispatch>> rounds = new ArrayList<>();
        int roundCount = Math.max(1, Math.min(ROUNDS, MAX_PICKS / Math.max(1, arrivals.size())));
        for (int round = 0; round < roundCount; round++) {
            List<Dispatch> picked = new ArrayList<>(arrivals.size());
            for (Dispatch arrival : arrivals) {
                double[] cumulative = sums.computeIfAbsent(
                        eligible.at(arrival.atMicros()), now -> cumulativeCapacities(servers, now));
                picked.add(new Dispatch(
                        arrival.atMicros(),
                        arrival.balancer(),
                        pick(cumulative, random.nextDouble()),
                        arrival.firstAttempt()));
            }
            rounds.add(picked);
        }
        return rounds;
    }

    /** Cumulative capacities of the eligible servers, in the order of all; of all servers if none is eligible. */
    private static double[] cumulativeCapacities(List<Server> servers, BitSet eligible) {
        double[] sums = new double[servers.size()];
        double sum = 0;
        for (int s = 0; s < sums.length; s++) {
            sum += eligible.isEmpty() || eligible.get(s) ? servers.get(s).capacity() : 0;
            sums[s] = sum;
        }
        return sums;
    }

    /** Binary search for the server whose interval of cumulative capacity contains the draw. */
    private static int pick(double[] cumulative, double draw) {
        double target = draw * cumulative[cumulative.length - 1];
        int low = 0;
        int high = cumulative.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulative[middle] > target) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }
}
