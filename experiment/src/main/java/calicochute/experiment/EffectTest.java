package calicochute.experiment;

import calicochute.experiment.Sealed.Total;

/**
 * Evidence on the effect (mean measure of the treatment minus that of the control), valid whenever it is looked at.
 *
 * <p>For a session of lane s in window w, assigned to the treatment (A = 1) with the window's share p, let X = bT - bC
 * + A (Y - bT) / p - (1 - A) (Y - bC) / (1 - p). p, bT and bC are fixed by windows sealed before, and A is drawn by the
 * hash whatever the session's outcomes in the two arms would be: so X has the effect as its mean given the past, for
 * any load, lane and p. That is what a difference of pooled means lacks when share and load move together.
 *
 * <p>Let z = h X with h = p (1 - p), and e = h (bT - bC). Then z - e is (1 - p)(Y - bT) in the treatment, -p (Y - bC)
 * in the control: bounded below by -a, a = max((1 - p) bT, p (1 - bC)), at most 1 at any share. The weight h is fixed
 * by the past and in proportion to the inverse of X's variance: windows at a small share weigh little.
 *
 * <p>Under "the effect is at most d": for 0 &lt; l &lt; 1/a and psi(x) = -log(1 - x) - x, exp(l y - psi(l a) / a^2 y^2)
 * is at most 1 + l y for all y of at least -a (the quotient of log(1 + l y) - l y by y^2 grows with y; Fan, Grama and
 * Liu 2015). With y = z - e and E z at most h d: E exp(l (z - h d) - psi(l a)/a^2 (z - e)^2) is at most exp(l (e - h
 * d)) (1 + l (h d - e)), at most 1. So the product over sessions is a supermartingale for any l fixed by the past, so
 * is a mixture over several l, and by Ville's inequality it ever reaches 1/error with a probability of at most the
 * error (Howard and others 2021; Waudby-Smith and Ramdas 2024). Within a window p, b, e, a and l do not change, so the
 * exponent needs only the sums of Y and Y^2: windows' sums lose nothing. The other direction is the same with -z, for
 * which a = max((1 - p)(1 - bT), p bC).
 *
 * <p>What it takes for granted: a session's arm does not change another session's outcome, and one unit is counted
 * once. The effect may differ from window to window: tested is its mean, weighted by sessions and h.
 */
final class EffectTest {
    /** As multiples of least / variance, the best for an effect of `least`; and the logarithms of their weights. */
    static final double[] TIMES = {0.7, 1, 1.5, 3};

    private static final double[] LOG_WEIGHT = {
        StrictMath.log(0.2), StrictMath.log(0.45), StrictMath.log(0.25), StrictMath.log(0.1)
    };
    static final int MANY = TIMES.length;
    /** Hypotheses to be rejected: effect at most 0, at least 0, at least `least`, at most -`least`. */
    static final int HYPOTHESES = 4;

    private static final double[] SIGN = {1, -1, -1, 1};
    private static final double[] AT = {0, 0, 1, -1};
    /** Of 1/a: beyond it psi eats up what is won. */
    private static final double FURTHEST = 0.8;

    private EffectTest() {}

    static double psi(double x) {
        return -StrictMath.log1p(-x) - x;
    }

    /** Place of the logarithm of one evidence. */
    private static int at(int hypothesis, int k, int group) {
        return (hypothesis * MANY + k) * Sealed.GROUPS + group;
    }

    /** Adds one lane of a window to the evidence; `variance` (of X times h) is that foreseen from earlier windows. */
    static void add(
            float[] wealth, Sealed sealed, int lane, double p, double bT, double bC, double variance, double least) {
        double h = p * (1 - p);
        for (int i = 0; i < HYPOTHESES; i++) {
            double a = Math.max(
                    0.02, SIGN[i] > 0 ? Math.max((1 - p) * bT, p * (1 - bC)) : Math.max((1 - p) * (1 - bT), p * bC));
            for (int k = 0; k < MANY; k++) {
                double l = Math.min(TIMES[k] * least / variance, FURTHEST / a);
                double price = psi(l * a) / (a * a);
                for (int g = 0; g < Sealed.GROUPS; g++) {
                    Total t = sealed.totals[g][lane][1];
                    Total c = sealed.totals[g][lane][0];
                    double z = h * (t.n + c.n) * (bT - bC - AT[i] * least)
                            + (1 - p) * (t.sum - t.n * bT)
                            - p * (c.sum - c.n * bC);
                    wealth[at(i, k, g)] += (float) (l * SIGN[i] * z - price * squares(t, c, p, bT, bC));
                }
            }
        }
    }

    /** Sum of (z - e) squared. */
    static double squares(Total t, Total c, double p, double bT, double bC) {
        return (1 - p) * (1 - p) * t.around(bT) + p * p * c.around(bC);
    }

    /** Logarithm of the evidence against a hypothesis, without one group (-1: of all). */
    static double evidence(float[] wealth, int hypothesis, int without) {
        double[] logs = new double[MANY];
        for (int k = 0; k < MANY; k++) {
            logs[k] = LOG_WEIGHT[k];
            for (int g = 0; g < Sealed.GROUPS; g++) {
                logs[k] += g == without ? 0 : wealth[at(hypothesis, k, g)];
            }
        }
        return logOfSum(logs);
    }

    static double logOfSum(double[] logs) {
        double most = Double.NEGATIVE_INFINITY;
        for (double log : logs) {
            most = Math.max(most, log);
        }
        double sum = 0;
        for (double log : logs) {
            sum += StrictMath.exp(log - most);
        }
        return most + StrictMath.log(sum);
    }
}
