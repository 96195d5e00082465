package calicochute.experiment;

import calicochute.experiment.SealedWindow.Total;

/**
 * Evidence that the treatment fails more often than a guard allows, valid whenever it is looked at.
 *
 * <p>z = h (X - worse) as in {@link EffectTest}, with failed or not in place of Y. A session is one of four kinds (arm,
 * failed), so that a window's counts tell each session's z exactly and a bet can be settled session by session: the
 * product of (1 + l z) is a supermartingale under "at most `worse` more" for any l fixed by the past with l z above -1,
 * and needs no bound on the square as empirical Bernstein does: a few failures are enough. Several l are mixed. A
 * tenant that failed in part counts in part for either kind: the logarithm is concave, so that this gives less evidence
 * than its own z would.
 */
final class HarmEvidence {
    /** Of the largest l that can't go below nothing. */
    private static final double[] BET_SHARES = {0.1, 0.3, 0.6, 0.9};

    private static final double LOG_BET_WEIGHT = StrictMath.log(1.0 / BET_SHARES.length);
    static final int BETS = BET_SHARES.length;

    private HarmEvidence() {}

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

    static double logEvidence(float[] logWealth, int guard) {
        double[] logs = new double[BETS];
        for (int k = 0; k < BETS; k++) {
            logs[k] = LOG_BET_WEIGHT + logWealth[guard * BETS + k];
        }
        return EffectEvidence.logSumExp(logs);
    }
}
