package calicochute.experiment;

import calicochute.experiment.SealedWindow.Total;

/**
 * Sequential evidence that the treatment fails more often than a guard allows. It is valid at any stopping time.
 *
 * <p>Let z = h (X - worse) as in {@link EffectEvidence}, with Y = 1 for a failed session and 0 otherwise. A session is
 * one of four kinds (arm, failed or not), so that the counts of a window determine the z of each session. For any bet l
 * that depends on the past only, with l z above -1, the product of (1 + l z) over sessions is a supermartingale under
 * the hypothesis that the failure rate is at most `worse` higher. Unlike the empirical Bernstein bound of
 * {@link EffectEvidence} it needs no squares, so that few failures are enough for a verdict. Several bets are mixed. A
 * tenant that failed in part counts in part for either kind; because the logarithm is concave, this gives less evidence
 * than its own z would.
 */
final class HarmEvidence {
    /** Bets as shares of the largest one for which the wealth cannot become negative. */
    private static final double[] BET_SHARES = {0.1, 0.3, 0.6, 0.9};

    /** Logarithm of the weight of each bet in the mixture. */
    private static final double LOG_BET_WEIGHT = StrictMath.log(1.0 / BET_SHARES.length);
    /** Number of bets in the mixture. */
    static final int BETS = BET_SHARES.length;

    private HarmEvidence() {}

    /**
     * Adds a window's sessions of a guard's lane to the evidence.
     *
     * @param logWealth logarithms of the wealth by guard and bet, updated in place
     * @param p share of the treatment in the window
     * @param bT predicted failure rate of the treatment
     * @param bC predicted failure rate of the control
     * @param allowedExcess largest allowed difference of the failure rates, {@link Experiment.Guard#worse()}
     */
    static void add(
            float[] logWealth,
            int guard,
            Total treatment,
            Total control,
            double p,
            double bT,
            double bC,
            double allowedExcess) {
        double h = p * (1 - p);
        double shift = h * (bT - bC - allowedExcess);
        double treatmentFailed = (1 - p) * (1 - bT) + shift;
        double treatmentServed = -(1 - p) * bT + shift;
        double controlFailed = -p * (1 - bC) + shift;
        double controlServed = p * bC + shift;
        double maxLoss = -Math.min(Math.min(treatmentFailed, treatmentServed), Math.min(controlFailed, controlServed));
        for (int k = 0; k < BETS; k++) {
            double l = BET_SHARES[k] / maxLoss;
            logWealth[guard * BETS + k] += (float) (treatment.failures * StrictMath.log1p(l * treatmentFailed)
                    + (treatment.count - treatment.failures) * StrictMath.log1p(l * treatmentServed)
                    + control.failures * StrictMath.log1p(l * controlFailed)
                    + (control.count - control.failures) * StrictMath.log1p(l * controlServed));
        }
    }

    /** Logarithm of the evidence that a guard's limit is exceeded. */
    static double logEvidence(float[] logWealth, int guard) {
        double[] logs = new double[BETS];
        for (int k = 0; k < BETS; k++) {
            logs[k] = LOG_BET_WEIGHT + logWealth[guard * BETS + k];
        }
        return EffectEvidence.logSumExp(logs);
    }
}
