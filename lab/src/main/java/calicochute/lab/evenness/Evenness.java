package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How evenly a tier's dispatches lay on its servers with room (up, warm, in no trouble), against what a pick at random
 * by capacity gives on the same arrivals. Computed from records of dispatches, without I/O. Times are seconds from the
 * run's start.
 *
 * @param windows of 10 s, one each second
 * @param phases of the run between the edges of troubles, with what the unevenness is made of
 * @param herd the most balancers that sent to one server within 100 ms, and so by chance
 */
public record Evenness(
        String tier, List<Window> windows, List<Phase> phases, int herd, double herdByChance, List<Sick> sick) {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 10 * SECOND;
    /** A phase counts from so long after a trouble's edge: before, what is learnt is that there is one. */
    private static final long SETTLED = 2 * SECOND;

    /** Dispatches by capacity. */
    public record Window(double from, double to, int servers, int dispatches, Load load, Load byChance) {}

    /**
     * A phase and its parts. {@code power} is that of capacity which dispatches follow best; {@code noise} the spread
     * that independent picks alone have (Poisson).
     */
    public record Phase(
            double from, double to, int servers, int dispatches, double power, double noise, List<Part> parts) {}

    /** The load against one expectation, and the same for picks by chance. */
    public record Part(String against, Load load, Load byChance) {}

    /**
     * @param dispatches in the order of their times, microseconds from the run's start; negative ones are the lead-in's
     */
    public static Evenness of(
            String tier,
            List<Server> servers,
            List<Dispatch> dispatches,
            Room room,
            long length,
            List<Sick.Trouble> troubles,
            UniformRandomProvider chance) {
        List<List<Dispatch>> rounds = Chance.play(servers, dispatches, room, chance);
        List<Window> windows = new ArrayList<>();
        long span = Math.min(WINDOW, length);
        int[][] own = bySecond(servers.size(), dispatches, length);
        List<int[][]> byChance =
                rounds.stream().map(r -> bySecond(servers.size(), r, length)).toList();
        for (long from = 0; from + span <= length; from += SECOND) {
            windows.add(window(servers, own, byChance, room, from, from + span));
        }
        List<Phase> phases = new ArrayList<>();
        Set<Long> edges = new TreeSet<>(Set.of(0L, length));
        troubles.forEach(t ->
                edges.addAll(new LinkedHashSet<>(List.of(Math.min(length, t.from()), Math.min(length, t.to())))));
        Long last = null;
        for (long edge : edges) {
            if (last != null && edge - last >= 2 * SETTLED) {
                phases.add(phase(servers, dispatches, rounds, room, last + SETTLED, edge));
            }
            last = edge;
        }
        return new Evenness(
                tier,
                windows,
                phases,
                Herd.most(dispatches),
                rounds.stream().mapToInt(Herd::most).average().orElse(0),
                troubles.stream()
                        .map(t -> Sick.of(t, servers, dispatches, length))
                        .toList());
    }

    private static List<Dispatch> within(List<Dispatch> dispatches, long from, long to) {
        return dispatches.stream().filter(d -> d.at() >= from && d.at() < to).toList();
    }

    /** How many came to each server in each second. */
    private static int[][] bySecond(int servers, List<Dispatch> dispatches, long length) {
        int[][] counts = new int[(int) ((length + SECOND - 1) / SECOND)][servers];
        for (Dispatch d : dispatches) {
            if (d.at() >= 0 && d.at() < length) {
                counts[(int) (d.at() / SECOND)][d.server()]++;
            }
        }
        return counts;
    }

    private static int[] sum(int[][] bySecond, long from, long to) {
        int[] sum = new int[bySecond[0].length];
        for (int second = (int) (from / SECOND); second * SECOND < to; second++) {
            for (int s = 0; s < sum.length; s++) {
                sum[s] += bySecond[second][s];
            }
        }
        return sum;
    }

    private static Window window(
            List<Server> servers, int[][] own, List<int[][]> rounds, Room room, long from, long to) {
        BitSet with = room.all(from, to);
        double[] capacities = Parts.capacities(servers);
        int[] seen = sum(own, from, to);
        Load byChance = Load.mean(rounds.stream()
                .map(r -> Load.of(sum(r, from, to), capacities, with))
                .toList());
        return new Window(
                from / 1e6,
                to / 1e6,
                with.cardinality(),
                with.stream().map(s -> seen[s]).sum(),
                Load.of(seen, capacities, with),
                byChance);
    }

    private static Phase phase(
            List<Server> servers, List<Dispatch> all, List<List<Dispatch>> rounds, Room room, long from, long to) {
        BitSet with = room.all(from, to);
        List<Dispatch> here = within(all, from, to);
        Parts own = new Parts(servers, with, here, all);
        List<Parts> byChance = rounds.stream()
                .map(r -> new Parts(servers, with, within(r, from, to), r))
                .toList();
        List<Part> parts = new ArrayList<>();
        for (Parts.Against against : Parts.Against.values()) {
            parts.add(new Part(
                    against.words(),
                    own.load(against),
                    Load.mean(byChance.stream().map(p -> p.load(against)).toList())));
        }
        int sent = (int) here.stream().filter(d -> with.get(d.server())).count();
        return new Phase(
                from / 1e6,
                to / 1e6,
                with.cardinality(),
                sent,
                own.power(),
                sent == 0 ? 0 : Math.sqrt((double) with.cardinality() / sent),
                parts);
    }
}
