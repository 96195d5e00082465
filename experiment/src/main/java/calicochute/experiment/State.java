package calicochute.experiment;

import calicochute.experiment.Verdict.Note;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;

/**
 * All a stopper knows after a sealed window; of the size of a datagram, whatever the number of balancers, servers and
 * sessions. Not changed once handed out ({@link Stopper} works on a copy). Figures are kept as floats where they are,
 * and counted on from the floats: a state read from bytes goes on exactly as the one written.
 */
public final class State {
    /** Floats of a predictor: mean and weight of the treatment, then of the control. */
    static final int PREDICTOR_FLOATS = 4;

    final int definition;
    final long firstWindow;
    long window;
    double share;
    double nextShare;
    long nextShareWindow = Long.MAX_VALUE;
    Verdict verdict = Verdict.NONE;
    long verdictWindow = -1;
    int trippedGuard = -1;
    int rolloutStep;
    EnumSet<Note> notes = EnumSet.noneOf(Note.class);
    long leftOut;
    /** Evidence on the effect, {@link EffectTest}. */
    final float[] effectLogWealth;
    /** Evidence of harm, {@link HarmTest}. */
    final float[] harmLogWealth;

    final float[] lanePredictors;
    final float[] guardPredictors;
    /** Squares of residuals over h, and sessions. */
    final float[] varianceSums;
    /** For each group: sum of z, of h, and of squared residuals. */
    final float[] groupSums;
    /** For each arm four parts of its servers: sessions and sum, in turn. */
    final float[] serverBuckets;
    /**
     * Treatment's sessions beyond the drawn ones, sessions; of control and treatment: sessions, crossed; worth asked
     * for, cut.
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

    float[][] floats() {
        return new float[][] {
            effectLogWealth, harmLogWealth, lanePredictors, guardPredictors, varianceSums, groupSums, serverBuckets
        };
    }

    /** The newest window sealed. */
    public long window() {
        return window;
    }

    public Verdict verdict() {
        return verdict;
    }

    /** The first window that counts. */
    public long firstWindow() {
        return firstWindow;
    }

    /** True once nothing more is to be sealed: there is a verdict, and no steps whose guards have to be watched. */
    public boolean isFinished(Experiment experiment) {
        return verdict != Verdict.NONE
                && (verdict != Verdict.TREATMENT
                        || experiment.after().steps().isEmpty()
                        || notes.contains(Note.TURNED_BACK));
    }

    /** The window at which the verdict fell; -1: none yet. */
    public long verdictWindow() {
        return verdictWindow;
    }

    /** Of a HARM: the place of the guard that tripped; -1: none. */
    public int trippedGuard() {
        return trippedGuard;
    }

    public Set<Note> notes() {
        return EnumSet.copyOf(notes);
    }

    /** Of a window's units, how many go to the treatment; none at all once it has done harm. */
    public double share(long atWindow) {
        return verdict == Verdict.HARM || notes.contains(Note.TURNED_BACK)
                ? 0
                : atWindow < nextShareWindow ? share : nextShare;
    }

    /** What the treatment serves more, of the worth asked for; NaN: no sessions yet. */
    public double effect() {
        return groupSum(0) / groupSum(1);
    }

    /** Of {@link #effect()}: one standard deviation, as if looked at once; for reading, not for deciding. */
    public double varianceSums() {
        return Math.sqrt(groupSum(2)) / groupSum(1);
    }

    public double sessions(Arm arm) {
        return totals[arm == Arm.CONTROL ? 2 : 3];
    }

    /** Part of an arm's sessions for which it had no room. */
    public double crossoverShare(Arm arm) {
        return totals[arm == Arm.CONTROL ? 4 : 5] / Math.max(1, sessions(arm));
    }

    /** Part of the worth asked for that was cut off. */
    public double cutShare() {
        return totals[7] / Math.max(Double.MIN_NORMAL, totals[6]);
    }

    /** Counts of a balancer and a window left out so far. */
    public long leftOut() {
        return leftOut;
    }

    double groupSum(int column) {
        double sum = 0;
        for (int g = 0; g < SealedWindow.GROUPS; g++) {
            sum += groupSums[g * 3 + column];
        }
        return sum;
    }

    public byte[] toBytes() {
        return StateBytes.write(this);
    }

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
        return verdict + " at " + window + " effect " + effect() + " +- " + varianceSums() + " notes " + notes;
    }
}
