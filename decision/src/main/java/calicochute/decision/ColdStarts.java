package calicochute.decision;

/** How much may be sent to a backend that has just started: the rule's budget, in this instance's part. */
record ColdStarts(Known known) {
    /** Share of the cold allowance used: sends come in clumps and peers judge by other samples. */
    private static final double CAUTION = 0.5;

    /** DANGER: everyone's first call at once topples a cold backend; each spends only its own allowance. */
    boolean allows(Server s) {
        if (!cold(s)) { return true; }
        var rules = known.settings.rules();
        // DANGER: where none has ever been warm nothing tells what they bear, and nobody would be served.
        double rate = known.warmRate == 0 ? 1e6 / Math.max(1, rules.fall())
            : known.warmRate * CAUTION * rules.fallMultiple() * warmth(s);
        double most = Math.max(1, rate * rules.fall() / 2e6);
        s.allowance = Math.min(most, s.allowance + rate * (known.now - s.allowanceAt) / 1e6);
        s.allowanceAt = known.now;
        return s.allowance >= 1;
    }

    boolean cold(Server s) {
        return s.entry.startedAt() > 0 && known.now < s.entry.startedAt() + known.settings.rules().warmUp();
    }

    private double warmth(Server s) {
        double from = known.settings.rules().coldFrom();
        double age = Math.max(0, known.now - s.entry.startedAt());
        return from + (1 - from) * Math.min(1, age / known.settings.rules().warmUp());
    }
}
