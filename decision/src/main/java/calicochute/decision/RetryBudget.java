package calicochute.decision;

/** Limits retries to a share of the requests by a token bucket, which is half full at the start. */
record RetryBudget(BalancerState state) {
    /** Retries for each request in the long run. */
    private static final double TOKENS_PER_REQUEST = 0.2;

    static final double MAX_TOKENS = 10;

    void earn() {
        state.retryTokens = Math.min(MAX_TOKENS, state.retryTokens + TOKENS_PER_REQUEST);
    }

    /** Takes a token for a retry; false if there is none or the request's deadline has passed. */
    boolean spend(Request request) {
        boolean allowed = state.now < request.deadline && state.retryTokens >= 1;
        state.retryTokens -= allowed ? 1 : 0;
        return allowed;
    }
}
