package calicochute.experiment;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns units to arms by hash alone, so that all balancers agree without communication and also after a restart. A
 * unit has a fixed position in [0, 1) and belongs to the treatment if the position is below the share, so that a larger
 * share only moves units from control to treatment.
 */
public final class Assignment {
    private Assignment() {}

    /** Returns the arm of a unit when the given share of units, in [0, 1], goes to the treatment. */
    public static Arm of(Experiment experiment, String unit, double share) {
        return position(experiment, unit, "") < share ? Arm.TREATMENT : Arm.CONTROL;
    }

    /** Returns a position in [0, 1), uniform over units and independent between purposes. */
    static double position(Experiment experiment, String unit, String purpose) {
        // The lengths keep ("a", "bc") and ("ab", "c") from giving the same text.
        return hashFraction(experiment.name().length() + ":" + experiment.name()
                + experiment.salt().length() + ":" + experiment.salt() + purpose.length() + ":" + purpose + unit);
    }

    /** Maps a text to [0, 1) by the upper 53 bits of its hash. */
    static double hashFraction(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return (MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0] >>> 11) * 0x1p-53;
    }
}
