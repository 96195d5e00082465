package calicochute.experiment;

/** The two groups of units that an experiment compares. */
public enum Arm {
    CONTROL,
    TREATMENT
}
