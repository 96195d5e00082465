package calicochute.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Assignment must be stable across releases, monotonic in the share, and independent between experiments. */
class AssignmentTest {
    private static Experiment experiment(String name, String salt) {
        return new Experiment(
                name, salt, null, null, null, 0.5, null, null, null, 0.02, 0.05, null, Duration.ofHours(1), null);
    }

    @Property(tries = 500)
    void largerShareOnlyMovesUnitsToTreatment(
            @ForAll String unit,
            @ForAll @DoubleRange(max = 1) double firstShare,
            @ForAll @DoubleRange(max = 1) double secondShare) {
        Experiment experiment = experiment("trial", "");
        if (Assignment.of(experiment, unit, Math.min(firstShare, secondShare)) == Arm.TREATMENT) {
            assertEquals(Arm.TREATMENT, Assignment.of(experiment, unit, Math.max(firstShare, secondShare)));
        }
    }

    /** Guards against a change of the hash, after which balancers of two versions would assign units differently. */
    @Test
    void positionsAreStable() {
        assertEquals(0.2634077944721702, Assignment.position(experiment("trial", ""), "call-1", ""));
    }

    @Test
    void sharesAreExactAndExperimentsIndependent() {
        int[] both = new int[4];
        int[] salted = new int[4];
        for (int i = 0; i < 100_000; i++) {
            int armIndex = Assignment.of(experiment("a", ""), "u" + i, 0.3).ordinal();
            both[armIndex * 2 + Assignment.of(experiment("b", ""), "u" + i, 0.5).ordinal()]++;
            salted[
                    armIndex * 2
                            + Assignment.of(experiment("a", "2"), "u" + i, 0.3).ordinal()]++;
        }
        // Six standard deviations of 100,000 draws are 870 for a share of 0.3, 677 for 0.15 and 543 for 0.09.
        assertTrue(Math.abs(both[2] + both[3] - 30_000) < 900, "share");
        assertTrue(Math.abs(both[3] - 15_000) < 700 && Math.abs(salted[3] - 9_000) < 600, "independent");
    }
}
