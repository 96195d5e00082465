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
import calicochute.experiment.ExperimentCheck.Fleet;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ExperimentCheckTest {
    private static final Fleet FLEET = new Fleet(
            List.of(
                    new Server("shelf-1", "old", "c1", "z1", 3),
                    new Server("shelf-2", "old", "c2", "z2", 3),
                    new Server("shelf-3", "new", "c1", "z1", 2)),
            Set.of("order-copy", "shelf-read"),
            Set.of("t1", "t2"),
            0.7);
    private static final Selector OLD = new Selector("old", "", "", "");
    private static final Selector NEW = new Selector("new", "", "", "");

    private String name = "trial";
    private Unit unit = Unit.SESSION;
    private Selector control = OLD;
    private Selector treatment = NEW;
    private double share = 0.2;
    private Set<String> lanes = Set.of("order-copy");
    private Set<String> tenants = Set.of();
    private double most;
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
                new Measure(most, 1),
                least,
                error,
                guards,
                longest,
                after);
    }

    private void finds(Code... codes) {
        assertEquals(
                List.of(codes),
                ExperimentCheck.of(List.of(experiment()), FLEET).stream()
                        .map(Complaint::code)
                        .toList());
    }

    @Test
    void aSoundOneHasNone() {
        after = new After(List.of(0.25, 0.3), Duration.ofMinutes(5));
        guards = List.of(new Guard("order-copy", 0.01));
        finds();
    }

    @Test
    void arms() {
        treatment = new Selector("", "c1", "", "shelf-*");
        finds(Code.ARMS_OVERLAP);
        treatment = new Selector("", "", "", "*-9");
        finds(Code.ARM_EMPTY);
        treatment = null;
        finds(Code.ARM_MISSING);
    }

    @Test
    void aShareThatNoArmCanCarry() {
        share = 0.5;
        finds(Code.SHARE_OVER_CAPACITY);
        share = 0.2;
        after = new After(List.of(0.9), Duration.ofMinutes(5));
        finds(Code.SHARE_OVER_CAPACITY);
        control = new Selector("", "", "", "shelf-1");
        treatment = new Selector("", "", "z2", "");
        after = new After(List.of(), null);
        share = 0.1;
        finds(Code.SHARE_OVER_CAPACITY);
        share = 0;
        finds(Code.SHARE_OUT_OF_RANGE, Code.SHARE_OVER_CAPACITY);
    }

    @Test
    void numbers() {
        error = 0;
        least = 0;
        longest = Duration.ofSeconds(1);
        most = -1;
        finds(Code.ERROR_OUT_OF_RANGE, Code.LEAST_OUT_OF_RANGE, Code.LONGEST_OUT_OF_RANGE, Code.MEASURE_BAD);
        error = Double.NaN;
        least = 0.02;
        longest = Duration.ofHours(1);
        most = 0;
        finds(Code.ERROR_OUT_OF_RANGE);
        error = 0.5;
        after = new After(List.of(0.3, 0.25), Duration.ofMinutes(5));
        finds(Code.ERROR_OUT_OF_RANGE, Code.STEPS_BAD);
    }

    @Test
    void classesAndTenants() {
        lanes = Set.of("order-copy", "order-copi");
        guards = List.of(new Guard("shelf-read", 0.01), new Guard("order-copy", -1), new Guard("order-copy", 0.1));
        tenants = Set.of("t1", "t9");
        finds(
                Code.LANE_UNKNOWN,
                Code.GUARD_UNKNOWN_LANE,
                Code.GUARD_OUT_OF_RANGE,
                Code.GUARD_TWICE,
                Code.TENANT_UNKNOWN);
        lanes = Set.of();
        guards = List.of();
        tenants = Set.of();
        name = " ";
        finds(Code.NAME_MISSING, Code.LANES_MISSING);
    }

    @Test
    void tenantsAreTooFewDraws() {
        unit = Unit.TENANT;
        finds(Code.UNITS_TOO_FEW);
        assertTrue(ExperimentCheck.unitsNeeded(experiment()) > 20_000);
    }

    @Test
    void betweenTwo() {
        Experiment first = experiment();
        control = new Selector("", "c2", "", "");
        Experiment second = experiment();
        assertEquals(
                List.of(Code.NAME_TWICE),
                ExperimentCheck.of(List.of(first, first), FLEET).stream()
                        .map(Complaint::code)
                        .toList());
        name = "other";
        second = experiment();
        assertEquals(
                List.of(Code.SERVER_IN_TWO),
                ExperimentCheck.of(List.of(first, second), FLEET).stream()
                        .map(Complaint::code)
                        .toList());
    }
}
