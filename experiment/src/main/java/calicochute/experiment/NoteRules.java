package calicochute.experiment;

import calicochute.experiment.Verdict.Note;

/** Sets the notes of a state: conditions that withhold a verdict or qualify it. */
final class NoteRules {
    /** Smallest number of balancer groups for which the evidence is checked without each of them. */
    private static final int MIN_GROUPS = 3;
    /** Share of an arm's sessions served outside the arm above which the arm lacks capacity. */
    private static final double MAX_CROSSOVER_SHARE = 0.05;
    /** Share of the requested worth above the cap that is worth a note. */
    private static final double MAX_CUT_SHARE = 0.05;
    /**
     * Log evidence at which the split counts as uneven. Its error rate of 1/1000 is separate from the experiment's,
     * because it ends the experiment undecided and is not a verdict on the arms.
     */
    private static final double LOG_SPLIT_THRESHOLD = StrictMath.log(1000);
    /** Variance of the mixture; the split test is most powerful at four times this number of sessions. */
    private static final double SPLIT_MIXTURE_VARIANCE = 500;

    private NoteRules() {}

    /** Sets the notes that a verdict depends on. */
    static void beforeVerdict(State state) {
        setNote(
                state,
                Note.STARVED,
                Math.max(state.crossoverShare(Arm.CONTROL), state.crossoverShare(Arm.TREATMENT)) > MAX_CROSSOVER_SHARE);
        setNote(state, Note.CUT_MUCH, state.cutShare() > MAX_CUT_SHARE);
        setNote(state, Note.SPLIT, state.notes.contains(Note.SPLIT) || isSplitUneven(state));
        setNote(state, Note.FEW_WITNESSES, countingGroups(state) < MIN_GROUPS);
        state.notes.remove(Note.CARRIED_BY_FEW);
    }

    /** Sets the notes that qualify a verdict. */
    static void onVerdict(State state) {
        boolean harmOrArm =
                state.verdict == Verdict.CONTROL || state.verdict == Verdict.TREATMENT || state.verdict == Verdict.HARM;
        setNote(state, Note.ONE_PART, harmOrArm && isOneBucketDominant(state));
    }

    private static void setNote(State state, Note note, boolean holds) {
        if (holds) {
            state.notes.add(note);
        } else {
            state.notes.remove(note);
        }
    }

    /** Tests the split by Robbins' normal mixture for sums of values within a range of 1 (variance at most 1/4). */
    private static boolean isSplitUneven(State state) {
        double variance = state.totals[1] / 4;
        return state.totals[0] * state.totals[0] / (2 * (variance + SPLIT_MIXTURE_VARIANCE))
                        + StrictMath.log(SPLIT_MIXTURE_VARIANCE / (variance + SPLIT_MIXTURE_VARIANCE)) / 2
                >= LOG_SPLIT_THRESHOLD;
    }

    private static int countingGroups(State state) {
        int count = 0;
        for (int g = 0; g < SealedWindow.GROUPS; g++) {
            count += state.groupSums[g * 3 + 1] > 0 ? 1 : 0;
        }
        return count;
    }

    /** Whether one bucket of the worse arm's servers causes more than half of the difference between the arms. */
    private static boolean isOneBucketDominant(State state) {
        int worse = mean(state, 0, -1) < mean(state, 1, -1) ? 0 : 1;
        double better = mean(state, 1 - worse, -1);
        double difference = better - mean(state, worse, -1);
        for (int bucket = 0; bucket < Counts.BUCKETS; bucket++) {
            if (better - mean(state, worse, bucket) < difference / 2) {
                return true;
            }
        }
        return false;
    }

    /** Mean measure of an arm without one of its server buckets; -1 to exclude none. */
    private static double mean(State state, int arm, int excludedBucket) {
        double count = 0;
        double sum = 0;
        for (int bucket = 0; bucket < Counts.BUCKETS; bucket++) {
            if (bucket != excludedBucket) {
                count += state.serverBuckets[2 * (arm * Counts.BUCKETS + bucket)];
                sum += state.serverBuckets[2 * (arm * Counts.BUCKETS + bucket) + 1];
            }
        }
        return sum / Math.max(1, count);
    }
}
