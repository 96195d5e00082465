package calicochute.decision;

import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.RequestClass;
import java.util.Arrays;

/** Who is taken in: a limit on open requests follows what answers take of their aim; worth ranks near it. */
record Admission(Known known) {
    /** Queueing may take this share of the slack between a class's lowest typical answer time and its aim. */
    private static final double AIM_SHARE = 0.3;
    /** The least worthy request is refused this far below the limit. */
    private static final double WORTH_SPREAD = 0.3;

    private static final int LIMIT_MIN = 8;
    /** Least time between cuts of the limit. */
    private static final long CUT_GAP = 250_000;
    /** Arrivals by which the common patience must lead for another to be a later try, and leads at most. */
    private static final int VOTES = 8, MOST_VOTES = 1000;

    /** How long the client waited before this try, 0 if untold; first tries share a patience, by majority. */
    long waited(Arrival e) {
        Seen seen = known.seen[e.classIndex()];
        long deadline = known.classes[e.classIndex()].deadline();
        boolean usual = Math.abs(e.timeLeft() - seen.patience) < deadline / 50;
        if (!usual && seen.votes == 0) {
            seen.patience = e.timeLeft();
        }
        seen.votes = Math.max(0, Math.min(seen.votes, MOST_VOTES) + (usual ? 1 : -1));
        boolean later = !usual && (known.settings.marksRetries() ? e.retry() : seen.votes > VOTES);
        return later ? Math.max(0, deadline - e.timeLeft()) : 0;
    }

    /** Under the limit all are taken; near it, only those with little of more worth arriving. */
    boolean admit(Arrival e, long waited) {
        // DANGER: refused clients come back; served in turn with first tries, they make all of them late.
        int bin = e.classIndex() * 3 + (e.retry() && waited == 0 ? 2 : overShare(e.tenantIndex()) ? 1 : 0);
        // Retries have no say in the ranks: there are the more of them the more is refused.
        known.arrivals[bin] += bin % 3 < 2 ? 1 : 0;
        double above = 0, all = 0;
        for (int i = 0; i < known.arrivals.length; i++) {
            all += known.arrivals[i];
            above += worth(i) > worth(bin) ? known.arrivals[i] : 0;
        }
        return known.open <= known.limit * (1 - WORTH_SPREAD * above / Math.max(1, all));
    }

    private boolean overShare(int tenant) {
        double seconds = (known.now - known.tenantTokensAt) / 1e6;
        known.tenantTokensAt = known.now;
        double[] tokens = known.tenantTokens;
        for (int i = 0; i < tokens.length; i++) {
            double rate = known.settings.tenants().get(i).allowancePerSecond() / known.settings.balancers();
            tokens[i] = Math.min(Math.max(1, rate), tokens[i] + seconds * rate);
        }
        if (tenant < 0 || tokens[tenant] < 1) {
            return tenant >= 0;
        }
        tokens[tenant] -= 1;
        return false;
    }

    private double worth(int bin) {
        RequestClass c = known.classes[bin / 3];
        double share = bin % 3 == 0 ? 1 : bin % 3 == 1 ? known.settings.overShareWorth() : c.lateWorth();
        return c.worth() * share / Math.max(1, known.seen[bin / 3].latency);
    }

    /** Moves the limit of requests open by how long answers take of their aim. */
    void aim(Request r, double least) {
        Seen seen = known.seen(r);
        long aim = known.classOf(r).aim();
        double base = Math.min(seen.base, aim / 2.0);
        double ratio = Math.max(least, (known.now - r.arrivedAt - base) / Math.max(1, aim - base));
        known.aimRatio += (Math.min(ratio, 1) - known.aimRatio) / 16;
        if (known.aimRatio > AIM_SHARE) {
            if (known.now >= known.limitCutAt) {
                known.limit = Math.max(LIMIT_MIN, Math.min(known.limit, known.open + 1) * 0.95);
                known.limitCutAt = known.now + Math.max(CUT_GAP, (long) seen.latency);
            }
        } else if (!farFromLimit()) {
            known.limit += Math.max(6 / known.limit, 0.25 - known.aimRatio / AIM_SHARE / 2);
        }
    }

    /** Even the least worthy would be taken. */
    boolean farFromLimit() {
        return known.open <= known.limit * (1 - WORTH_SPREAD);
    }

    /** What has come in counts ever less. */
    void age() {
        Arrays.setAll(known.arrivals, i -> known.arrivals[i] * 0.9);
    }
}
