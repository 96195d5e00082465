package calicochute.lab.evenness;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Breaks the unevenness of the load down by cause: it compares the load with a series of expectations, each of which
 * takes one more property of the distribution into account. The decrease of the spread from one expectation to the next
 * is due to that property. What the last one leaves over the spread of the random baseline is due to neither kind,
 * speed, zone nor subset.
 */
public final class LoadBreakdown {
    /** The expected number of dispatches of a server. */
    public enum Expectation {
        /** The same for all servers. */
        EQUAL("alike"),
        /** Proportional to its capacity, by its kind and its own speed. */
        CAPACITY("by capacity"),
        /** Proportional to the power of its capacity that fits best. */
        POWER("by a power of capacity"),
        /** Proportional to capacity among the servers of its kind, given the dispatches to that kind. */
        KIND("within the kind"),
        /** Proportional to capacity among the servers of its kind and zone, given the dispatches to them. */
        ZONE_AND_KIND("within zone and kind"),
        /** The same for each balancer by itself, among the servers that it ever sent to. */
        SUBSET("within zone, kind and subset");

        private final String label;

        Expectation(String label) {
            this.label = label;
        }

        /** The name of the expectation in results and reports. */
        public String label() {
            return label;
        }
    }

    private final List<Server> servers;
    private final BitSet eligible;
    private final List<Dispatch> dispatches;
    private final Map<Integer, Set<Integer>> serversOfBalancer;
    private final int[] counts;

    /** @param wholeRun all dispatches of the run, from which the servers that each balancer uses are taken */
    LoadBreakdown(List<Server> servers, BitSet eligible, List<Dispatch> dispatches, List<Dispatch> wholeRun) {
        this.servers = servers;
        this.eligible = eligible;
        this.dispatches =
                dispatches.stream().filter(d -> eligible.get(d.server())).toList();
        serversOfBalancer = new HashMap<>();
        wholeRun.forEach(d -> serversOfBalancer
                .computeIfAbsent(d.balancer(), b -> new HashSet<>())
                .add(d.server()));
        counts = counts(servers.size(), this.dispatches);
    }

    static int[] counts(int servers, List<Dispatch> dispatches) {
        int[] counts = new int[servers];
        dispatches.forEach(d -> counts[d.server()]++);
        return counts;
    }

    static double[] capacities(List<Server> servers) {
        return servers.stream().mapToDouble(Server::capacity).toArray();
    }

    Load load(Expectation expectation) {
        return Load.of(
                counts,
                switch (expectation) {
                    case EQUAL -> servers.stream().mapToDouble(s -> 1).toArray();
                    case CAPACITY -> capacities(servers);
                    case POWER -> poweredCapacities(power());
                    case KIND -> expectedWithin(Server::kind);
                    case ZONE_AND_KIND -> expectedWithin(s -> s.zone() + " " + s.kind());
                    case SUBSET -> expectedWithinSubsets();
                },
                eligible);
    }

    private double[] poweredCapacities(double power) {
        return servers.stream().mapToDouble(s -> Math.pow(s.capacity(), power)).toArray();
    }

    /**
     * The power of capacity that dispatches are proportional to: the maximum likelihood estimate, by Newton's method.
     */
    double power() {
        double count = dispatches.size();
        double sum = dispatches.stream()
                .mapToDouble(d -> Math.log(servers.get(d.server()).capacity()))
                .sum();
        double power = 1;
        for (int step = 0; step < 50 && count > 0; step++) {
            double weights = 0;
            double first = 0;
            double second = 0;
            for (int s = eligible.nextSetBit(0); s >= 0; s = eligible.nextSetBit(s + 1)) {
                double logCapacity = Math.log(servers.get(s).capacity());
                double weight = Math.exp(power * logCapacity);
                weights += weight;
                first += weight * logCapacity;
                second += weight * logCapacity * logCapacity;
            }
            double mean = first / weights;
            double variance = second / weights - mean * mean;
            if (variance < 1e-12) {
                // All capacities are equal, so every power gives the same expectation.
                return 1;
            }
            power = Math.max(-20, Math.min(20, power + (sum / count - mean) / variance));
        }
        return power;
    }

    private double[] expectedWithin(Function<Server, String> group) {
        Map<String, Integer> sent = new HashMap<>();
        dispatches.forEach(d -> sent.merge(group.apply(servers.get(d.server())), 1, Integer::sum));
        Map<String, Double> capacity = new HashMap<>();
        eligible.stream()
                .mapToObj(servers::get)
                .forEach(s -> capacity.merge(group.apply(s), s.capacity(), Double::sum));
        double[] expected = new double[servers.size()];
        eligible.stream().forEach(i -> {
            Server server = servers.get(i);
            expected[i] =
                    sent.getOrDefault(group.apply(server), 0) * server.capacity() / capacity.get(group.apply(server));
        });
        return expected;
    }

    private double[] expectedWithinSubsets() {
        Function<Server, String> group = s -> s.zone() + " " + s.kind();
        Map<Integer, Map<String, Integer>> sent = new HashMap<>();
        dispatches.forEach(d -> sent.computeIfAbsent(d.balancer(), b -> new HashMap<>())
                .merge(group.apply(servers.get(d.server())), 1, Integer::sum));
        double[] expected = new double[servers.size()];
        sent.forEach((balancer, groups) -> {
            Map<String, Double> capacity = new HashMap<>();
            List<Integer> subset = serversOfBalancer.get(balancer).stream()
                    .filter(eligible::get)
                    .toList();
            subset.forEach(i ->
                    capacity.merge(group.apply(servers.get(i)), servers.get(i).capacity(), Double::sum));
            for (int i : subset) {
                String name = group.apply(servers.get(i));
                expected[i] += groups.getOrDefault(name, 0) * servers.get(i).capacity() / capacity.get(name);
            }
        });
        return expected;
    }
}
