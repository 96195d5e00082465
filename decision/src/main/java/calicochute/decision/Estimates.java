package calicochute.decision;

import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Outcome;
import java.util.Arrays;

/** How fast each backend is. Times in microseconds, speeds relative to the class's latency (1 = typical). */
record Estimates(Known known, ColdStarts coldStarts) {
    /** Time constant of the aged EWMA; the paper's value. */
    private static final double DELTA = 3e6;
    /** Where samples are few, age so slowly that about this many count: one draw says little. */
    private static final double SAMPLES = 12;
    /** A sample never outweighs all that came before: one failure after a silence is not a verdict. */
    private static final double ALPHA_MAX = 0.5;
    /** A failure says more than a slow answer and comes in bursts too short for ageing to see. */
    private static final double ALPHA_FAIL = 0.25;
    /** Bound of one sample, lest a few tiny requests rule the mean of inverses. */
    private static final double SPEED_MAX = 3;
    /** Unsampled for this long, an estimate has mostly returned to the typical: the way back for the sick. */
    static final double FORGET = 10e6;
    /** The same for what may not run twice; the share at which it counts one that was never called. */
    private static final double CAREFUL = 40e6, UNKNOWN = 0.5;
    /** How strongly an own attempt still out discounts its backend. */
    static final double CROWD = 0.5;
    /** Under this share of the typical speed a backend is sick. */
    private static final double SICK = 1.0 / 3;
    /** Typical latencies past which an attempt's age bounds its backend's speed. */
    private static final double PATIENCE = 2;

    /** A backend's speed as it counts now: shared with own attempts out. */
    double effective(Server s, boolean careful) {
        return Math.max(1e-3, alone(s, careful) / (1 + CROWD * s.out));
    }

    /** For one that would be alone: aged to the usual, bounded by the age of attempts out. */
    double alone(Server s, boolean careful) {
        // DANGER: what may not run twice must not find out whether a backend is well, or well again.
        // An estimate from the future, by an older process's clock, is one of now.
        double forget = careful ? CAREFUL : FORGET;
        double keep = s.polled ? Math.exp(Math.min(0, s.sampledAt - known.now) / forget) : 0;
        var fleet = known.fleet(s);
        double usual = known.typical * (fleet != null ? fleet.speed() : careful && !s.polled ? UNKNOWN : 1);
        // DANGER: a path broken here alone is no matter of the fleet's: what failed here is not outweighed.
        double own = s.samples * keep;
        if (fleet != null && s.speed >= SICK * known.typical) {
            keep *= own / (own + fleet.worth() + 1e-9);
        }
        double speed = s.speed * keep + usual * (1 - keep);
        // DANGER: a hung backend keeps its score until time-outs; the age of what is out speaks sooner.
        return s.oldest == null ? speed : Math.min(speed, PATIENCE * bound(s.oldest));
    }

    /** The speed of an answer that came now; without bound until the attempt has tried patience. */
    private double bound(Attempt a) {
        double usual = known.seen(a.request).latency, age = known.now - a.sentAt;
        return usual > 0 && age > PATIENCE * usual ? usual / age : Double.POSITIVE_INFINITY;
    }

    /** Takes in how an attempt ended; true where its backend failed it. */
    boolean learn(Attempt a, AttemptEnded e) {
        if (e.outcome() == Outcome.OK && !a.begun) {
            answered(a, e.elapsed());
        }
        if (e.outcome() == Outcome.CONNECT_FAILED) {
            known.unconnectedAt = known.now;
        }
        boolean failed = switch (e.outcome()) {
            case OK, CANCELLED, MOOT -> false;
            default -> true;
        };
        if (failed) {
            blend(a.server, 0, ALPHA_FAIL);
        }
        return failed;
    }

    void answered(Attempt a, long elapsed) {
        Seen c = known.seen(a.request);
        double took = Math.max(elapsed, known.settings.tick());
        c.answers = Math.min(c.answers, 31) + 1;
        double weight = 1.0 / c.answers;
        c.latency += weight * (took - c.latency);
        c.base = c.answers < 32 ? c.latency : Math.min(c.latency, c.base + (c.latency - c.base) / 1024);
        blend(a.server, Math.min(SPEED_MAX, c.latency / took), 0);
        known.allAnswers++;
        known.warmAnswers += coldStarts.cold(a.server) ? 0 : 1;
    }

    /** DANGER: a silent backend has only its attempts' age against it: keep that when they are withdrawn. */
    void withdrawn(Attempt a) {
        double bound = bound(a);
        if (Double.isFinite(bound)) {
            blend(a.server, Math.min(a.server.speed, bound), 0);
        }
    }

    private void blend(Server s, double speed, double atLeast) {
        // Several samples in one tick would have no weight at all: a tick is the least gap.
        double gap = Math.max(known.now - s.sampledAt, known.settings.tick());
        double rate = known.answerRate;
        double delta = Math.max(DELTA, rate > 0 ? SAMPLES * known.use.length / rate * 1e6 : DELTA);
        double alpha = Math.min(ALPHA_MAX, Math.max(atLeast, 1 - Math.exp(-gap / delta)));
        s.speed += alpha * (speed - s.speed);
        s.samples = 1 + s.samples * Math.exp(-gap / delta);
        s.sampledAt = known.now;
    }

    /** Begins with the first sample there is: from 0 up, a new instance underrates its part for seconds. */
    private static double smooth(double rate, double sample, double weight) {
        return rate == 0 ? sample : rate + weight * (sample - rate);
    }

    /** Renews what is typical and how fast answers come; how many of the backends in use are sick. */
    int review(double seconds, double weight) {
        var speeds = Arrays.stream(known.use)
                .filter(s -> s.polled)
                .mapToDouble(s -> s.speed)
                .average();
        known.typical = Math.max(0.01, speeds.orElse(known.typical));
        var warm = Known.sizes(known.use, s -> !coldStarts.cold(s));
        // Where all are cold, what warm ones took is still the best guide.
        if (warm.getCount() > 0) {
            known.warmRate = smooth(known.warmRate, known.warmAnswers / seconds / warm.getSum(), weight);
            known.warmSize = warm.getAverage();
        }
        known.askedRate = smooth(known.askedRate, known.asked / seconds, weight);
        known.answerRate += weight * (known.allAnswers / seconds - known.answerRate);
        known.warmAnswers = known.allAnswers = known.asked = 0;
        double sick = known.typical * SICK;
        return (int) Arrays.stream(known.use)
                .filter(s -> s.polled && alone(s, false) < sick)
                .count();
    }
}
