package calicochute.experiment;

import calicochute.experiment.Sealed.Total;

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
final class HarmTest {
    /** Of the largest l that can't go below nothing. */
    private static final double[] OF_MOST = {0.1, 0.3, 0.6, 0.9};

    private static final double LOG_WEIGHT = StrictMath.log(1.0 / OF_MOST.length);
    static final int MANY = OF_MOST.length;

    private HarmTest() {}

    static void add(float[] wealth, int guard, Total t, Total c, double p, double bT, double bC, double worse) {
        double h = p * (1 - p);
        double shift = h * (bT - bC - worse);
        double tFailed = (1 - p) * (1 - bT) + shift;
        double tServed = -(1 - p) * bT + shift;
        double cFailed = -p * (1 - bC) + shift;
        double cServed = p * bC + shift;
        double lowest = -Math.min(Math.min(tFailed, tServed), Math.min(cFailed, cServed));
        for (int k = 0; k < MANY; k++) {
            double l = OF_MOST[k] / lowest;
            wealth[guard * MANY + k] += (float) (t.failures * StrictMath.log1p(l * tFailed)
                    + (t.n - t.failures) * StrictMath.log1p(l * tServed)
                    + c.failures * StrictMath.log1p(l * cFailed)
                    + (c.n - c.failures) * StrictMath.log1p(l * cServed));
        }
    }

    static double evidence(float[] wealth, int guard) {
        double[] logs = new double[MANY];
        for (int k = 0; k < MANY; k++) {
            logs[k] = LOG_WEIGHT + wealth[guard * MANY + k];
        }
        return EffectTest.logOfSum(logs);
    }
}
