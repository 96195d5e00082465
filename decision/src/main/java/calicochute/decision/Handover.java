package calicochute.decision;

import java.util.TreeMap;

/** Copies the learnt state of a module to the module of the next process; makes no decisions. */
public final class Handover {
    private Handover() {}

    /** Exports the learnt state at this moment: speeds are aged and bounded by the age of pending attempts. */
    public static LearntState export(Balancer balancer) {
        Estimates estimates = ((DefaultBalancer) balancer).estimates();
        BalancerState source = estimates.state();
        var servers = new TreeMap<String, LearntState.ServerEstimate>();
        for (TrackedBackend backend : source.backends.values()) {
            // Without the discount for pending attempts, which the other module does not have.
            servers.put(
                    backend.id,
                    new LearntState.ServerEstimate(
                            estimates.effective(backend, false) * (1 + Estimates.PENDING_DISCOUNT * backend.pending),
                            backend.called,
                            backend.entry.startedAt()));
        }
        var classes = new TreeMap<String, LearntState.ClassEstimate>();
        source.statsByName.forEach((name, stats) -> classes.put(
                name,
                new LearntState.ClassEstimate(
                        stats.latency,
                        stats.baseLatency,
                        stats.answers,
                        stats.usualTimeLeft,
                        stats.usualTimeLeftVotes)));
        return new LearntState(
                servers,
                classes,
                source.typicalSpeed,
                source.openLimit,
                source.queueingShare,
                source.warmAnswerRate * source.meanWarmSize,
                source.answerRate,
                source.retryTokens);
    }

    /**
     * Restores state that was exported {@code ageMicros} ago, for the backends and classes that this module has not
     * sampled itself. To be called after its first backend list.
     */
    public static void restore(Balancer balancer, LearntState learnt, long nowMicros, long ageMicros) {
        BalancerState target = ((DefaultBalancer) balancer).state();
        learnt.servers().forEach((id, estimate) -> {
            TrackedBackend backend = target.backends.get(id);
            if (backend != null
                    && !backend.called
                    && estimate.polled()
                    && backend.entry.startedAt() == estimate.startedAt()) {
                backend.speed = estimate.speed();
                backend.sampledAt = nowMicros - ageMicros;
                backend.called = true;
            }
        });
        learnt.classes().forEach((name, estimate) -> {
            ClassStats stats = target.statsByName.get(name);
            if (stats != null && stats.answers == 0) {
                stats.latency = estimate.latency();
                stats.baseLatency = estimate.base();
                stats.answers = estimate.answers();
                stats.usualTimeLeft = estimate.patience();
                stats.usualTimeLeftVotes = estimate.votes();
            }
        });
        target.typicalSpeed = learnt.typical();
        target.openLimit = learnt.limit();
        target.queueingShare = learnt.aimRatio();
        // The rate was exported for a backend of mean size, because the list may give sizes on another scale since.
        target.meanWarmSize = target.subset.length > 0
                ? BalancerState.sizes(target.subset, backend -> true).getAverage()
                : 1;
        target.warmAnswerRate = learnt.warmRate() / target.meanWarmSize;
        target.answerRate = learnt.answerRate();
        target.retryTokens = learnt.retryTokens();
    }
}
