package calicochute.decision;

/**
 * Limits what this instance sends to a backend that has just started: its part of the budget that the cold-start rule
 * sets for all instances together.
 */
record ColdStartBudget(BalancerState state) {
    /** Share of the budget that is used, since sends arrive in bursts and peers judge by other samples. */
    private static final double USED_SHARE = 0.5;

    /**
     * Whether the backend may get one more request; accrues its allowance.
     *
     * <p>Many instances that send their first requests at once overload a cold backend. Each instance spends only what
     * accrues of its own part, starting at a random fraction of a request, so that the parts add up to the budget
     * however many instances there are. What exceeds the overload window's part expires in whole requests: hundreds of
     * instances that saved up their allowances would spend them at once.
     */
    boolean allows(TrackedBackend backend) {
        if (!cold(backend)) {
            return true;
        }
        var rules = state.settings.rules();
        double age = Math.max(0.0, state.now - backend.startedAt) / rules.warmUp();
        double warmth = rules.coldCapacityShare() + (1 - rules.coldCapacityShare()) * age;
        double perMicro = requestsPerSecond(backend) * USED_SHARE * rules.overloadMultiple() * warmth / 1e6;
        backend.allowance += perMicro * (state.now - backend.allowanceAt);
        backend.allowance -= Math.max(0, Math.ceil(backend.allowance - 1 - perMicro * rules.overloadWindow()));
        backend.allowanceAt = state.now;
        return backend.allowance >= 1;
    }

    /**
     * Requests a second that a warm backend of this size takes from this instance, at most those of a warm backend of
     * mean size, since idle backends may be listed with a large size.
     */
    private double requestsPerSecond(TrackedBackend backend) {
        if (state.warmAnswerRate > 0) {
            return state.warmAnswerRate * Math.min(backend.size(), state.meanWarmSize);
        }
        // Before any backend has been warm nothing shows what they bear, and a rate of 0 would serve nobody. All
        // backends of a tier together are taken to bear the load that the tier receives.
        return backend.size()
                * state.firstTryRate
                * state.settings.balancers()
                / (state.callersPerBackend * state.maxReadySize);
    }

    boolean cold(TrackedBackend backend) {
        return backend.entry.startedAt() > 0
                && state.now < backend.startedAt + state.settings.rules().warmUp();
    }
}
