package calicochute.experiment;

import calicochute.experiment.Verdict.Note;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;

/**
 * The state of an experiment after a sealed window. Its size does not depend on the number of balancers, servers and
 * sessions, and it fits a datagram. It does not change once it is handed out, because {@link Stopper} works on a copy.
 * Evidence and predictors are stored and updated as floats, so that a deserialized state continues exactly as the
 * original.
 */
public final class State {
    /** Number of floats of a predictor: mean and weight of the treatment, then of the control. */
    static final int PREDICTOR_FLOATS = 4;

    /** Hash of the experiment's definition, {@link Stopper#definition()}. */
    final int definition;

    final long firstWindow;
    long window;
    double share;
    /** Share from {@code nextShareWindow} on. */
    double nextShare;

    long nextShareWindow = Long.MAX_VALUE;
    Verdict verdict = Verdict.NONE;
    long verdictWindow = -1;
    int trippedGuard = -1;
    /** Number of rollout steps that were scheduled. */
    int rolloutStep;

    EnumSet<Note> notes = EnumSet.noneOf(Note.class);
    long leftOut;
    /** Log wealth of {@link EffectEvidence}, by hypothesis, bet and group. */
    final float[] effectLogWealth;
    /** Log wealth of {@link HarmEvidence}, by guard and bet. */
    final float[] harmLogWealth;

    /** Predicted means of the measure, {@link #PREDICTOR_FLOATS} for each lane. */
    final float[] lanePredictors;
    /** Predicted failure rates, {@link #PREDICTOR_FLOATS} for each guard. */
    final float[] guardPredictors;
    /** Sum of squared residuals divided by h, and number of sessions; the ratio predicts the variance of X times h. */
    final float[] varianceSums;
    /** For each group of balancers: sum of z, of h, and of squared residuals. */
    final float[] groupSums;
    /** For each arm and server bucket: number of sessions and sum of the measure. */
    final float[] serverBuckets;
    /**
     * In this order: treatment sessions in excess of the expected number; sessions; sessions of the control; sessions
     * of the treatment; crossovers of the control; crossovers of the treatment; requested worth; worth above the cap.
     */
    final double[] totals;

    State(int definition, long firstWindow, int lanes, int guards) {
        this.definition = definition;
        this.firstWindow = firstWindow;
        window = firstWindow - 1;
        effectLogWealth = new float[EffectEvidence.HYPOTHESES * EffectEvidence.BETS * SealedWindow.GROUPS];
        harmLogWealth = new float[guards * HarmEvidence.BETS];
        this.lanePredictors = new float[lanes * PREDICTOR_FLOATS];
        this.guardPredictors = new float[guards * PREDICTOR_FLOATS];
        varianceSums = new float[2];
        groupSums = new float[SealedWindow.GROUPS * 3];
        serverBuckets = new float[4 * Counts.BUCKETS];
        totals = new double[8];
    }

    State copy() {
        State copy = new State(
                definition,
                firstWindow,
                lanePredictors.length / PREDICTOR_FLOATS,
                guardPredictors.length / PREDICTOR_FLOATS);
        copy.window = window;
        copy.share = share;
        copy.nextShare = nextShare;
        copy.nextShareWindow = nextShareWindow;
        copy.verdict = verdict;
        copy.verdictWindow = verdictWindow;
        copy.trippedGuard = trippedGuard;
        copy.rolloutStep = rolloutStep;
        copy.notes = EnumSet.copyOf(notes);
        copy.leftOut = leftOut;
        float[][] from = floats();
        float[][] to = copy.floats();
        for (int i = 0; i < from.length; i++) {
            System.arraycopy(from[i], 0, to[i], 0, from[i].length);
        }
        System.arraycopy(totals, 0, copy.totals, 0, totals.length);
        return copy;
    }

    /** All float arrays, in the order of serialization. */
    float[][] floats() {
        return new float[][] {
            effectLogWealth, harmLogWealth, lanePredictors, guardPredictors, varianceSums, groupSums, serverBuckets
        };
    }

    /** The newest sealed window. */
    public long window() {
        return window;
    }

    public Verdict verdict() {
        return verdict;
    }

    /** The first window whose sessions count. */
    public long firstWindow() {
        return firstWindow;
    }

    /** Whether no more windows need to be sealed: there is a verdict and no rollout whose guards must be evaluated. */
    public boolean isFinished(Experiment experiment) {
        return verdict != Verdict.NONE
                && (verdict != Verdict.TREATMENT
                        || experiment.after().steps().isEmpty()
                        || notes.contains(Note.TURNED_BACK));
    }

    /** The window that led to the verdict; -1 if there is none yet. */
    public long verdictWindow() {
        return verdictWindow;
    }

    /** Index of the guard whose limit was exceeded; -1 for none. */
    public int trippedGuard() {
        return trippedGuard;
    }

    /** A copy of the notes. */
    public Set<Note> notes() {
        return EnumSet.copyOf(notes);
    }

    /** The share of a window's units that go to the treatment; 0 after the verdict HARM or a reverted rollout. */
    public double share(long atWindow) {
        return verdict == Verdict.HARM || notes.contains(Note.TURNED_BACK)
                ? 0
                : atWindow < nextShareWindow ? share : nextShare;
    }

    /** Estimated mean measure of the treatment minus that of the control; NaN without sessions. */
    public double effect() {
        return groupSum(0) / groupSum(1);
    }

    /**
     * Standard error of {@link #effect()}. It ignores repeated looks at the data and is informational; verdicts do not
     * use it.
     */
    public double standardError() {
        return Math.sqrt(groupSum(2)) / groupSum(1);
    }

    /** Number of sessions counted for an arm. */
    public double sessions(Arm arm) {
        return totals[arm == Arm.CONTROL ? 2 : 3];
    }

    /** Share of an arm's sessions for which the arm had no capacity. */
    public double crossoverShare(Arm arm) {
        return totals[arm == Arm.CONTROL ? 4 : 5] / Math.max(1, sessions(arm));
    }

    /** Share of the requested worth above the cap. */
    public double cutShare() {
        return totals[7] / Math.max(Double.MIN_NORMAL, totals[6]);
    }

    /** Number of counts left out so far, see {@link SealedWindow#leftOut()}. */
    public long leftOut() {
        return leftOut;
    }

    /** Sum of a column of {@code groupSums} over all groups. */
    double groupSum(int column) {
        double sum = 0;
        for (int g = 0; g < SealedWindow.GROUPS; g++) {
            sum += groupSums[g * 3 + column];
        }
        return sum;
    }

    /** Serializes the state. */
    public byte[] toBytes() {
        return StateBytes.write(this);
    }

    /**
     * Parses the output of {@link #toBytes}.
     *
     * @throws UnreadableException if the bytes are not a valid state of the supported version
     */
    public static State fromBytes(byte[] bytes) throws UnreadableException {
        return StateBytes.read(bytes);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof State state && Arrays.equals(toBytes(), state.toBytes());
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(toBytes());
    }

    @Override
    public String toString() {
        return verdict + " at " + window + " effect " + effect() + " +- " + standardError() + " notes " + notes;
    }
}
