package calicochute.decision;

import java.util.Arrays;
import java.util.Comparator;

/** Where time is short: backends in order of falling speed, each kept to while it should answer in time. */
record Walk(Known known, Legality legality, Estimates estimates) {
    /** Stays on the walk's backend while it should answer in time; re-sorts only at its end; or null. */
    Server next(Request r) {
        for (int pass = 0; pass < 2; pass++) {
            for (; known.walkAt < known.walk.length; known.walkAt++) {
                Server s = known.walk[known.walkAt];
                boolean inTime = known.seen(r).latency / estimates.effective(s) <= r.deadline - known.now;
                if (inTime && legality.maySend(r, s) && !r.tried(s)) { return s; }
            }
            known.walk = known.use.clone();
            // Ties stay in this instance's own order, lest all instances take one server first.
            Arrays.sort(known.walk, Comparator.comparingDouble(s -> -estimates.effective(s)));
            known.walkAt = 0;
        }
        return null;
    }

    /** Leaves a backend that has failed. */
    void leave(Server s) {
        if (known.walkAt < known.walk.length && known.walk[known.walkAt] == s) { known.walkAt++; }
    }
}
