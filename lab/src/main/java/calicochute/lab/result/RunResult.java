package calicochute.lab.result;

import calicochute.lab.evenness.Evenness;
import java.util.List;
import java.util.Map;

/**
 * The result of a run, as stored in result.json. Times are seconds from the start of the run, latencies milliseconds,
 * memory megabytes.
 *
 * @param shows what a reader of the report learns from the run
 * @param ended why the run ended early; null if it is complete. The figures of a partial result are not used.
 * @param invalid why the figures of a complete run are not used either (the timers of the lab ran late); else null
 * @param counters the sums of the balancers' counters
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
    /** The version of the format of result.json. */
    public static final int VERSION = 1;

    public RunResult {
        // Older results do not contain this list.
        evenness = evenness == null ? List.of() : evenness;
    }

    /** Whether the figures may be used: the run is complete and the lab kept its timing. */
    public boolean usable() {
        return ended == null && invalid == null;
    }

    /** A trouble, its time, and the servers, balancers or zone that it hit. */
    public record TroubleBand(String kind, double from, double to, List<String> victims) {}

    /** A rule violation that the referee reported. */
    public record BreachLine(String rule, String balancer, String session, String server, double at, String details) {}

    /**
     * The requests that were first sent in a second of the run.
     *
     * @param asked the worth of all of them
     * @param served the worth of those answered in time
     * @param denied requests that were denied in the end
     * @param denials denied tries of all of them
     */
    public record Second(
            double at, int requests, double asked, double served, int denied, int failed, int late, int denials) {
        /** Returns the share of worth that was answered in time; 1 if there were no requests. */
        public double service() {
            return asked == 0 ? 1 : served / asked;
        }
    }

    /**
     * Percentiles of the time from the planned sending of a request's first try to its answer.
     *
     * @param of the name of the class, or "all"
     */
    public record Latency(String of, long count, double p50, double p90, double p99, double p999, double max) {}

    /**
     * A sample of a server, one a second.
     *
     * @param at the end of the second
     * @param inWork requests in work at that time
     * @param inQueue requests waiting at that time
     * @param dispatches received in the second
     * @param turnedAway requests rejected in the second
     * @param capacityShare the share of its full capacity that the server has
     * @param sluggish whether it is slowed down after overload
     */
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

    /** A sample of a balancer, one a second: mean CPU use in the second, and resident memory at its end. */
    public record BalancerSecond(double at, String balancer, double cores, double memoryMb) {}

    /** The number of requests that had the given number of dispatches at a tier. */
    public record Dispatches(String tier, int dispatches, long requests) {}
}
