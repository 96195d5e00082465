package calicochute.experiment;

import calicochute.experiment.SealedWindow.Total;

/**
 * Sequential evidence on the effect, that is the mean measure of the treatment minus that of the control. It is valid
 * at any stopping time (an e-process).
 *
 * <p><b>Estimator.</b> Let Y in [0, 1] be the measure of a session, A = 1 if it is assigned to the treatment and 0 if
 * to the control, p the treatment's share in the window, and bT, bC the predicted means of Y in treatment and control
 * for the session's lane. Let X = bT - bC + A (Y - bT) / p - (1 - A) (Y - bC) / (1 - p). The values p, bT and bC depend
 * on earlier sealed windows only, and the hash draws A independently of the outcomes the session would have in either
 * arm. Given the past, the mean of X is therefore the effect, for any load, lane and p. A difference of pooled means is
 * biased when share and load change together.
 *
 * <p><b>Bound.</b> Let z = h X with h = p (1 - p), and e = h (bT - bC). Then z - e is (1 - p)(Y - bT) in the treatment
 * and -p (Y - bC) in the control. Both are at least -a with a = max((1 - p) bT, p (1 - bC)), which is at most 1 for any
 * share. The weight h depends on the past only and is proportional to the inverse of X's variance, so that windows at a
 * small share have a small weight.
 *
 * <p><b>Test of "the effect is at most d".</b> Let l be the bet, 0 &lt; l &lt; 1/a, and psi(x) = -log(1 - x) - x. Then
 * exp(l y - psi(l a) / a^2 y^2) is at most 1 + l y for all y of at least -a, because (log(1 + l y) - l y) / y^2
 * increases with y (Fan, Grama and Liu 2015). With y = z - e and E z at most h d, E exp(l (z - h d) - psi(l a)/a^2 (z -
 * e)^2) is at most exp(l (e - h d)) (1 + l (h d - e)), which is at most 1. The product over sessions (the wealth) is
 * therefore a supermartingale for any l that depends on the past only, and so is a mixture over several l. By Ville's
 * inequality the probability that it ever reaches 1/error is at most the error (Howard and others 2021; Waudby-Smith
 * and Ramdas 2024). Within a window p, bT, bC, e, a and l are constant, so that the exponent needs only the sums of Y
 * and Y^2 and a window's sums lose no information. The opposite direction uses -z, for which a = max((1 - p)(1 - bT), p
 * bC).
 *
 * <p><b>Assumptions.</b> A session's arm does not change the outcome of another session, and a unit is counted once.
 * The effect may differ between windows: the test is on its mean, weighted by sessions and h.
 */
final class EffectEvidence {
    /** Bets as multiples of least / variance, which is the best bet for an effect of `least`. */
    static final double[] BET_MULTIPLES = {0.7, 1, 1.5, 3};

    /** Logarithms of the weights of the bets in the mixture. */
    private static final double[] LOG_BET_WEIGHTS = {
        StrictMath.log(0.2), StrictMath.log(0.45), StrictMath.log(0.25), StrictMath.log(0.1)
    };
    /** Number of bets in the mixture. */
    static final int BETS = BET_MULTIPLES.length;
    /** Number of hypotheses tested: effect at most 0, at least 0, at least `least`, at most -`least`. */
    static final int HYPOTHESES = 4;

    /** Sign of z for each hypothesis: -1 where the hypothesis bounds the effect from below. */
    private static final double[] SIGNS = {1, -1, -1, 1};
    /** Bound on the effect in each hypothesis, in units of `least`. */
    private static final double[] EFFECT_BOUNDS = {0, 0, 1, -1};
    /** Largest bet as a share of 1/a; beyond it the penalty psi outweighs the gain. */
    private static final double MAX_BET_SHARE = 0.8;

    private EffectEvidence() {}

    static double psi(double x) {
        return -StrictMath.log1p(-x) - x;
    }

    /** Index of a log wealth in the array. */
    private static int index(int hypothesis, int bet, int group) {
        return (hypothesis * BETS + bet) * SealedWindow.GROUPS + group;
    }

    /**
     * Adds one lane of a window to the evidence.
     *
     * @param logWealth logarithms of the wealth by hypothesis, bet and group, updated in place
     * @param p share of the treatment in the window
     * @param bT predicted mean of the measure in the treatment
     * @param bC predicted mean of the measure in the control
     * @param variance of X times h, as predicted from earlier windows
     * @param least the smallest effect that matters
     */
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

    /** Sum of (z - e) squared, with the symbols of the class comment. */
    static double squaredResiduals(Total treatment, Total control, double p, double bT, double bC) {
        return (1 - p) * (1 - p) * treatment.squaredDeviations(bT) + p * p * control.squaredDeviations(bC);
    }

    /**
     * Logarithm of the evidence against a hypothesis.
     *
     * @param excludedGroup group of balancers to leave out; -1 for none
     */
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

    /** Logarithm of the sum of the exponentials, without overflow. */
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
