package calicochute.experiment;

/** What an experiment came to; all but NONE are final. */
public enum Verdict {
    NONE,
    /** The treatment serves more. */
    TREATMENT,
    /** The control serves more. */
    CONTROL,
    /** A guard tripped: the treatment fails more than the guard allows. */
    HARM,
    /** A difference of `least` or more is ruled out, either way. */
    NO_DIFFERENCE,
    /** The longest duration is over, or the sessions did not split as drawn ({@link Note#SPLIT}). */
    UNDECIDED;

    /** What must be known to read a verdict, or why there is none yet. */
    public enum Note {
        /**
         * An arm had no room for over 5% of its sessions: the arms are compared with their capacity, no verdict but
         * HARM.
         */
        STARVED,
        /**
         * Without one fifth of the balancers the evidence falls short: one of them may count wrongly, no verdict yet.
         */
        CARRIED_BY_FEW,
        /** Fewer than three groups of balancers count: one that counts wrongly would not be noticed. */
        FEW_WITNESSES,
        /**
         * Most of the difference comes from a quarter of one arm's servers: maybe those machines, not what the arm
         * runs.
         */
        ONE_PART,
        /**
         * More sessions of one arm than drawn: retries counted, sessions lost; nothing can be read from the figures.
         */
        SPLIT,
        /** Over 5% of the worth asked for was cut off at `measure.most`. */
        CUT_MUCH,
        /** After a verdict for the treatment a guard tripped on the way up: the share went back to 0. */
        TURNED_BACK
    }
}
