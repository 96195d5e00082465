package calicochute.decision;

/** Whether a request may be tried again: a budget of a share of first tries. */
record Retries(Known known) {
    /** Retries per first try in the long run, and the most saved up; half of it at the start. */
    private static final double SHARE = 0.2;

    static final double MOST = 10;

    void earn() {
        known.retryTokens = Math.min(MOST, known.retryTokens + SHARE);
    }

    /** Pays for one more try, if there is time and a token for it. */
    boolean spend(Request r) {
        boolean may = known.now < r.deadline && known.retryTokens >= 1;
        known.retryTokens -= may ? 1 : 0;
        return may;
    }
}
