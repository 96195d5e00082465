package calicochute.experiment;

/** The two sides of an experiment. */
public enum Arm {
    CONTROL,
    TREATMENT
}
