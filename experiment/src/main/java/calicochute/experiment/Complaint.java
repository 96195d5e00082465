package calicochute.experiment;

/**
 * A reason why an experiment cannot run as configured.
 *
 * @param location name of the experiment and the field in question
 * @param problem what is wrong there, such as the value found
 * @param advice how an operator can correct it
 */
public record Complaint(Code code, String location, String problem, String advice) {
    /** The kind of the problem. */
    public enum Code {
        NAME_MISSING,
        NAME_TWICE,
        ARMS_OVERLAP,
        ARM_EMPTY,
        ARM_MISSING,
        SHARE_OUT_OF_RANGE,
        SHARE_OVER_CAPACITY,
        SERVER_IN_TWO,
        ERROR_OUT_OF_RANGE,
        LEAST_OUT_OF_RANGE,
        LANE_UNKNOWN,
        LANES_MISSING,
        LANES_TOO_MANY,
        GUARD_UNKNOWN_LANE,
        GUARD_OUT_OF_RANGE,
        GUARDS_TOO_MANY,
        GUARD_TWICE,
        UNITS_TOO_FEW,
        TENANT_UNKNOWN,
        STEPS_BAD,
        LONGEST_OUT_OF_RANGE,
        MEASURE_BAD
    }
}
