package calicochute.experiment;

import calicochute.experiment.Complaint.Code;
import calicochute.experiment.Experiment.Guard;
import calicochute.experiment.Experiment.Selector;
import calicochute.experiment.Experiment.Server;
import calicochute.experiment.Experiment.Unit;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates the configured experiments against the discovery list and the settings. */
public final class ExperimentValidator {
    /**
     * Largest number of lanes; a state of this many lanes and {@link #MAX_GUARDS} guards stays within
     * {@link StateBytes#MAX_BYTES}.
     */
    public static final int MAX_LANES = 8;

    /** Largest number of guards. */
    public static final int MAX_GUARDS = 3;
    /** Largest number of rollout steps. */
    private static final int MAX_STEPS = 8;
    /** Smallest share of either arm; below it a window has too few sessions of the smaller arm to be informative. */
    static final double MIN_SHARE = 0.01;

    /**
     * What experiments are validated against.
     *
     * @param servers servers in the discovery list; empty if the list is not known yet, which skips the checks of
     *     servers
     * @param lanes request classes of the settings
     * @param tenants tenants of the settings
     * @param peakUtilization share of the capacity that is needed at peak load, in (0, 1]
     */
    public record Context(List<Server> servers, Set<String> lanes, Set<String> tenants, double peakUtilization) {}

    private final Context context;
    private final List<Complaint> complaints = new ArrayList<>();

    private ExperimentValidator(Context context) {
        this.context = context;
    }

    /** Returns all problems of the experiments; empty if they can run. */
    public static List<Complaint> validate(List<Experiment> experiments, Context context) {
        ExperimentValidator validator = new ExperimentValidator(context);
        Set<String> names = new HashSet<>();
        for (Experiment experiment : experiments) {
            if (experiment.name().isBlank()) {
                validator.add(Code.NAME_MISSING, "experiments", "an experiment without a name", "set `name`");
            } else if (!names.add(experiment.name())) {
                validator.add(
                        Code.NAME_TWICE,
                        experiment.name(),
                        "two experiments of this name",
                        "rename one of them: the name determines the assignment to arms");
            }
            validator.validateNumbers(experiment);
            validator.validateLanes(experiment);
            validator.validateUnits(experiment);
            validator.validateArms(experiment);
        }
        validator.validateServers(experiments);
        return List.copyOf(validator.complaints);
    }

    /**
     * Median number of units until a verdict for an effect of `least` and the largest variance (0.25) of a measure in
     * [0, 1]. The evidence grows by least squared / (2 variance / (share (1 - share))) per unit.
     */
    public static long unitsNeeded(Experiment experiment) {
        double variance = 0.25 / (experiment.share() * (1 - experiment.share()));
        return (long) Math.ceil(2
                * Math.log(1 / Stopper.armErrorRate(experiment))
                * variance
                / (experiment.least() * experiment.least()));
    }

    private void add(Code code, String location, String problem, String advice) {
        complaints.add(new Complaint(code, location, problem, advice));
    }

    private void validateNumbers(Experiment experiment) {
        String prefix = experiment.name() + ".";
        if (!(experiment.error() > 0 && experiment.error() < 0.5)) {
            add(
                    Code.ERROR_OUT_OF_RANGE,
                    prefix + "error",
                    "" + experiment.error(),
                    "a number above 0 and below 0.5, such as 0.05; an error of 0 never allows a verdict");
        }
        if (!(experiment.least() > 0 && experiment.least() < 1)) {
            add(
                    Code.LEAST_OUT_OF_RANGE,
                    prefix + "least",
                    "" + experiment.least(),
                    "a number above 0 and below 1, such as 0.02 for two percentage points of the requested worth");
        }
        if (!isShareInRange(experiment.share())) {
            add(
                    Code.SHARE_OUT_OF_RANGE,
                    prefix + "share",
                    "" + experiment.share(),
                    "from " + MIN_SHARE + " to " + (1 - MIN_SHARE));
        }
        if (experiment.longest().compareTo(Duration.ofMinutes(1)) < 0
                || experiment.longest().compareTo(Duration.ofDays(90)) > 0) {
            add(Code.LONGEST_OUT_OF_RANGE, prefix + "longest", "" + experiment.longest(), "from 1 minute to 90 days");
        }
        if (!(experiment.measure().most() >= 0 && experiment.measure().most() < 1e12)) {
            add(
                    Code.MEASURE_BAD,
                    prefix + "measure.most",
                    "" + experiment.measure().most(),
                    "0 (equal weights) or the cap on the worth of a session");
        }
        List<Double> steps = experiment.after().steps();
        double previous = experiment.share();
        boolean increasing = steps.size() <= MAX_STEPS;
        for (double step : steps) {
            increasing &= step > previous && step <= 1;
            previous = step;
        }
        if (!increasing || !steps.isEmpty() && experiment.after().each().compareTo(Duration.ofMinutes(1)) < 0) {
            add(
                    Code.STEPS_BAD,
                    prefix + "after.steps",
                    steps + ", each " + experiment.after().each(),
                    "at most " + MAX_STEPS
                            + " increasing shares, the first above `share` and the last at most 1, each held for at least 1 minute");
        }
    }

    static boolean isShareInRange(double share) {
        return share >= MIN_SHARE && share <= 1 - MIN_SHARE;
    }

    private void validateLanes(Experiment experiment) {
        String prefix = experiment.name() + ".";
        if (experiment.lanes().isEmpty()) {
            add(Code.LANES_MISSING, prefix + "lanes", "none", "list the request classes that take part");
        }
        if (experiment.lanes().size() > MAX_LANES) {
            add(Code.LANES_TOO_MANY, prefix + "lanes", experiment.lanes().size() + " classes", "at most " + MAX_LANES);
        }
        for (String lane : experiment.sortedLanes()) {
            if (!context.lanes().contains(lane)) {
                add(Code.LANE_UNKNOWN, prefix + "lanes", lane, "one of " + context.lanes());
            }
        }
        if (experiment.guards().size() > MAX_GUARDS) {
            add(
                    Code.GUARDS_TOO_MANY,
                    prefix + "guards",
                    experiment.guards().size() + " guards",
                    "at most " + MAX_GUARDS);
        }
        Set<String> guarded = new HashSet<>();
        for (Guard guard : experiment.guards()) {
            if (!context.lanes().contains(guard.lane()) || !experiment.lanes().contains(guard.lane())) {
                add(
                        Code.GUARD_UNKNOWN_LANE,
                        prefix + "guards",
                        "" + guard.lane(),
                        "a request class of the settings that is also in `lanes`");
            } else if (!guarded.add(guard.lane())) {
                add(Code.GUARD_TWICE, prefix + "guards", guard.lane() + " twice", "one guard per class");
            }
            if (!(guard.worse() >= 0 && guard.worse() < 1)) {
                add(
                        Code.GUARD_OUT_OF_RANGE,
                        prefix + "guards",
                        guard.lane() + ": " + guard.worse(),
                        "from 0 to below 1, such as 0.01 for one percentage point");
            }
        }
    }

    private void validateUnits(Experiment experiment) {
        for (String tenant : experiment.tenants()) {
            if (!context.tenants().contains(tenant)) {
                add(Code.TENANT_UNKNOWN, experiment.name() + ".tenants", tenant, "one of " + context.tenants());
            }
        }
        if (experiment.unit() == Unit.TENANT
                && isShareInRange(experiment.share())
                && experiment.least() > 0
                && experiment.error() > 0
                && experiment.error() < 0.5) {
            int units = experiment.tenants().isEmpty()
                    ? context.tenants().size()
                    : experiment.tenants().size();
            long needed = unitsNeeded(experiment);
            if (units < needed) {
                add(
                        Code.UNITS_TOO_FEW,
                        experiment.name() + ".unit",
                        units + " tenants; a difference of " + experiment.least() + " can need " + needed,
                        "use `unit: session` or a larger `least`: a tenant is one observation regardless of its sessions, so that no verdict could be reached");
            }
        }
    }

    private void validateArms(Experiment experiment) {
        if (experiment.control() == null || experiment.treatment() == null) {
            add(
                    Code.ARM_MISSING,
                    experiment.name(),
                    experiment.control() == null ? "no control" : "no treatment",
                    "select both arms");
            return;
        }
        if (context.servers().isEmpty()) {
            return;
        }
        double controlWeight = armWeight(experiment.name() + ".control", experiment.control());
        double treatmentWeight = armWeight(experiment.name() + ".treatment", experiment.treatment());
        List<String> inBothArms = context.servers().stream()
                .filter(s -> experiment.control().selects(s)
                        && experiment.treatment().selects(s))
                .map(Server::id)
                .toList();
        if (!inBothArms.isEmpty()) {
            add(
                    Code.ARMS_OVERLAP,
                    experiment.name(),
                    abbreviate(inBothArms) + " in both arms",
                    "select by a property in which the arms differ");
            return;
        }
        if (controlWeight > 0 && treatmentWeight > 0) {
            double totalWeight = controlWeight + treatmentWeight;
            validateCapacity(
                    experiment.name() + ".share", experiment.share(), treatmentWeight / totalWeight, "treatment");
            validateCapacity(
                    experiment.name() + ".share", 1 - experiment.share(), controlWeight / totalWeight, "control");
            for (double step : experiment.after().steps()) {
                validateCapacity(experiment.name() + ".after.steps", step, treatmentWeight / totalWeight, "treatment");
            }
        }
    }

    private double armWeight(String location, Selector selector) {
        double sum = context.servers().stream()
                .filter(selector::selects)
                .mapToDouble(Server::weight)
                .sum();
        if (!(sum > 0)) {
            add(
                    Code.ARM_EMPTY,
                    location,
                    "no listed server of positive weight matches " + selector,
                    "compare with kind, cell, zone and id in the discovery list");
        }
        return sum;
    }

    private void validateCapacity(String location, double share, double weightShare, String arm) {
        if (share * context.peakUtilization() > weightShare) {
            add(
                    Code.SHARE_OVER_CAPACITY,
                    location,
                    String.format(
                            "%.3f of the sessions go to the %s, which has %.3f of the weight of both arms, at a peak utilization of %.2f",
                            share, arm, weightShare, context.peakUtilization()),
                    "a share of at most " + Math.floor(weightShare / context.peakUtilization() * 100) / 100
                            + " for this arm, or more servers in it");
        }
    }

    private void validateServers(List<Experiment> experiments) {
        Map<String, String> experimentByServer = new HashMap<>();
        Set<String> reportedPairs = new HashSet<>();
        for (Experiment experiment : experiments) {
            for (Server server : context.servers()) {
                boolean selected =
                        experiment.control() != null && experiment.control().selects(server)
                                || experiment.treatment() != null
                                        && experiment.treatment().selects(server);
                String other = selected ? experimentByServer.putIfAbsent(server.id(), experiment.name()) : null;
                if (other != null
                        && !other.equals(experiment.name())
                        && reportedPairs.add(other + "\n" + experiment.name())) {
                    add(
                            Code.SERVER_IN_TWO,
                            experiment.name(),
                            server.id() + " is also in " + other,
                            "run the experiments one after the other or on different servers");
                }
            }
        }
    }

    private static String abbreviate(List<String> ids) {
        return ids.size() <= 3
                ? String.join(", ", ids)
                : String.join(", ", ids.subList(0, 3)) + " and " + (ids.size() - 3) + " more";
    }
}
