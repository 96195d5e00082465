package calicochute.bandit;

import calicochute.outcomes.End;
import calicochute.outcomes.Pictures;
import calicochute.outcomes.Row;
import calicochute.outcomes.Subject;
import calicochute.outcomes.Tally;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A fleet in virtual time: thin uneven traffic, FIFO servers of two cores, rows 2 s after their window, a tenth of them
 * missing at each reader.
 */
final class Simulation {
    static final int SERVERS = 60;
    static final double[] KINDS = {0.64, 0.8, 0.95, 1.1};
    static final long QUIET = 40_000_000, OVER = 112_000_000, DEADLINE = 1_500_000, STEP = 100_000;
    private static final long WINDOW = 2_000_000;
    /** When a few servers become slow and well again: in each seed at another part of a window. */
    final long slow;

    final long well;
    final int balancers;
    final double base;
    final double[] capacity = new double[SERVERS];
    /** Dispatches by server and tenth of a second; latencies of sessions in the quiet part. */
    final int[][] sent = new int[SERVERS][(int) (OVER / STEP) + 1];

    final List<Double> latencies = new ArrayList<>();
    final List<Double> sickLatencies = new ArrayList<>();
    private final List<Listed> listed = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final long[][] free = new long[SERVERS][2];
    private final Map<Long, Map<Integer, Map<Integer, Tally>>> tallies = new TreeMap<>();
    private final UniformRandomProvider service;
    private final UniformRandomProvider loss;

    private record Event(long at, long number, int balancer, int server, long sentAt, boolean failed)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    static boolean slowed(int server) {
        return server % 15 < 2;
    }

    Simulation(String rule, int balancers, long seed) {
        this.balancers = balancers;
        slow = QUIET + seed * 700_000 % WINDOW;
        well = 80_000_000 + seed * 500_000 % WINDOW;
        service = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        loss = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
        UniformRandomProvider arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int s = 0; s < SERVERS; s++) {
            capacity[s] = KINDS[s * 7 % 4];
            String id = "server-" + s;
            listed.add(new Listed(id, 0, "kind-" + s * 7 % 4, "zone", 1, true));
            numbers.put(id, s);
        }
        base = Math.min(150_000, 0.55e6 * 2 * Arrays.stream(capacity).sum() / (3.5 * balancers));
        Adviser[] advisers = new Adviser[balancers];
        Chooser[] choosers = new Chooser[balancers];
        double[] rates = new double[balancers];
        Set<String> live = new TreeSet<>();
        int size = Math.max(12, (int) Math.ceil(8.0 * SERVERS / balancers));
        PriorityQueue<Event> events = new PriorityQueue<>();
        long number = 0;
        for (int b = 0; b < balancers; b++) {
            int from = (int) ((long) b * SERVERS * 8 / balancers % SERVERS);
            int[] use = new int[size];
            Arrays.setAll(use, i -> (from + i) % SERVERS);
            choosers[b] = new Chooser(SERVERS, use, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1000 + b));
            advisers[b] = Adviser.of(rule, "balancer-" + b, seed);
            live.add("balancer-" + b);
            rates[b] = 2 + 3 * arrivals.nextDouble();
            events.add(new Event(gap(arrivals, rates[b]), number++, b, -1, 0, false));
        }
        long tick = 0;
        while (!events.isEmpty() && events.peek().at < OVER) {
            Event e = events.poll();
            for (; tick <= e.at; tick += 250_000) {
                tick(tick, advisers, choosers, live);
            }
            if (e.server >= 0) {
                double log = choosers[e.balancer].ended(e.at, e.server, e.sentAt, e.failed);
                tallies.computeIfAbsent(e.sentAt / WINDOW, w -> new TreeMap<>())
                        .computeIfAbsent(e.server, s -> new TreeMap<>())
                        .merge(e.balancer, Tally.of(e.failed ? End.TIMED_OUT : End.IN_AIM, log), Tally::plus);
                continue;
            }
            int s = choosers[e.balancer].pick(e.at, advisers[e.balancer].anywhere());
            choosers[e.balancer].sent(e.at, s);
            sent[s][(int) (e.at / STEP)]++;
            long took = serve(e.at, s) - e.at;
            if (e.at > 20_000_000) {
                (e.at < slow ? latencies : e.at < well ? sickLatencies : new ArrayList<Double>())
                        .add(Math.min(took, DEADLINE) / 1e3);
            }
            events.add(new Event(e.at + Math.min(took, DEADLINE), number++, e.balancer, s, e.at, took > DEADLINE));
            events.add(new Event(e.at + gap(arrivals, rates[e.balancer]), number++, e.balancer, -1, 0, false));
        }
    }

    private static long gap(UniformRandomProvider random, double rate) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) / rate * 1e6);
    }

    private long serve(long now, int s) {
        int core = free[s][0] <= free[s][1] ? 0 : 1;
        long start = Math.max(now, free[s][core]);
        double slower = slowed(s) && start >= slow && start < well ? 5 : 1;
        // Gamma of four parts: a coefficient of variation of a half.
        double parts = 0;
        for (int i = 0; i < 4; i++) {
            parts -= Math.log(1 - service.nextDouble()) / 4;
        }
        return free[s][core] = start + 1 + (long) (parts * base / capacity[s] * slower);
    }

    private void tick(long now, Adviser[] advisers, Chooser[] choosers, Set<String> live) {
        if (now % WINDOW == 0) {
            long newest = now / WINDOW - 2;
            tallies.keySet().removeIf(w -> w < newest - 4);
            List<Row> rows = new ArrayList<>();
            tallies.forEach((w, of) -> {
                if (w <= newest) {
                    of.forEach((s, by) ->
                            rows.add(Pictures.row(new Subject("server-" + s, 0, "lane", ""), w, by.values())));
                }
            });
            for (Adviser a : advisers) {
                a.heard(
                        now,
                        Pictures.of(rows.stream()
                                .filter(r -> loss.nextDouble() >= 0.1)
                                .toList()),
                        live,
                        listed);
            }
        }
        for (int b = 0; b < balancers; b++) {
            choosers[b].advised(advisers[b].advise(now), numbers);
        }
    }

    /** Dispatches in [from, to) to the servers. */
    double sent(IntPredicate to, long from, long until) {
        double sum = 0;
        for (int s = 0; s < SERVERS; s++) {
            for (int i = (int) (from / STEP); to.test(s) && i < until / STEP; i++) {
                sum += sent[s][i];
            }
        }
        return sum;
    }

    private double share(long from, long until) {
        return sent(Simulation::slowed, from, until) / sent(s -> true, from, until);
    }

    /** Greatest and least load by capacity, by the mean, over 10 s. */
    double[] evenness() {
        return evenness(s ->
                new double[] {sent(x -> x == s, 20_000_000, 30_000_000), sent(x -> x == s, 30_000_000, 40_000_000)});
    }

    private double[] evenness(java.util.function.IntFunction<double[]> of) {
        double[] result = new double[2];
        for (int bin = 0; bin < 2; bin++) {
            double all = 0,
                    most = 0,
                    least = Double.MAX_VALUE,
                    room = Arrays.stream(capacity).sum();
            for (int s = 0; s < SERVERS; s++) {
                double many = of.apply(s)[bin];
                all += many;
                most = Math.max(most, many / capacity[s]);
                least = Math.min(least, many / capacity[s]);
            }
            result[0] += most / (all / room) / 2;
            result[1] += least / (all / room) / 2;
        }
        return result;
    }

    /** The same, each session sent at random by capacity. */
    double[] chance() {
        double room = Arrays.stream(capacity).sum();
        double[][] many = new double[SERVERS][2];
        for (int bin = 0; bin < 2; bin++) {
            int n = (int) sent(s -> true, 20_000_000 + bin * 10_000_000L, 30_000_000 + bin * 10_000_000L);
            for (int i = 0; i < n; i++) {
                double at = loss.nextDouble() * room;
                int s = 0;
                while ((at -= capacity[s]) >= 0 && s < SERVERS - 1) {
                    s++;
                }
                many[s][bin]++;
            }
        }
        return evenness(s -> many[s]);
    }

    /** Seconds from the slowdown until the first second in which the slowed get under a quarter of their share. */
    double leaves() {
        return until(slow, well, 1_000_000, share -> share < 0.25);
    }

    /** Seconds from the end of it until the first two seconds with nine tenths. */
    double returns() {
        return until(well, OVER, 2_000_000, share -> share >= 0.9);
    }

    private double until(long from, long end, long length, java.util.function.DoublePredicate reached) {
        double usual = share(20_000_000, QUIET);
        for (long at = from; at + length <= end; at += STEP) {
            if (reached.test(share(at, at + length) / usual)) {
                return (at - from) / 1e6;
            }
        }
        return Double.NaN;
    }

    /** Dispatches a minute to each slowed server, ten seconds on. */
    double tries() {
        return sent(Simulation::slowed, slow + 10_000_000, well) / 30 * 60 / 8;
    }

    static double quantile(Collection<Double> of, double q) {
        double[] sorted = of.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, q * sorted.length)];
    }

    /** The table of docs/bandit.md: three seeds each. */
    public static void main(String[] args) {
        System.out.println(
                "| balancers | rule | max/mean | min/mean | leaves (s) | returns (s) | tries a minute | p50/p99 quiet (ms) | p50/p99 slow (ms) |");
        for (int balancers : new int[] {30, 100, 300}) {
            for (String rule :
                    args.length > 0 ? args : new String[] {"chance", "none", "thompson", "ucb", "exp3", "epsilon"}) {
                double[] sum = new double[9];
                for (int seed = 1; seed <= 3; seed++) {
                    Simulation sim = new Simulation(rule.equals("chance") ? "none" : rule, balancers, seed);
                    double[] even = rule.equals("chance") ? sim.chance() : sim.evenness();
                    double[] of = {
                        even[0],
                        even[1],
                        sim.leaves(),
                        sim.returns(),
                        sim.tries(),
                        quantile(sim.latencies, 0.5),
                        quantile(sim.latencies, 0.99),
                        quantile(sim.sickLatencies, 0.5),
                        quantile(sim.sickLatencies, 0.99)
                    };
                    for (int i = 0; i < of.length; i++) {
                        sum[i] += of[i] / 3;
                    }
                }
                System.out.println(String.format(
                        "| %d | %s | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f / %.0f | %.0f / %.0f |",
                        balancers, rule, sum[0], sum[1], sum[2], sum[3], sum[4], sum[5], sum[6], sum[7], sum[8]));
            }
        }
    }
}
