package calicochute.bandit;

import calicochute.outcomes.AggregateRow;
import calicochute.outcomes.DispatchResult;
import calicochute.outcomes.OutcomeKey;
import calicochute.outcomes.Snapshots;
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
import java.util.function.DoublePredicate;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates a fleet in virtual time: thin traffic that differs by balancer, FIFO servers of two cores, and rows that
 * arrive 2 s after the end of their window, a tenth of them lost at each reader. All times are in microseconds.
 */
final class BanditSimulation {
    static final int SERVERS = 60;
    /** Capacities of the kinds of servers. */
    static final double[] KIND_CAPACITIES = {0.64, 0.8, 0.95, 1.1};
    /** End of the part without slow servers. */
    static final long QUIET_END = 40_000_000;

    static final long END = 112_000_000;
    static final long DEADLINE = 1_500_000;
    /** Resolution of the dispatch counts. */
    static final long STEP = 100_000;

    private static final long WINDOW = 2_000_000;
    /** When a few servers become slow; each seed places it differently within a window. */
    final long slowFrom;
    /** When the slow servers recover; each seed places it differently within a window. */
    final long slowUntil;

    final int balancers;
    final double baseServiceTime;
    final double[] capacity = new double[SERVERS];
    /** Dispatches by server and step. */
    final int[][] sent = new int[SERVERS][(int) (END / STEP) + 1];

    /** Latencies in milliseconds of the sessions before servers become slow. */
    final List<Double> quietLatencies = new ArrayList<>();
    /** Latencies in milliseconds of the sessions while servers are slow. */
    final List<Double> slowLatencies = new ArrayList<>();

    private final List<ListedServer> listed = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    /** When each core of each server becomes free. */
    private final long[][] freeAt = new long[SERVERS][2];
    /** Tallies by window, server and balancer. */
    private final Map<Long, Map<Integer, Map<Integer, Tally>>> tallies = new TreeMap<>();

    private final UniformRandomProvider serviceRandom;
    private final UniformRandomProvider lossRandom;

    /** The end of a dispatch, or the arrival of a session where the server is -1. */
    private record Event(long at, long number, int balancer, int server, long sentAt, boolean failed)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Whether a server is one of the eight that become slow. */
    static boolean becomesSlow(int server) {
        return server % 15 < 2;
    }

    BanditSimulation(String strategyName, int balancers, long seed) {
        this.balancers = balancers;
        slowFrom = QUIET_END + seed * 700_000 % WINDOW;
        slowUntil = 80_000_000 + seed * 500_000 % WINDOW;
        serviceRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
        lossRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
        UniformRandomProvider arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int s = 0; s < SERVERS; s++) {
            capacity[s] = KIND_CAPACITIES[s * 7 % 4];
            String id = "server-" + s;
            listed.add(new ListedServer(id, 0, "kind-" + s * 7 % 4, "zone", 1, true));
            numbers.put(id, s);
        }
        baseServiceTime = Math.min(150_000, 0.55e6 * 2 * Arrays.stream(capacity).sum() / (3.5 * balancers));
        Strategy[] strategies = new Strategy[balancers];
        SimulatedBalancer[] members = new SimulatedBalancer[balancers];
        double[] rates = new double[balancers];
        Set<String> live = new TreeSet<>();
        int subsetSize = Math.max(12, (int) Math.ceil(8.0 * SERVERS / balancers));
        PriorityQueue<Event> events = new PriorityQueue<>();
        long number = 0;
        for (int b = 0; b < balancers; b++) {
            int from = (int) ((long) b * SERVERS * 8 / balancers % SERVERS);
            int[] subset = new int[subsetSize];
            Arrays.setAll(subset, i -> (from + i) % SERVERS);
            members[b] =
                    new SimulatedBalancer(SERVERS, subset, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1000 + b));
            strategies[b] = Strategy.of(strategyName, "balancer-" + b, seed);
            live.add("balancer-" + b);
            rates[b] = 2 + 3 * arrivals.nextDouble();
            events.add(new Event(nextGap(arrivals, rates[b]), number++, b, -1, 0, false));
        }
        long tick = 0;
        while (!events.isEmpty() && events.peek().at < END) {
            Event event = events.poll();
            for (; tick <= event.at; tick += 250_000) {
                tick(tick, strategies, members, live);
            }
            if (event.server >= 0) {
                double log = members[event.balancer].onEnded(event.at, event.server, event.sentAt, event.failed);
                tallies.computeIfAbsent(event.sentAt / WINDOW, w -> new TreeMap<>())
                        .computeIfAbsent(event.server, s -> new TreeMap<>())
                        .merge(
                                event.balancer,
                                Tally.of(
                                        event.failed ? DispatchResult.TIMED_OUT : DispatchResult.WITHIN_OBJECTIVE, log),
                                Tally::plus);
                continue;
            }
            int server = members[event.balancer].pick(event.at, strategies[event.balancer].randomShare());
            members[event.balancer].onSent(event.at, server);
            sent[server][(int) (event.at / STEP)]++;
            long latency = serve(event.at, server) - event.at;
            if (event.at > 20_000_000) {
                (event.at < slowFrom ? quietLatencies : event.at < slowUntil ? slowLatencies : new ArrayList<Double>())
                        .add(Math.min(latency, DEADLINE) / 1e3);
            }
            events.add(new Event(
                    event.at + Math.min(latency, DEADLINE),
                    number++,
                    event.balancer,
                    server,
                    event.at,
                    latency > DEADLINE));
            events.add(new Event(
                    event.at + nextGap(arrivals, rates[event.balancer]), number++, event.balancer, -1, 0, false));
        }
    }

    private static long nextGap(UniformRandomProvider random, double ratePerSecond) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * 1e6);
    }

    /** Queues a dispatch at the core that is free first; returns when it is answered. */
    private long serve(long now, int server) {
        int core = freeAt[server][0] <= freeAt[server][1] ? 0 : 1;
        long start = Math.max(now, freeAt[server][core]);
        double slowdown = becomesSlow(server) && start >= slowFrom && start < slowUntil ? 5 : 1;
        // Gamma distribution of shape 4, with a coefficient of variation of a half.
        double parts = 0;
        for (int i = 0; i < 4; i++) {
            parts -= Math.log(1 - serviceRandom.nextDouble()) / 4;
        }
        return freeAt[server][core] = start + 1 + (long) (parts * baseServiceTime / capacity[server] * slowdown);
    }

    private void tick(long now, Strategy[] strategies, SimulatedBalancer[] members, Set<String> live) {
        if (now % WINDOW == 0) {
            long newest = now / WINDOW - 2;
            tallies.keySet().removeIf(w -> w < newest - 4);
            List<AggregateRow> rows = new ArrayList<>();
            tallies.forEach((window, byServer) -> {
                if (window <= newest) {
                    byServer.forEach((server, byBalancer) -> rows.add(Snapshots.row(
                            new OutcomeKey("server-" + server, 0, "lane", ""), window, byBalancer.values())));
                }
            });
            for (Strategy strategy : strategies) {
                strategy.update(
                        now,
                        Snapshots.of(rows.stream()
                                .filter(r -> lossRandom.nextDouble() >= 0.1)
                                .toList()),
                        live,
                        listed);
            }
        }
        for (int b = 0; b < balancers; b++) {
            members[b].setAdvice(strategies[b].advise(now), numbers);
        }
    }

    /** Dispatches to the selected servers in [from, until). */
    double sent(IntPredicate selected, long from, long until) {
        double sum = 0;
        for (int s = 0; s < SERVERS; s++) {
            for (int i = (int) (from / STEP); selected.test(s) && i < until / STEP; i++) {
                sum += sent[s][i];
            }
        }
        return sum;
    }

    private double slowServersShare(long from, long until) {
        return sent(BanditSimulation::becomesSlow, from, until) / sent(s -> true, from, until);
    }

    /** The greatest and the least load relative to capacity, divided by the mean load; averages of two bins of 10 s. */
    double[] evenness() {
        return evenness(s ->
                new double[] {sent(x -> x == s, 20_000_000, 30_000_000), sent(x -> x == s, 30_000_000, 40_000_000)});
    }

    private double[] evenness(IntFunction<double[]> dispatchesByBin) {
        double[] result = new double[2];
        for (int bin = 0; bin < 2; bin++) {
            double all = 0;
            double most = 0;
            double least = Double.MAX_VALUE;
            double totalCapacity = Arrays.stream(capacity).sum();
            for (int s = 0; s < SERVERS; s++) {
                double dispatches = dispatchesByBin.apply(s)[bin];
                all += dispatches;
                most = Math.max(most, dispatches / capacity[s]);
                least = Math.min(least, dispatches / capacity[s]);
            }
            result[0] += most / (all / totalCapacity) / 2;
            result[1] += least / (all / totalCapacity) / 2;
        }
        return result;
    }

    /** The evenness if each session were sent to a random server, with probability proportional to capacity. */
    double[] randomEvenness() {
        double totalCapacity = Arrays.stream(capacity).sum();
        double[][] dispatches = new double[SERVERS][2];
        for (int bin = 0; bin < 2; bin++) {
            int count = (int) sent(s -> true, 20_000_000 + bin * 10_000_000L, 30_000_000 + bin * 10_000_000L);
            for (int i = 0; i < count; i++) {
                double position = lossRandom.nextDouble() * totalCapacity;
                int server = 0;
                while ((position -= capacity[server]) >= 0 && server < SERVERS - 1) {
                    server++;
                }
                dispatches[server][bin]++;
            }
        }
        return evenness(s -> dispatches[s]);
    }

    /** Seconds from the slowdown to the first second in which the slow servers get under 25% of their usual share. */
    double secondsToLeave() {
        return secondsUntil(slowFrom, slowUntil, 1_000_000, share -> share < 0.25);
    }

    /** Seconds from the end of the slowdown to the first two seconds with 90% of the usual share. */
    double secondsToReturn() {
        return secondsUntil(slowUntil, END, 2_000_000, share -> share >= 0.9);
    }

    private double secondsUntil(long from, long end, long length, DoublePredicate reached) {
        double usual = slowServersShare(20_000_000, QUIET_END);
        for (long at = from; at + length <= end; at += STEP) {
            if (reached.test(slowServersShare(at, at + length) / usual)) {
                return (at - from) / 1e6;
            }
        }
        return Double.NaN;
    }

    /** Dispatches a minute to each slow server, from ten seconds after the slowdown on. */
    double trialsPerMinute() {
        return sent(BanditSimulation::becomesSlow, slowFrom + 10_000_000, slowUntil) / 30 * 60 / 8;
    }

    static double quantile(Collection<Double> values, double level) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, level * sorted.length)];
    }

    /** Prints a table that compares the strategies (or those of the arguments), with three seeds each. */
    public static void main(String[] args) {
        System.out.println(
                "| balancers | strategy | max/mean | min/mean | leaves (s) | returns (s) | trials a minute | p50/p99 quiet (ms) | p50/p99 slow (ms) |");
        for (int balancers : new int[] {30, 100, 300}) {
            for (String strategy :
                    args.length > 0 ? args : new String[] {"chance", "none", "thompson", "ucb", "exp3", "epsilon"}) {
                double[] means = new double[9];
                for (int seed = 1; seed <= 3; seed++) {
                    BanditSimulation simulation =
                            new BanditSimulation(strategy.equals("chance") ? "none" : strategy, balancers, seed);
                    double[] evenness = strategy.equals("chance") ? simulation.randomEvenness() : simulation.evenness();
                    double[] figures = {
                        evenness[0],
                        evenness[1],
                        simulation.secondsToLeave(),
                        simulation.secondsToReturn(),
                        simulation.trialsPerMinute(),
                        quantile(simulation.quietLatencies, 0.5),
                        quantile(simulation.quietLatencies, 0.99),
                        quantile(simulation.slowLatencies, 0.5),
                        quantile(simulation.slowLatencies, 0.99)
                    };
                    for (int i = 0; i < figures.length; i++) {
                        means[i] += figures[i] / 3;
                    }
                }
                System.out.println(String.format(
                        "| %d | %s | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f / %.0f | %.0f / %.0f |",
                        balancers, strategy, means[0], means[1], means[2], means[3], means[4], means[5], means[6],
                        means[7], means[8]));
            }
        }
    }
}
