package calicochute.decision;

import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Outcome;
import java.util.Arrays;

/** Estimates how fast each backend is. Times are microseconds; speeds are relative to typical latency (1 = typical). */
record Estimates(BalancerState state, ColdStartBudget coldStartBudget) {
    /** Time constant of the time-aged EWMA, as in the paper. */
    private static final double TIME_CONSTANT_MICROS = 3e6;
    /** Where samples are rare the EWMA ages so slowly that about this many count, since one sample says little. */
    private static final double MIN_SAMPLES = 12;
    /** A sample never has more weight than all before it, so that one failure after a pause does not decide alone. */
    private static final double MAX_ALPHA = 0.5;
    /**
     * Least weight of a failure: it says more than a slow answer, and failures come in bursts shorter than the EWMA.
     */
    private static final double MIN_FAILURE_ALPHA = 0.25;
    /** Upper bound of one sample's speed, so that a few very short requests do not dominate the mean of inverses. */
    private static final double MAX_SPEED = 3;
    /** Time constant of an unsampled estimate's return to the typical speed, by which slow backends are tried again. */
    static final double FORGET_MICROS = 10e6;
    /** The same for requests that may not run twice. */
    private static final double CAREFUL_FORGET_MICROS = 40e6;
    /** Share of the typical speed that a backend never called counts for requests that may not run twice. */
    private static final double UNSAMPLED_SHARE = 0.5;
    /** Discount on a backend's speed for each pending attempt of this instance. */
    static final double PENDING_DISCOUNT = 0.5;
    /** A backend is slow below this share of the typical speed. */
    private static final double SLOW_SHARE = 1.0 / 3;
    /** Typical latencies after which the age of a pending attempt bounds its backend's speed. */
    private static final double PATIENCE_LATENCIES = 2;

    /** Effective speed of a backend for one more request, which shares it with this instance's pending attempts. */
    double effective(TrackedBackend backend, boolean careful) {
        return Math.max(1e-3, uncontended(backend, careful) / (1 + PENDING_DISCOUNT * backend.pending));
    }

    /** Speed without the pending discount, aged towards the expected speed and bounded by pending attempts' age. */
    double uncontended(TrackedBackend backend, boolean careful) {
        // Requests that may not run twice should not be the ones that find out whether a backend is well again.
        // An estimate taken over from a process whose clock was ahead counts as one made at this moment.
        double forget = careful ? CAREFUL_FORGET_MICROS : FORGET_MICROS;
        double keep = backend.called ? Math.exp(Math.min(0, backend.sampledAt - state.now) / forget) : 0;
        var fleet = state.fleetEstimate(backend);
        double expected =
                state.typicalSpeed * (fleet != null ? fleet.speed() : careful && !backend.called ? UNSAMPLED_SHARE : 1);
        // The fleet's estimate must not outweigh failures on a network path that is broken only here.
        double own = backend.samples * keep;
        if (fleet != null && backend.speed >= SLOW_SHARE * state.typicalSpeed) {
            keep *= own / (own + fleet.sampleWeight() + 1e-9);
        }
        double speed = backend.speed * keep + expected * (1 - keep);
        // A backend that hangs gets no new sample until its attempts time out; their age shows it earlier.
        return backend.oldest == null ? speed : Math.min(speed, PATIENCE_LATENCIES * speedBound(backend.oldest));
    }

    /**
     * Speed of an answer that arrived at this moment; infinite until the attempt is older than
     * {@link #PATIENCE_LATENCIES}.
     */
    private double speedBound(Attempt attempt) {
        double latency = state.statsOf(attempt.request).latency;
        double age = state.now - attempt.sentAt;
        return latency > 0 && age > PATIENCE_LATENCIES * latency ? latency / age : Double.POSITIVE_INFINITY;
    }

    /** Records how an attempt ended; true if its backend failed. */
    boolean learn(Attempt attempt, AttemptEnded ended) {
        if (ended.outcome() == Outcome.OK && !attempt.streaming) {
            answered(attempt, ended.elapsed());
        }
        if (ended.outcome() == Outcome.CONNECT_FAILED) {
            state.connectFailedAt = state.now;
        }
        boolean failed = switch (ended.outcome()) {
            case OK, CANCELLED, MOOT -> false;
            default -> true;
        };
        if (failed) {
            addSample(attempt.backend, 0, MIN_FAILURE_ALPHA);
        }
        return failed;
    }

    void answered(Attempt attempt, long elapsed) {
        ClassStats stats = state.statsOf(attempt.request);
        double latency = Math.max(elapsed, state.settings.tick());
        stats.answers = Math.min(stats.answers, 31) + 1;
        double weight = 1.0 / stats.answers;
        stats.latency += weight * (latency - stats.latency);
        stats.baseLatency = stats.answers < 32
                ? stats.latency
                : Math.min(stats.latency, stats.baseLatency + (stats.latency - stats.baseLatency) / 1024);
        addSample(attempt.backend, Math.min(MAX_SPEED, stats.latency / latency), 0);
        state.answers++;
        state.warmAnswers += coldStartBudget.cold(attempt.backend) ? 0 : 1;
    }

    /** Records a withdrawn attempt's age: where a backend does not answer, nothing else shows that it is slow. */
    void withdrawn(Attempt attempt) {
        double bound = speedBound(attempt);
        if (Double.isFinite(bound)) {
            addSample(attempt.backend, Math.min(attempt.backend.speed, bound), 0);
        }
    }

    private void addSample(TrackedBackend backend, double speed, double minAlpha) {
        // Samples of the same tick would have a weight of 0, so that the gap is at least a tick.
        double gap = Math.max(state.now - backend.sampledAt, state.settings.tick());
        double rate = state.answerRate;
        double timeConstant = Math.max(
                TIME_CONSTANT_MICROS, rate > 0 ? MIN_SAMPLES * state.subset.length / rate * 1e6 : TIME_CONSTANT_MICROS);
        double alpha = Math.min(MAX_ALPHA, Math.max(minAlpha, 1 - Math.exp(-gap / timeConstant)));
        backend.speed += alpha * (speed - backend.speed);
        backend.samples = 1 + backend.samples * Math.exp(-gap / timeConstant);
        backend.sampledAt = state.now;
    }

    /** Smooths a rate from its first sample on: if it rose from 0, a new instance would underrate it for seconds. */
    private static double smooth(double rate, double sample, double weight) {
        return rate == 0 ? sample : rate + weight * (sample - rate);
    }

    /** Updates the typical speed and the rates; returns how many backends of the subset are slow. */
    int review(double seconds, double weight) {
        var mean = Arrays.stream(state.subset)
                .filter(backend -> backend.called)
                .mapToDouble(backend -> backend.speed)
                .average();
        state.typicalSpeed = Math.max(0.01, mean.orElse(state.typicalSpeed));
        var warmSizes = BalancerState.sizes(state.subset, backend -> !coldStartBudget.cold(backend));
        // While all backends are cold, the rate of those that were warm before remains the best guide.
        if (warmSizes.getCount() > 0) {
            state.warmAnswerRate =
                    smooth(state.warmAnswerRate, state.warmAnswers / seconds / warmSizes.getSum(), weight);
            state.meanWarmSize = warmSizes.getAverage();
        }
        state.firstTryRate = smooth(state.firstTryRate, state.firstTries / seconds, weight);
        state.answerRate += weight * (state.answers / seconds - state.answerRate);
        state.warmAnswers = state.answers = state.firstTries = 0;
        double slow = state.typicalSpeed * SLOW_SHARE;
        return (int) Arrays.stream(state.subset)
                .filter(backend -> backend.called && uncontended(backend, false) < slow)
                .count();
    }
}
