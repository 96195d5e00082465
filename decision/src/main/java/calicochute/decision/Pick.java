package calicochute.decision;

import java.util.Arrays;
import java.util.Comparator;

/** Which backend gets an attempt: softmax over speed by the best, and the walk where time is short. */
record Pick(Known known, Legality legality, Estimates estimates, Admission admission) {
    /** Where crossing zones is priced, a backend abroad counts at this share of its speed. */
    private static final double ABROAD = 0.35;
    /** Headroom is the time left over this many best latencies; bands and temperatures as in the design. */
    private static final double MULTIPLE = 5;

    private static final double LOW = 0.3, TARGET = 0.5, HIGH = 0.8, TAU_TARGET = 0.04, TAU_FULL = 0.07;

    /** Null where none may be sent to. */
    Server of(Request r) {
        boolean bound = legality.bound(r);
        Server[] from = bound ? known.ranked : known.use;
        if (r.arm != 0 && !bound) {
            from = known.armed.getOrDefault(r.arm, Known.NONE);
        }
        // One first call to each backend in use, paced to every second request.
        known.pollNext = !known.pollNext;
        Server poll = known.pollNext || legality.careful(r) ? null : anyLegal(r, from, true);
        if (poll != null) {
            return poll;
        }
        // DANGER: one zone refuses while the next one idles: home comes first only far from the limit.
        boolean home = known.settings.goal().crossZonePrice() > 0 && admission.farFromLimit();
        double top = score(r, from, home ? ABROAD : 1);
        if (top == 0) {
            return anyLegal(r, from, false);
        }
        double room = headroom(r, top);
        // An arm crowded by own dispatches has no room; one that is slow by itself keeps its requests.
        if (room < LOW && r.arm != 0 && headroom(r, alone(from)) >= LOW) {
            return null;
        }
        if (room < LOW && !bound && r.arm == 0) {
            // DANGER: own dispatches that crowd home look like little time: they spill; no walk herds them.
            if (home) {
                top = score(r, from, 1);
            }
            Server next = headroom(r, alone(from)) < LOW ? walk(r) : null;
            // DANGER: where own dispatches crowd them all none is in time; any may be one that fails at once.
            if (next != null) {
                return next;
            }
        }
        return softmax(from, top, room < HIGH ? TAU_TARGET : TAU_FULL);
    }

    /** The best speed of those scored, were they not crowded. */
    private double alone(Server[] from) {
        var scored = Arrays.stream(from).filter(s -> s.score > 0);
        return scored.mapToDouble(s -> estimates.alone(s, false)).max().orElse(0);
    }

    /** Scores all that the request may go to, the others 0; the greatest. */
    private double score(Request r, Server[] from, double abroad) {
        boolean careful = legality.careful(r);
        double top = 0;
        for (Server s : from) {
            double share = s.entry.zone().equals(known.settings.zone()) ? 1 : abroad;
            s.score = legality.maySend(r, s) && !r.tried(s) ? estimates.effective(s, careful) * share : 0;
            top = Math.max(top, s.score);
        }
        return top;
    }

    /** From a random place on, the first backend that may be sent to. */
    private Server anyLegal(Request r, Server[] from, boolean unpolledOnly) {
        int start = from.length == 0 ? 0 : known.random.nextInt(from.length);
        for (int i = 0; i < from.length; i++) {
            Server s = from[(start + i) % from.length];
            if (!(unpolledOnly && s.polled) && legality.maySend(r, s)) {
                return s;
            }
        }
        return null;
    }

    private double headroom(Request r, double best) {
        boolean told = known.settings.tier() == 0 || known.settings.passesDeadline();
        if (!told || known.seen(r).answers == 0) {
            return TARGET;
        }
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
            if (s.score > 0 && at >= 0) {
                chosen = s;
            }
            at -= s.score;
        }
        return chosen;
    }

    /** Stays on the walk's backend while it should answer in time; re-sorts only at its end; or null. */
    private Server walk(Request r) {
        for (int pass = 0; pass < 2; pass++) {
            for (; known.walkAt < known.walk.length; known.walkAt++) {
                Server s = known.walk[known.walkAt];
                double speed = estimates.effective(s, legality.careful(r));
                boolean inTime = known.seen(r).latency / speed <= r.deadline - known.now;
                if (inTime && legality.maySend(r, s) && !r.tried(s)) {
                    return s;
                }
            }
            known.walk = known.use.clone();
            // Ties stay in this instance's own order, lest all instances take one server first.
            Arrays.sort(known.walk, Comparator.comparingDouble(s -> -estimates.effective(s, false)));
            known.walkAt = 0;
        }
        return null;
    }

    /** The walk leaves a backend that has failed. */
    void leave(Server s) {
        if (known.walkAt < known.walk.length && known.walk[known.walkAt] == s) {
            known.walkAt++;
        }
    }
}
