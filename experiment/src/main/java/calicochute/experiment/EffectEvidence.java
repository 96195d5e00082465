package calicochute.experiment;

import calicochute.experiment.SealedWindow.Total;

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
final class EffectEvidence {
    /** As multiples of least / variance, the best for an effect of `least`; and the logarithms of their weights. */
    static final double[] BET_MULTIPLES = {0.7, 1, 1.5, 3};

    private static final double[] LOG_BET_WEIGHTS = {
        StrictMath.log(0.2), StrictMath.log(0.45), StrictMath.log(0.25), StrictMath.log(0.1)
    };
    static final int BETS = BET_MULTIPLES.length;
    /** Hypotheses to be rejected: effect at most 0, at least 0, at least `least`, at most -`least`. */
    static final int HYPOTHESES = 4;

    private static final double[] SIGNS = {1, -1, -1, 1};
    private static final double[] EFFECT_BOUNDS = {0, 0, 1, -1};
    /** Of 1/a: beyond it psi eats up what is won. */
    private static final double MAX_BET_SHARE = 0.8;

    private EffectEvidence() {}

    static double psi(double x) {
        return -StrictMath.log1p(-x) - x;
    }

    /** Place of the logarithm of one evidence. */
    private static int index(int hypothesis, int bet, int group) {
        return (hypothesis * BETS + bet) * SealedWindow.GROUPS + group;
    }

    /** Adds one lane of a window to the evidence; `variance` (of X times h) is that foreseen from earlier windows. */
    static void add(
            float[] logWealth,
            SealedWindow sealed,
            int lane,
            double p,
            double bT,
            double bC,
            double variance,
            double least) {
        double h = p * (1 - p);
        for (int i = 0; i < HYPOTHESES; i++) {
            double a = Math.max(
                    0.02, SIGNS[i] > 0 ? Math.max((1 - p) * bT, p * (1 - bC)) : Math.max((1 - p) * (1 - bT), p * bC));
            for (int k = 0; k < BETS; k++) {
                double l = Math.min(BET_MULTIPLES[k] * least / variance, MAX_BET_SHARE / a);
                double penalty = psi(l * a) / (a * a);
                for (int g = 0; g < SealedWindow.GROUPS; g++) {
                    Total treatment = sealed.totals[g][lane][1];
                    Total control = sealed.totals[g][lane][0];
                    double z = h * (treatment.count + control.count) * (bT - bC - EFFECT_BOUNDS[i] * least)
                            + (1 - p) * (treatment.sum - treatment.count * bT)
                            - p * (control.sum - control.count * bC);
                    logWealth[index(i, k, g)] +=
                            (float) (l * SIGNS[i] * z - penalty * squaredResiduals(treatment, control, p, bT, bC));
                }
            }
        }
    }

    /** Sum of (z - e) squared. */
    static double squaredResiduals(Total treatment, Total control, double p, double bT, double bC) {
        return (1 - p) * (1 - p) * treatment.squaredDeviations(bT) + p * p * control.squaredDeviations(bC);
    }

    /** Logarithm of the evidence against a hypothesis, without one group (-1: of all). */
    static double logEvidence(float[] logWealth, int hypothesis, int excludedGroup) {
        double[] logs = new double[BETS];
        for (int k = 0; k < BETS; k++) {
            logs[k] = LOG_BET_WEIGHTS[k];
            for (int g = 0; g < SealedWindow.GROUPS; g++) {
                logs[k] += g == excludedGroup ? 0 : logWealth[index(hypothesis, k, g)];
            }
        }
        return logSumExp(logs);
    }

    static double logSumExp(double[] logs) {
        double max = Double.NEGATIVE_INFINITY;
        for (double log : logs) {
            max = Math.max(max, log);
        }
        double sum = 0;
        for (double log : logs) {
            sum += StrictMath.exp(log - max);
        }
        return max + StrictMath.log(sum);
    }
}
