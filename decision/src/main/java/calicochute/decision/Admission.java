package calicochute.decision;

import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.RequestClass;
import java.util.Arrays;

/**
 * Admission control. An adaptive limit bounds the number of open requests: it is cut while queueing takes too much of
 * the latency objectives and raised otherwise. Near the limit the requests of least worth are refused first.
 */
record Admission(BalancerState state) {
    /** Share of the slack between a class's base latency and its objective that queueing may take. */
    private static final double MAX_QUEUEING_SHARE = 0.3;
    /** The requests of least worth are refused from this share of the limit below the limit. */
    private static final double WORTH_SPREAD = 0.3;
    /** Lowest value of the limit, in requests. */
    private static final int MIN_OPEN_LIMIT = 8;

    private static final long MIN_CUT_INTERVAL_MICROS = 250_000;
    /** Arrivals by which the usual time left must lead before another time left counts as a later try. */
    private static final int MIN_VOTES = 8;
    /** Upper bound of the votes for the usual time left, in arrivals. */
    private static final int MAX_VOTES = 1000;

    /**
     * How long the client waited before this try, in microseconds; 0 if unknown. The usual time left of first tries is
     * the one that the majority of arrivals has.
     */
    long waited(Arrival arrival) {
        ClassStats stats = state.classStats[arrival.classIndex()];
        long deadline = state.classes[arrival.classIndex()].deadline();
        boolean usual = Math.abs(arrival.timeLeft() - stats.usualTimeLeft) < deadline / 50;
        if (!usual && stats.usualTimeLeftVotes == 0) {
            stats.usualTimeLeft = arrival.timeLeft();
        }
        stats.usualTimeLeftVotes = Math.max(0, Math.min(stats.usualTimeLeftVotes, MAX_VOTES) + (usual ? 1 : -1));
        boolean later =
                !usual && (state.settings.marksRetries() ? arrival.retry() : stats.usualTimeLeftVotes > MIN_VOTES);
        return later ? Math.max(0, deadline - arrival.timeLeft()) : 0;
    }

    /**
     * Whether to admit a request. Far below the limit all are admitted; near it, only those for which few of the
     * arrivals are worth more.
     */
    boolean admit(Arrival arrival, long waited) {
        // Refused clients come back: if their retries were served in turn with first tries, all would be late.
        int bin = arrival.classIndex() * 3
                + (arrival.retry() && waited == 0 ? 2 : overShare(arrival.tenantIndex()) ? 1 : 0);
        // Retries are not counted among the arrivals, because their number grows with the number of refusals.
        state.arrivalsByBin[bin] += bin % 3 < 2 ? 1 : 0;
        double above = 0;
        double all = 0;
        for (int i = 0; i < state.arrivalsByBin.length; i++) {
            all += state.arrivalsByBin[i];
            above += worth(i) > worth(bin) ? state.arrivalsByBin[i] : 0;
        }
        return state.openRequests <= state.openLimit * (1 - WORTH_SPREAD * above / Math.max(1, all));
    }

    /** Takes a token from the tenant's bucket; true if it has none, so that the tenant is over its allowance. */
    private boolean overShare(int tenant) {
        double seconds = (state.now - state.tenantTokensAt) / 1e6;
        state.tenantTokensAt = state.now;
        double[] tokens = state.tenantTokens;
        for (int i = 0; i < tokens.length; i++) {
            double rate = state.settings.tenants().get(i).allowancePerSecond() / state.settings.balancers();
            tokens[i] = Math.min(Math.max(1, rate), tokens[i] + seconds * rate);
        }
        if (tenant < 0 || tokens[tenant] < 1) {
            return tenant >= 0;
        }
        tokens[tenant] -= 1;
        return false;
    }

    /** Worth per unit of work of the requests in a bin. */
    private double worth(int bin) {
        RequestClass requestClass = state.classes[bin / 3];
        double share = bin % 3 == 0 ? 1 : bin % 3 == 1 ? state.settings.overShareWorth() : requestClass.lateWorth();
        return requestClass.worth() * share / Math.max(1, state.classStats[bin / 3].latency);
    }

    /**
     * Adjusts the limit by the share of the objective's slack that the request's queueing took. The share counts as at
     * least {@code minShare}; 1 reports overload.
     */
    void adjustLimit(Request request, double minShare) {
        ClassStats stats = state.statsOf(request);
        long objective = state.classOf(request).objective();
        double base = Math.min(stats.baseLatency, objective / 2.0);
        double share = Math.max(minShare, (state.now - request.arrivedAt - base) / Math.max(1, objective - base));
        state.queueingShare += (Math.min(share, 1) - state.queueingShare) / 16;
        if (state.queueingShare > MAX_QUEUEING_SHARE) {
            if (state.now >= state.nextLimitCutAt) {
                state.openLimit = Math.max(MIN_OPEN_LIMIT, Math.min(state.openLimit, state.openRequests + 1) * 0.95);
                state.nextLimitCutAt = state.now + Math.max(MIN_CUT_INTERVAL_MICROS, (long) stats.latency);
            }
        } else if (!farFromLimit()) {
            state.openLimit += Math.max(6 / state.openLimit, 0.25 - state.queueingShare / MAX_QUEUEING_SHARE / 2);
        }
    }

    /** True where even the requests of least worth are admitted. */
    boolean farFromLimit() {
        return state.openRequests <= state.openLimit * (1 - WORTH_SPREAD);
    }

    /** Decays the arrival counts, so that recent arrivals count most. */
    void decayArrivals() {
        Arrays.setAll(state.arrivalsByBin, i -> state.arrivalsByBin[i] * 0.9);
    }
}
