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
    static final int OF_LANE = 4;

    final int definition;
    final long first;
    long window;
    double share;
    double nextShare;
    long nextFrom = Long.MAX_VALUE;
    Verdict verdict = Verdict.NONE;
    long decided = -1;
    int guard = -1;
    int step;
    EnumSet<Note> notes = EnumSet.noneOf(Note.class);
    long leftOut;
    /** Evidence on the effect, {@link EffectTest}. */
    final float[] wealth;
    /** Evidence of harm, {@link HarmTest}. */
    final float[] harm;

    final float[] lanes;
    final float[] guards;
    /** Squares of residuals over h, and sessions. */
    final float[] spread;
    /** For each group: sum of z, of h, and of squared residuals. */
    final float[] groups;
    /** For each arm four parts of its servers: sessions and sum, in turn. */
    final float[] parts;
    /**
     * Treatment's sessions beyond the drawn ones, sessions; of control and treatment: sessions, crossed; worth asked
     * for, cut.
     */
    final double[] totals;

    State(int definition, long first, int lanes, int guards) {
        this.definition = definition;
        this.first = first;
        window = first - 1;
        wealth = new float[EffectTest.HYPOTHESES * EffectTest.MANY * Sealed.GROUPS];
        harm = new float[guards * HarmTest.MANY];
        this.lanes = new float[lanes * OF_LANE];
        this.guards = new float[guards * OF_LANE];
        spread = new float[2];
        groups = new float[Sealed.GROUPS * 3];
        parts = new float[4 * Counts.PARTS];
        totals = new double[8];
    }

    State copy() {
        State copy = new State(definition, first, lanes.length / OF_LANE, guards.length / OF_LANE);
        copy.window = window;
        copy.share = share;
        copy.nextShare = nextShare;
        copy.nextFrom = nextFrom;
        copy.verdict = verdict;
        copy.decided = decided;
        copy.guard = guard;
        copy.step = step;
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
        return new float[][] {wealth, harm, lanes, guards, spread, groups, parts};
    }

    /** The newest window sealed. */
    public long window() {
        return window;
    }

    public Verdict verdict() {
        return verdict;
    }

    /** The first window that counts. */
    public long first() {
        return first;
    }

    /** True once nothing more is to be sealed: there is a verdict, and no steps whose guards have to be watched. */
    public boolean over(Experiment e) {
        return verdict != Verdict.NONE
                && (verdict != Verdict.TREATMENT || e.after().steps().isEmpty() || notes.contains(Note.TURNED_BACK));
    }

    /** The window at which the verdict fell; -1: none yet. */
    public long decided() {
        return decided;
    }

    /** Of a HARM: the place of the guard that tripped; -1: none. */
    public int guard() {
        return guard;
    }

    public Set<Note> notes() {
        return EnumSet.copyOf(notes);
    }

    /** Of a window's units, how many go to the treatment; none at all once it has done harm. */
    public double share(long of) {
        return verdict == Verdict.HARM || notes.contains(Note.TURNED_BACK) ? 0 : of < nextFrom ? share : nextShare;
    }

    /** What the treatment serves more, of the worth asked for; NaN: no sessions yet. */
    public double effect() {
        return groupSum(0) / groupSum(1);
    }

    /** Of {@link #effect()}: one standard deviation, as if looked at once; for reading, not for deciding. */
    public double spread() {
        return Math.sqrt(groupSum(2)) / groupSum(1);
    }

    public double sessions(Arm arm) {
        return totals[arm == Arm.CONTROL ? 2 : 3];
    }

    /** Part of an arm's sessions for which it had no room. */
    public double crossed(Arm arm) {
        return totals[arm == Arm.CONTROL ? 4 : 5] / Math.max(1, sessions(arm));
    }

    /** Part of the worth asked for that was cut off. */
    public double cut() {
        return totals[7] / Math.max(Double.MIN_NORMAL, totals[6]);
    }

    /** Counts of a balancer and a window left out so far. */
    public long leftOut() {
        return leftOut;
    }

    double groupSum(int figure) {
        double sum = 0;
        for (int g = 0; g < Sealed.GROUPS; g++) {
            sum += groups[g * 3 + figure];
        }
        return sum;
    }

    public byte[] bytes() {
        return StateBytes.of(this);
    }

    public static State of(byte[] bytes) throws UnreadableException {
        return StateBytes.read(bytes);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof State state && Arrays.equals(bytes(), state.bytes());
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes());
    }

    @Override
    public String toString() {
        return verdict + " at " + window + " effect " + effect() + " +- " + spread() + " notes " + notes;
    }
}
