package calicochute.decision;

import java.util.Map;

/**
 * What a module has learnt, for the one that takes over from it. All speeds are relative to the class's typical
 * latency, all times microseconds; servers by id, classes by name.
 */
public record Learnt(
        Map<String, OfServer> servers,
        Map<String, OfClass> classes,
        double typical,
        double limit,
        double aimRatio,
        double warmRate,
        double answerRate,
        double retryTokens) {
    /** {@code startedAt} tells whether it is the same start of the server. */
    public record OfServer(double speed, boolean polled, long startedAt) {}

    public record OfClass(double latency, double base, int answers, long patience, int votes) {}

    /** False for what no module can have learnt, such as a file of another origin may hold. */
    public boolean sane() {
        return servers != null
                && classes != null
                && servers.values().stream().allMatch(s -> s != null && at(s.speed, 0))
                && classes.values().stream()
                        .allMatch(c -> c != null && at(c.latency, 0) && at(c.base, 0) && c.answers >= 0)
                && at(typical, 1e-9)
                && at(limit, 1)
                && at(aimRatio, 0)
                && at(warmRate, 0)
                && at(answerRate, 0)
                && at(retryTokens, 0);
    }

    private static boolean at(double value, double least) {
        return value >= least && value < Double.POSITIVE_INFINITY;
    }
}
