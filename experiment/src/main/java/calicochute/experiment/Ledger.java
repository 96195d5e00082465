package calicochute.experiment;

import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Sealed.Total;
import java.util.List;

/**
 * Adds a sealed window to a state: evidence and sums, and then what the tests foresee of the next window, learned from
 * all before it.
 */
final class Ledger {
    /** A predictor forgets beyond this many sessions, to follow the load. */
    private static final float MEMORY = 1000;

    private final Experiment e;
    private final List<String> lanes;
    private final double least;

    Ledger(Experiment e, List<String> lanes) {
        this.e = e;
        this.lanes = lanes;
        least = e.least();
    }

    /** What is foreseen before anything was seen. */
    static void foresee(State s) {
        for (int i = 0; i < s.lanes.length; i += 2) {
            s.lanes[i] = 0.5f;
            s.lanes[i + 1] = 2;
        }
        for (int i = 0; i < s.guards.length; i += 2) {
            s.guards[i] = 0.02f;
            s.guards[i + 1] = 10;
        }
        s.spread[0] = 2;
        s.spread[1] = 20;
    }

    void guards(State s, Sealed sealed, double p) {
        for (int i = 0; i < e.guards().size(); i++) {
            Guard guard = e.guards().get(i);
            int lane = lanes.indexOf(guard.lane());
            if (lane >= 0) {
                Total t = sealed.total(lane, Arm.TREATMENT);
                Total c = sealed.total(lane, Arm.CONTROL);
                int at = i * State.OF_LANE;
                HarmTest.add(s.harm, i, t, c, p, s.guards[at], s.guards[at + 2], guard.worse());
                learn(s.guards, at, t.failures, t.n);
                learn(s.guards, at + 2, c.failures, c.n);
            }
        }
    }

    void count(State s, Sealed sealed, double p) {
        double h = p * (1 - p);
        double variance = s.spread[0] / s.spread[1];
        for (int lane = 0; lane < lanes.size(); lane++) {
            int at = lane * State.OF_LANE;
            double bT = s.lanes[at];
            double bC = s.lanes[at + 2];
            EffectTest.add(s.wealth, sealed, lane, p, bT, bC, variance, least);
            for (int g = 0; g < Sealed.GROUPS; g++) {
                Total t = sealed.totals[g][lane][1];
                Total c = sealed.totals[g][lane][0];
                double squares = EffectTest.squares(t, c, p, bT, bC);
                s.groups[g * 3] +=
                        (float) (h * (t.n + c.n) * (bT - bC) + (1 - p) * (t.sum - t.n * bT) - p * (c.sum - c.n * bC));
                s.groups[g * 3 + 1] += (float) (h * (t.n + c.n));
                s.groups[g * 3 + 2] += (float) squares;
                s.spread[0] += (float) (squares / h);
                s.spread[1] += (float) (t.n + c.n);
            }
            Total t = sealed.total(lane, Arm.TREATMENT);
            Total c = sealed.total(lane, Arm.CONTROL);
            learn(s.lanes, at, t.sum, t.n);
            learn(s.lanes, at + 2, c.sum, c.n);
        }
        halve(s.spread, 1e6f);
        double control = sealed.sessions(Arm.CONTROL);
        double treatment = sealed.sessions(Arm.TREATMENT);
        double[] add = {
            treatment - p * (control + treatment),
            control + treatment,
            control,
            treatment,
            sealed.crossed[0],
            sealed.crossed[1],
            sealed.asked,
            sealed.cut
        };
        for (int i = 0; i < add.length; i++) {
            s.totals[i] += add[i];
        }
        for (int i = 0; i < s.parts.length; i++) {
            s.parts[i] += (float) sealed.parts[i];
        }
        halve(s.parts, 1e6f);
    }

    /** A float beyond some millions would no longer grow by ones. */
    private static void halve(float[] sums, float most) {
        for (float sum : sums) {
            if (sum > most) {
                for (int i = 0; i < sums.length; i++) {
                    sums[i] /= 2;
                }
                return;
            }
        }
    }

    private static void learn(float[] means, int at, double sum, double n) {
        if (n > 0) {
            double before = Math.min(means[at + 1], MEMORY);
            means[at] = (float) Math.max(0, Math.min(1, (means[at] * before + sum) / (before + n)));
            means[at + 1] = (float) (before + n);
        }
    }
}
