package calicochute.decision;

import java.util.Map;

/**
 * What a module has learnt, for the module that takes over from it. Stored in a file under the component names.
 *
 * @param servers estimates by backend id
 * @param classes estimates by class name
 * @param typical mean speed of the backends in the subset, relative to the class's typical latency
 * @param limit limit on open requests
 * @param aimRatio share of the latency objective's slack that queueing takes
 * @param warmRate answers a second from a warm backend of mean size
 * @param answerRate answers a second from all backends
 * @param retryTokens retries saved up
 */
public record LearntState(
        Map<String, ServerEstimate> servers,
        Map<String, ClassEstimate> classes,
        double typical,
        double limit,
        double aimRatio,
        double warmRate,
        double answerRate,
        double retryTokens) {
    /**
     * Estimate of one start of a backend.
     *
     * @param speed relative to the class's typical latency
     * @param polled whether a request has been sent to it since it started
     * @param startedAt when it started, microseconds; identifies the start
     */
    public record ServerEstimate(double speed, boolean polled, long startedAt) {}

    /**
     * Estimate of one request class.
     *
     * @param latency typical latency, microseconds
     * @param base lowest recent typical latency, microseconds
     * @param answers answers in the estimate
     * @param patience usual time left at arrival, microseconds
     * @param votes arrivals by which the usual time left leads
     */
    public record ClassEstimate(double latency, double base, int answers, long patience, int votes) {}

    /** False for values that no module can have learnt, such as those of a damaged or foreign file. */
    public boolean sane() {
        return servers != null
                && classes != null
                && servers.values().stream().allMatch(server -> server != null && atLeast(server.speed, 0))
                && classes.values().stream()
                        .allMatch(c -> c != null && atLeast(c.latency, 0) && atLeast(c.base, 0) && c.answers >= 0)
                && atLeast(typical, 1e-9)
                && atLeast(limit, 1)
                && atLeast(aimRatio, 0)
                && atLeast(warmRate, 0)
                && atLeast(answerRate, 0)
                && atLeast(retryTokens, 0);
    }

    private static boolean atLeast(double value, double min) {
        return value >= min && value < Double.POSITIVE_INFINITY;
    }
}
