package calicochute.decision;

/** How much may be sent to a backend that has just started: the rule's budget, in this instance's part. */
record ColdStarts(Known known) {
    /** Share of the cold allowance used: sends come in clumps and peers judge by other samples. */
    private static final double CAUTION = 0.5;

    /**
     * DANGER: everyone's first call at once topples a cold backend. Each spends what accrues of its own part, from a
     * random start on, so that parts add up to the whole however many callers there are. What is left after a fall span
     * lapses by whole sends: saved up by hundreds, it would come at once.
     */
    boolean allows(Server s) {
        if (!cold(s)) {
            return true;
        }
        var rules = known.settings.rules();
        double age = Math.max(0.0, known.now - s.entry.startedAt()) / rules.warmUp();
        double warmth = rules.coldFrom() + (1 - rules.coldFrom()) * age;
        double perMicro = part(s) * CAUTION * rules.fallMultiple() * warmth / 1e6;
        s.allowance += perMicro * (known.now - s.allowanceAt);
        s.allowance -= Math.max(0, Math.ceil(s.allowance - 1 - perMicro * rules.fall()));
        s.allowanceAt = known.now;
        return s.allowance >= 1;
    }

    /** What a warm one of its size takes from here, or a mean one if less: idle ones may be listed large. */
    private double part(Server s) {
        if (known.warmRate > 0) {
            return known.warmRate * Math.min(s.size(), known.warmSize);
        }
        // DANGER: where none was ever warm nothing tells what they bear, and nobody would be served. A tier
        // bears about what is asked of it while all its backends are there.
        return s.size() * known.askedRate * known.settings.balancers() / (known.callers * known.mostReady);
    }

    boolean cold(Server s) {
        return s.entry.startedAt() > 0
                && known.now < s.entry.startedAt() + known.settings.rules().warmUp();
    }
}
