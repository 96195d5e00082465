package calicochute.lab.evenness;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * What the unevenness is made of: the load against one expectation after another, each of which knows more of how
 * dispatches were spread. What a step takes from the spread is the part of what it knows; what is left at the last one
 * over chance's is neither kind, speed, zone nor subset.
 */
public final class Parts {
    /** What is expected of a server. */
    public enum Against {
        /** As much as of any other. */
        ALIKE("alike"),
        /** As much as its capacity says: its kind's and its own speed. */
        CAPACITY("by capacity"),
        /** As the power of its capacity says that fits best. */
        POWER("by a power of capacity"),
        /** By capacity within what its kind got. */
        KIND("within the kind"),
        /** By capacity within what its kind in its zone got. */
        GROUP("within zone and kind"),
        /** So, and each balancer's only among the servers that it sent to at all. */
        SUBSET("within zone, kind and subset");

        private final String words;

        Against(String words) {
            this.words = words;
        }

        public String words() {
            return words;
        }
    }

    private final List<Server> servers;
    private final BitSet room;
    private final List<Dispatch> dispatches;
    private final Map<Integer, Set<Integer>> used;
    private final int[] seen;

    /** @param whole all of the run, which tells what each balancer uses */
    Parts(List<Server> servers, BitSet room, List<Dispatch> dispatches, List<Dispatch> whole) {
        this.servers = servers;
        this.room = room;
        this.dispatches = dispatches.stream().filter(d -> room.get(d.server())).toList();
        used = new HashMap<>();
        whole.forEach(
                d -> used.computeIfAbsent(d.balancer(), b -> new HashSet<>()).add(d.server()));
        seen = counts(servers.size(), this.dispatches);
    }

    static int[] counts(int servers, List<Dispatch> dispatches) {
        int[] counts = new int[servers];
        dispatches.forEach(d -> counts[d.server()]++);
        return counts;
    }

    static double[] capacities(List<Server> servers) {
        return servers.stream().mapToDouble(Server::capacity).toArray();
    }

    Load load(Against against) {
        return Load.of(
                seen,
                switch (against) {
                    case ALIKE -> servers.stream().mapToDouble(s -> 1).toArray();
                    case CAPACITY -> capacities(servers);
                    case POWER -> powers(power());
                    case KIND -> within(Server::kind);
                    case GROUP -> within(s -> s.zone() + " " + s.kind());
                    case SUBSET -> subsets();
                },
                room);
    }

    private double[] powers(double power) {
        return servers.stream().mapToDouble(s -> Math.pow(s.capacity(), power)).toArray();
    }

    /** The power of capacity that dispatches follow: where their likelihood is greatest, by Newton's steps. */
    double power() {
        double n = dispatches.size();
        double sum = dispatches.stream()
                .mapToDouble(d -> Math.log(servers.get(d.server()).capacity()))
                .sum();
        double power = 1;
        for (int step = 0; step < 50 && n > 0; step++) {
            double weights = 0;
            double first = 0;
            double second = 0;
            for (int s = room.nextSetBit(0); s >= 0; s = room.nextSetBit(s + 1)) {
                double x = Math.log(servers.get(s).capacity());
                double weight = Math.exp(power * x);
                weights += weight;
                first += weight * x;
                second += weight * x * x;
            }
            double mean = first / weights;
            double variance = second / weights - mean * mean;
            if (variance < 1e-12) {
                // All alike: any power says the same.
                return 1;
            }
            power = Math.max(-20, Math.min(20, power + (sum / n - mean) / variance));
        }
        return power;
    }

    private double[] within(Function<Server, String> group) {
        Map<String, Integer> sent = new HashMap<>();
        dispatches.forEach(d -> sent.merge(group.apply(servers.get(d.server())), 1, Integer::sum));
        Map<String, Double> capacity = new HashMap<>();
        room.stream().mapToObj(servers::get).forEach(s -> capacity.merge(group.apply(s), s.capacity(), Double::sum));
        double[] expected = new double[servers.size()];
        room.stream().forEach(i -> {
            Server s = servers.get(i);
            expected[i] = sent.getOrDefault(group.apply(s), 0) * s.capacity() / capacity.get(group.apply(s));
        });
        return expected;
    }

    private double[] subsets() {
        Function<Server, String> group = s -> s.zone() + " " + s.kind();
        Map<Integer, Map<String, Integer>> sent = new HashMap<>();
        dispatches.forEach(d -> sent.computeIfAbsent(d.balancer(), b -> new HashMap<>())
                .merge(group.apply(servers.get(d.server())), 1, Integer::sum));
        double[] expected = new double[servers.size()];
        sent.forEach((balancer, groups) -> {
            Map<String, Double> capacity = new HashMap<>();
            List<Integer> usable = used.get(balancer).stream().filter(room::get).toList();
            usable.forEach(i ->
                    capacity.merge(group.apply(servers.get(i)), servers.get(i).capacity(), Double::sum));
            for (int i : usable) {
                String g = group.apply(servers.get(i));
                expected[i] += groups.getOrDefault(g, 0) * servers.get(i).capacity() / capacity.get(g);
            }
        });
        return expected;
    }
}
