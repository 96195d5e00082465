package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How evenly a tier's dispatches are distributed over its eligible servers (up, warm, hit by no trouble), compared with
 * a random choice weighted by capacity on the same arrivals. Times in the components are seconds from the start of the
 * run; those of the methods are microseconds.
 *
 * @param windows of 10 s, one starting each second
 * @param phases the parts of the run between the beginnings and ends of troubles
 * @param herd the most balancers that sent to one server within 100 ms
 * @param herdByChance the same for the random choice, the mean over the simulated rounds
 * @param sick the dispatches to the servers that each trouble hit
 */
public record Evenness(
        String tier,
        List<Window> windows,
        List<Phase> phases,
        int herd,
        double herdByChance,
        List<TroubleResponse> sick) {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long WINDOW_MICROS = 10 * SECOND_MICROS;
    /** Skipped at the start of each phase, while balancers are still adapting to the beginning or end of a trouble. */
    private static final long SETTLING_MICROS = 2 * SECOND_MICROS;

    /** The load of a window against an expectation proportional to capacity. */
    public record Window(double from, double to, int servers, int dispatches, Load load, Load byChance) {}

    /**
     * A phase of the run.
     *
     * @param power the exponent for which dispatches are most likely, if they are proportional to a power of capacity
     * @param noise the spread that independent random choices have by themselves (Poisson)
     * @param parts the load against each {@link LoadBreakdown.Expectation}
     */
    public record Phase(
            double from, double to, int servers, int dispatches, double power, double noise, List<Part> parts) {}

    /** The load against one expectation, and the same for the random choice. */
    public record Part(String against, Load load, Load byChance) {}

    /**
     * Analyses the dispatches of a tier.
     *
     * @param dispatches in the order of their times, from the start of the run; negative times are in the lead-in
     * @param lengthMicros of the run
     * @param random draws the choices of the baseline
     */
    public static Evenness of(
            String tier,
            List<Server> servers,
            List<Dispatch> dispatches,
            EligibleServers eligible,
            long lengthMicros,
            List<TroubleResponse.TroubleInterval> troubles,
            UniformRandomProvider random) {
        List<List<Dispatch>> rounds = RandomBaseline.simulate(servers, dispatches, eligible, random);
        List<Window> windows = new ArrayList<>();
        long span = Math.min(WINDOW_MICROS, lengthMicros);
        int[][] actual = countsBySecond(servers.size(), dispatches, lengthMicros);
        List<int[][]> byChance = rounds.stream()
                .map(r -> countsBySecond(servers.size(), r, lengthMicros))
                .toList();
        for (long from = 0; from + span <= lengthMicros; from += SECOND_MICROS) {
            windows.add(window(servers, actual, byChance, eligible, from, from + span));
        }
        List<Phase> phases = new ArrayList<>();
        Set<Long> edges = new TreeSet<>(Set.of(0L, lengthMicros));
        troubles.forEach(t -> edges.addAll(new LinkedHashSet<>(
                List.of(Math.min(lengthMicros, t.fromMicros()), Math.min(lengthMicros, t.toMicros())))));
        Long last = null;
        for (long edge : edges) {
            if (last != null && edge - last >= 2 * SETTLING_MICROS) {
                phases.add(phase(servers, dispatches, rounds, eligible, last + SETTLING_MICROS, edge));
            }
            last = edge;
        }
        return new Evenness(
                tier,
                windows,
                phases,
                ConcurrentSenders.max(dispatches),
                rounds.stream().mapToInt(ConcurrentSenders::max).average().orElse(0),
                troubles.stream()
                        .map(t -> TroubleResponse.of(t, servers, dispatches, lengthMicros))
                        .toList());
    }

    private static List<Dispatch> within(List<Dispatch> dispatches, long from, long to) {
        return dispatches.stream()
                .filter(d -> d.atMicros() >= from && d.atMicros() < to)
                .toList();
    }

    /** Counts the dispatches to each server in each second. */
    private static int[][] countsBySecond(int servers, List<Dispatch> dispatches, long lengthMicros) {
        int[][] counts = new int[(int) ((lengthMicros + SECOND_MICROS - 1) / SECOND_MICROS)][servers];
        for (Dispatch d : dispatches) {
            if (d.atMicros() >= 0 && d.atMicros() < lengthMicros) {
                counts[(int) (d.atMicros() / SECOND_MICROS)][d.server()]++;
            }
        }
        return counts;
    }

    private static int[] sum(int[][] bySecond, long from, long to) {
        int[] sum = new int[bySecond[0].length];
        for (int second = (int) (from / SECOND_MICROS); second * SECOND_MICROS < to; second++) {
            for (int s = 0; s < sum.length; s++) {
                sum[s] += bySecond[second][s];
            }
        }
        return sum;
    }

    private static Window window(
            List<Server> servers,
            int[][] actual,
            List<int[][]> rounds,
            EligibleServers eligibleServers,
            long from,
            long to) {
        BitSet eligible = eligibleServers.throughout(from, to);
        double[] capacities = LoadBreakdown.capacities(servers);
        int[] counts = sum(actual, from, to);
        Load byChance = Load.mean(rounds.stream()
                .map(r -> Load.of(sum(r, from, to), capacities, eligible))
                .toList());
        return new Window(
                from / 1e6,
                to / 1e6,
                eligible.cardinality(),
                eligible.stream().map(s -> counts[s]).sum(),
                Load.of(counts, capacities, eligible),
                byChance);
    }

    private static Phase phase(
            List<Server> servers,
            List<Dispatch> all,
            List<List<Dispatch>> rounds,
            EligibleServers eligibleServers,
            long from,
            long to) {
        BitSet eligible = eligibleServers.throughout(from, to);
        List<Dispatch> inPhase = within(all, from, to);
        LoadBreakdown actual = new LoadBreakdown(servers, eligible, inPhase, all);
        List<LoadBreakdown> byChance = rounds.stream()
                .map(r -> new LoadBreakdown(servers, eligible, within(r, from, to), r))
                .toList();
        List<Part> parts = new ArrayList<>();
        for (LoadBreakdown.Expectation expectation : LoadBreakdown.Expectation.values()) {
            parts.add(new Part(
                    expectation.label(),
                    actual.load(expectation),
                    Load.mean(byChance.stream().map(p -> p.load(expectation)).toList())));
        }
        int sent = (int) inPhase.stream().filter(d -> eligible.get(d.server())).count();
        return new Phase(
                from / 1e6,
                to / 1e6,
                eligible.cardinality(),
                sent,
                actual.power(),
                sent == 0 ? 0 : Math.sqrt((double) eligible.cardinality() / sent),
                parts);
    }
}
