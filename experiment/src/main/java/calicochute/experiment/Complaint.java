package calicochute.experiment;

/**
 * Why an experiment can't be run as written.
 *
 * @param where the experiment's name and the part of it
 * @param seen what was found there
 * @param todo what an operator can do
 */
public record Complaint(Code code, String where, String seen, String todo) {
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
