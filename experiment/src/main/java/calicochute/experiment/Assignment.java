package calicochute.experiment;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Which arm a unit is in: by hash alone, so that every balancer says the same, after a restart too, without a word
 * between them. A unit's place in [0, 1) never moves; the treatment is what lies below the share, so that a greater
 * share only moves units from control to treatment.
 */
public final class Assignment {
    private Assignment() {}

    public static Arm of(Experiment experiment, String unit, double share) {
        return position(experiment, unit, "") < share ? Arm.TREATMENT : Arm.CONTROL;
    }

    /** In [0, 1), uniform over units; another purpose gives a place that has nothing to do with the first. */
    static double position(Experiment experiment, String unit, String purpose) {
        // Lengths keep ("a", "bc") and ("ab", "c") apart.
        return hashFraction(experiment.name().length() + ":" + experiment.name()
                + experiment.salt().length() + ":" + experiment.salt() + purpose.length() + ":" + purpose + unit);
    }

    static double hashFraction(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return (MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0] >>> 11) * 0x1p-53;
    }
}
