package calicochute.experiment;

import calicochute.experiment.Verdict.Note;

/** What a state has to say of itself beside the verdict: what withholds one, or is to be known with it. */
final class Notes {
    private static final int FEWEST_GROUPS = 3;
    private static final double MOST_CROSSED = 0.05;
    private static final double MOST_CUT = 0.05;
    /** The split's own error rate: it ends an experiment undecided, and is no verdict on the arms. */
    private static final double LOG_SPLIT = StrictMath.log(1000);
    /** Sessions at which the split's test is sharpest, over 4. */
    private static final double SPLIT_SCALE = 500;

    private Notes() {}

    /** Before a verdict is looked for. */
    static void look(State s) {
        note(s, Note.STARVED, Math.max(s.crossed(Arm.CONTROL), s.crossed(Arm.TREATMENT)) > MOST_CROSSED);
        note(s, Note.CUT_MUCH, s.cut() > MOST_CUT);
        note(s, Note.SPLIT, s.notes.contains(Note.SPLIT) || uneven(s));
        note(s, Note.FEW_WITNESSES, groupsCounting(s) < FEWEST_GROUPS);
        s.notes.remove(Note.CARRIED_BY_FEW);
    }

    /** With a verdict. */
    static void decided(State s) {
        boolean harmOrArm = s.verdict == Verdict.CONTROL || s.verdict == Verdict.TREATMENT || s.verdict == Verdict.HARM;
        note(s, Note.ONE_PART, harmOrArm && onePart(s));
    }

    private static void note(State s, Note note, boolean holds) {
        if (holds) {
            s.notes.add(note);
        } else {
            s.notes.remove(note);
        }
    }

    /** Robbins' normal mixture for sums of values within a range of 1 (variance at most 1/4). */
    private static boolean uneven(State s) {
        double v = s.totals[1] / 4;
        return s.totals[0] * s.totals[0] / (2 * (v + SPLIT_SCALE)) + StrictMath.log(SPLIT_SCALE / (v + SPLIT_SCALE)) / 2
                >= LOG_SPLIT;
    }

    private static int groupsCounting(State s) {
        int many = 0;
        for (int g = 0; g < Sealed.GROUPS; g++) {
            many += s.groups[g * 3 + 1] > 0 ? 1 : 0;
        }
        return many;
    }

    /** Whether one quarter of the worse arm's servers makes more than half of its arrears. */
    private static boolean onePart(State s) {
        int worse = mean(s, 0, -1) < mean(s, 1, -1) ? 0 : 1;
        double better = mean(s, 1 - worse, -1);
        double all = better - mean(s, worse, -1);
        for (int part = 0; part < Counts.PARTS; part++) {
            if (better - mean(s, worse, part) < all / 2) {
                return true;
            }
        }
        return false;
    }

    private static double mean(State s, int arm, int without) {
        double n = 0;
        double sum = 0;
        for (int part = 0; part < Counts.PARTS; part++) {
            if (part != without) {
                n += s.parts[2 * (arm * Counts.PARTS + part)];
                sum += s.parts[2 * (arm * Counts.PARTS + part) + 1];
            }
        }
        return sum / Math.max(1, n);
    }
}
