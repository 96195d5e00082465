package calicochute.experiment;

/** The result of an experiment; all but NONE are final. */
public enum Verdict {
    /** There is no verdict yet. */
    NONE,
    /** The mean measure of the treatment is higher. */
    TREATMENT,
    /** The mean measure of the control is higher. */
    CONTROL,
    /** The treatment fails more often than a guard allows. */
    HARM,
    /** A difference of `least` or more is ruled out in both directions. */
    NO_DIFFERENCE,
    /** The longest duration has passed, or the sessions did not split by the share ({@link Note#SPLIT}). */
    UNDECIDED;

    /** A condition that qualifies a verdict or withholds it. */
    public enum Note {
        /**
         * An arm had no capacity for more than 5% of its sessions, so that the comparison would measure its capacity.
         * Withholds all verdicts but HARM and UNDECIDED.
         */
        STARVED,
        /**
         * Without one of the five groups of balancers the evidence is insufficient, so that a single balancer that
         * counts wrongly could cause the verdict. Withholds the verdict.
         */
        CARRIED_BY_FEW,
        /** Fewer than three groups of balancers have counts, so that one that counts wrongly cannot be detected. */
        FEW_WITNESSES,
        /**
         * Most of the difference comes from one of the four server buckets of an arm; the cause may be those machines
         * and not the release on them.
         */
        ONE_PART,
        /**
         * The number of sessions of the arms does not fit the share, for example because retries are counted or
         * sessions are lost; the measured effect is not meaningful.
         */
        SPLIT,
        /** More than 5% of the requested worth is above the cap `measure.most`. */
        CUT_MUCH,
        /** A guard's limit was exceeded during the rollout after a verdict for the treatment; the share is 0 again. */
        TURNED_BACK
    }
}
