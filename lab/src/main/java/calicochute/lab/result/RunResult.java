package calicochute.lab.result;

import calicochute.lab.evenness.Evenness;
import java.util.List;
import java.util.Map;

/**
 * All that is kept of a run, as result.json has it. Times are seconds from the run's start, latencies milliseconds,
 * memory megabytes.
 *
 * @param ended why the run ended early; null for a whole one. A partial result counts nowhere.
 * @param invalid why a whole run counts nowhere all the same (the lab itself ran late); null if it counts
 */
public record RunResult(
        int version,
        String title,
        String shows,
        long seed,
        double length,
        String ended,
        String invalid,
        Map<String, Double> figures,
        List<TroubleBand> troubles,
        List<BreachLine> breaches,
        List<Second> seconds,
        List<Latency> latencies,
        List<ServerSecond> servers,
        List<BalancerSecond> balancers,
        List<Dispatches> dispatches,
        Map<String, Long> counters,
        List<Evenness> evenness) {
    public static final int VERSION = 1;

    public RunResult {
        // Results kept from before they had it.
        evenness = evenness == null ? List.of() : evenness;
    }

    /** Whether its figures may be used. */
    public boolean counts() {
        return ended == null && invalid == null;
    }

    /** A trouble and whom it hit. */
    public record TroubleBand(String kind, double from, double to, List<String> victims) {}

    /** A broken rule, as the referee told it. */
    public record BreachLine(String rule, String balancer, String session, String server, double at, String details) {}

    /** Requests first sent in a second of the run: worth asked for and served in time, and how many ended how. */
    public record Second(
            double at, int requests, double asked, double served, int denied, int failed, int late, int denials) {
        public double service() {
            return asked == 0 ? 1 : served / asked;
        }
    }

    /** Percentiles of the time from the planned sending of a class's first try to its answer. */
    public record Latency(String of, long count, double p50, double p90, double p99, double p999, double max) {}

    public record ServerSecond(
            double at,
            String server,
            int tier,
            int inWork,
            int inQueue,
            long dispatches,
            long turnedAway,
            double capacityShare,
            boolean sluggish) {}

    public record BalancerSecond(double at, String balancer, double cores, double memoryMb) {}

    /** How many requests had so many dispatches at a tier. */
    public record Dispatches(String tier, int dispatches, long requests) {}
}
