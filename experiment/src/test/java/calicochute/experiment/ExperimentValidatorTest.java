package calicochute.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.experiment.Complaint.Code;
import calicochute.experiment.Experiment.After;
import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Experiment.Measure;
import calicochute.experiment.Experiment.Selector;
import calicochute.experiment.Experiment.Server;
import calicochute.experiment.Experiment.Unit;
import calicochute.experiment.ExperimentValidator.Context;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Each mistake in the configuration of an experiment must be reported with its code. */
class ExperimentValidatorTest {
    private static final Context CONTEXT = new Context(
            List.of(
                    new Server("shelf-1", "old", "c1", "z1", 3),
                    new Server("shelf-2", "old", "c2", "z2", 3),
                    new Server("shelf-3", "new", "c1", "z1", 2)),
            Set.of("order-copy", "shelf-read"),
            Set.of("t1", "t2"),
            0.7);
    private static final Selector OLD_KIND = new Selector("old", "", "", "");
    private static final Selector NEW_KIND = new Selector("new", "", "", "");

    private String name = "trial";
    private Unit unit = Unit.SESSION;
    private Selector control = OLD_KIND;
    private Selector treatment = NEW_KIND;
    private double share = 0.2;
    private Set<String> lanes = Set.of("order-copy");
    private Set<String> tenants = Set.of();
    private double cap;
    private double least = 0.02;
    private double error = 0.05;
    private List<Guard> guards = List.of();
    private Duration longest = Duration.ofHours(1);
    private After after = new After(List.of(), null);

    private Experiment experiment() {
        return new Experiment(
                name,
                "",
                unit,
                control,
                treatment,
                share,
                lanes,
                tenants,
                new Measure(cap, 1),
                least,
                error,
                guards,
                longest,
                after);
    }

    private void assertComplaints(Code... codes) {
        assertEquals(
                List.of(codes),
                ExperimentValidator.validate(List.of(experiment()), CONTEXT).stream()
                        .map(Complaint::code)
                        .toList());
    }

    @Test
    void validExperimentHasNoComplaints() {
        after = new After(List.of(0.25, 0.3), Duration.ofMinutes(5));
        guards = List.of(new Guard("order-copy", 0.01));
        assertComplaints();
    }

    @Test
    void invalidArms() {
        treatment = new Selector("", "c1", "", "shelf-*");
        assertComplaints(Code.ARMS_OVERLAP);
        treatment = new Selector("", "", "", "*-9");
        assertComplaints(Code.ARM_EMPTY);
        treatment = null;
        assertComplaints(Code.ARM_MISSING);
    }

    @Test
    void shareOverCapacity() {
        share = 0.5;
        assertComplaints(Code.SHARE_OVER_CAPACITY);
        share = 0.2;
        after = new After(List.of(0.9), Duration.ofMinutes(5));
        assertComplaints(Code.SHARE_OVER_CAPACITY);
        control = new Selector("", "", "", "shelf-1");
        treatment = new Selector("", "", "z2", "");
        after = new After(List.of(), null);
        share = 0.1;
        assertComplaints(Code.SHARE_OVER_CAPACITY);
        share = 0;
        assertComplaints(Code.SHARE_OUT_OF_RANGE, Code.SHARE_OVER_CAPACITY);
    }

    @Test
    void numbersOutOfRange() {
        error = 0;
        least = 0;
        longest = Duration.ofSeconds(1);
        cap = -1;
        assertComplaints(Code.ERROR_OUT_OF_RANGE, Code.LEAST_OUT_OF_RANGE, Code.LONGEST_OUT_OF_RANGE, Code.MEASURE_BAD);
        error = Double.NaN;
        least = 0.02;
        longest = Duration.ofHours(1);
        cap = 0;
        assertComplaints(Code.ERROR_OUT_OF_RANGE);
        error = 0.5;
        after = new After(List.of(0.3, 0.25), Duration.ofMinutes(5));
        assertComplaints(Code.ERROR_OUT_OF_RANGE, Code.STEPS_BAD);
    }

    @Test
    void unknownLanesGuardsAndTenants() {
        lanes = Set.of("order-copy", "order-copi");
        guards = List.of(new Guard("shelf-read", 0.01), new Guard("order-copy", -1), new Guard("order-copy", 0.1));
        tenants = Set.of("t1", "t9");
        assertComplaints(
                Code.LANE_UNKNOWN,
                Code.GUARD_UNKNOWN_LANE,
                Code.GUARD_OUT_OF_RANGE,
                Code.GUARD_TWICE,
                Code.TENANT_UNKNOWN);
        lanes = Set.of();
        guards = List.of();
        tenants = Set.of();
        name = " ";
        assertComplaints(Code.NAME_MISSING, Code.LANES_MISSING);
    }

    @Test
    void tooFewTenants() {
        unit = Unit.TENANT;
        assertComplaints(Code.UNITS_TOO_FEW);
        assertTrue(ExperimentValidator.unitsNeeded(experiment()) > 20_000);
    }

    @Test
    void conflictsBetweenExperiments() {
        Experiment first = experiment();
        control = new Selector("", "c2", "", "");
        Experiment second = experiment();
        assertEquals(
                List.of(Code.NAME_TWICE),
                ExperimentValidator.validate(List.of(first, first), CONTEXT).stream()
                        .map(Complaint::code)
                        .toList());
        name = "other";
        second = experiment();
        assertEquals(
                List.of(Code.SERVER_IN_TWO),
                ExperimentValidator.validate(List.of(first, second), CONTEXT).stream()
                        .map(Complaint::code)
                        .toList());
    }
}
