package calicochute.decision;

import java.util.Arrays;

/** Which backend gets an attempt: softmax over speed by the best, and the walk where time is short. */
record Pick(Known known, Legality legality, Estimates estimates, Admission admission, Walk walk) {
    /** Where crossing zones is priced, a backend abroad counts at this share of its speed. */
    private static final double ABROAD = 0.35;
    /** Headroom is the time left over this many best latencies; bands and temperatures as in the design. */
    private static final double MULTIPLE = 5;
    private static final double LOW = 0.3, TARGET = 0.5, HIGH = 0.8, TAU_TARGET = 0.04, TAU_FULL = 0.07;

    /** Null where none may be sent to. */
    Server of(Request r) {
        boolean bound = legality.bound(r);
        Server[] from = bound ? known.ranked : known.use;
        // One first call to each backend in use, paced to every second request.
        known.pollNext = !known.pollNext;
        Server poll = known.pollNext || bound ? null : anyLegal(r, from, true);
        if (poll != null) { return poll; }
        // DANGER: one zone refuses while the next one idles: home comes first only far from the limit.
        boolean home = known.settings.goal().crossZonePrice() > 0 && admission.farFromLimit();
        double top = score(r, from, home ? ABROAD : 1);
        if (top == 0) { return anyLegal(r, from, false); }
        double room = headroom(r, top);
        if (room < LOW && !bound) {
            // DANGER: own dispatches that crowd home look like little time: they spill; no walk herds them.
            if (home) { top = score(r, from, 1); }
            var legal = Arrays.stream(from).filter(s -> s.score > 0);
            double alone = legal.mapToDouble(estimates::alone).max().orElse(0);
            Server next = headroom(r, alone) < LOW ? walk.next(r) : null;
            // DANGER: where own dispatches crowd them all none is in time; any may be one that fails at once.
            if (next != null) { return next; }
        }
        return softmax(from, top, room < HIGH ? TAU_TARGET : TAU_FULL);
    }

    /** Scores all that the request may go to, the others 0; the greatest. */
    private double score(Request r, Server[] from, double abroad) {
        double top = 0;
        for (Server s : from) {
            double share = s.entry.zone().equals(known.settings.zone()) ? 1 : abroad;
            s.score = legality.maySend(r, s) && !r.tried(s) ? estimates.effective(s) * share : 0;
            top = Math.max(top, s.score);
        }
        return top;
    }

    /** From a random place on, the first backend that may be sent to. */
    private Server anyLegal(Request r, Server[] from, boolean unpolledOnly) {
        int start = from.length == 0 ? 0 : known.random.nextInt(from.length);
        for (int i = 0; i < from.length; i++) {
            Server s = from[(start + i) % from.length];
            if (!(unpolledOnly && s.polled) && legality.maySend(r, s)) { return s; }
        }
        return null;
    }

    private double headroom(Request r, double best) {
        boolean told = known.settings.tier() == 0 || known.settings.passesDeadline();
        if (!told || known.seen(r).answers == 0) { return TARGET; }
        return Math.min(1, (r.deadline - known.now) * best / (MULTIPLE * known.seen(r).latency));
    }

    private Server softmax(Server[] from, double best, double tau) {
        double total = 0;
        for (Server s : from) {
            s.score = s.score > 0 ? Math.exp((s.score / best - 1) / tau) : 0;
            total += s.score;
        }
        double at = known.random.nextDouble() * total;
        Server chosen = null;
        for (Server s : from) {
            if (s.score > 0 && at >= 0) { chosen = s; }
            at -= s.score;
        }
        return chosen;
    }
}
