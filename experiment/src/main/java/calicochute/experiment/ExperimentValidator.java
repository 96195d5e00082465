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

/** All that is wrong with the experiments of a file, against the list and the settings; empty if they can be run. */
public final class ExperimentValidator {
    /** A state of this many lanes and guards keeps under its 900 bytes. */
    public static final int MAX_LANES = 8;

    public static final int MAX_GUARDS = 3;
    private static final int MAX_STEPS = 8;
    /** Below this a window has too few sessions of the smaller arm to tell anything. */
    static final double MIN_SHARE = 0.01;

    /**
     * @param servers as listed now; empty: not known yet, and nothing is said of servers
     * @param lanes the classes of the settings
     * @param tenants of the settings
     * @param busy the part of the capacity that is needed at the busiest time, (0, 1]
     */
    public record Context(List<Server> servers, Set<String> lanes, Set<String> tenants, double peakUtilization) {}

    private final Context context;
    private final List<Complaint> complaints = new ArrayList<>();

    private ExperimentValidator(Context context) {
        this.context = context;
    }

    public static List<Complaint> validate(List<Experiment> experiments, Context context) {
        ExperimentValidator validator = new ExperimentValidator(context);
        Set<String> names = new HashSet<>();
        for (Experiment experiment : experiments) {
            if (experiment.name().isBlank()) {
                validator.add(Code.NAME_MISSING, "experiments", "one without a name", "give it one");
            } else if (!names.add(experiment.name())) {
                validator.add(
                        Code.NAME_TWICE,
                        experiment.name(),
                        "two experiments of this name",
                        "name one of them otherwise: the name draws the arms");
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
     * Units until a verdict at an effect of `least`, at the median, with the widest spread a measure in [0, 1] can
     * have: from the growth of the stopper's evidence, least squared / (2 variance / (share (1 - share))) a unit.
     */
    public static long unitsNeeded(Experiment experiment) {
        double variance = 0.25 / (experiment.share() * (1 - experiment.share()));
        return (long) Math.ceil(2
                * Math.log(1 / Stopper.armErrorRate(experiment))
                * variance
                / (experiment.least() * experiment.least()));
    }

    private void add(Code code, String where, String seen, String todo) {
        complaints.add(new Complaint(code, where, seen, todo));
    }

    private void validateNumbers(Experiment experiment) {
        String prefix = experiment.name() + ".";
        if (!(experiment.error() > 0 && experiment.error() < 0.5)) {
            add(
                    Code.ERROR_OUT_OF_RANGE,
                    prefix + "error",
                    "" + experiment.error(),
                    "above 0 and below 0.5, as 0.05: without any error no verdict is ever reached");
        }
        if (!(experiment.least() > 0 && experiment.least() < 1)) {
            add(
                    Code.LEAST_OUT_OF_RANGE,
                    prefix + "least",
                    "" + experiment.least(),
                    "above 0 and below 1, as 0.02 for two points of the worth asked for");
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
            add(Code.LONGEST_OUT_OF_RANGE, prefix + "longest", "" + experiment.longest(), "from a minute to 90 days");
        }
        if (!(experiment.measure().most() >= 0 && experiment.measure().most() < 1e12)) {
            add(
                    Code.MEASURE_BAD,
                    prefix + "measure.most",
                    "" + experiment.measure().most(),
                    "0 (all sessions alike) or the worth at which a session is cut off");
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
                            + " shares, each above the one before and the first above `share`, the last at most 1; each held a minute or more");
        }
    }

    static boolean isShareInRange(double share) {
        return share >= MIN_SHARE && share <= 1 - MIN_SHARE;
    }

    private void validateLanes(Experiment experiment) {
        String prefix = experiment.name() + ".";
        if (experiment.lanes().isEmpty()) {
            add(Code.LANES_MISSING, prefix + "lanes", "none", "name the classes in it");
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
                        "a class of the settings that is in `lanes` too");
            } else if (!guarded.add(guard.lane())) {
                add(Code.GUARD_TWICE, prefix + "guards", guard.lane() + " twice", "one guard a class");
            }
            if (!(guard.worse() >= 0 && guard.worse() < 1)) {
                add(
                        Code.GUARD_OUT_OF_RANGE,
                        prefix + "guards",
                        guard.lane() + ": " + guard.worse(),
                        "from 0 to below 1, as 0.01 for one point");
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
                        units + " tenants; a difference of " + experiment.least() + " can take " + needed,
                        "unit: session, or a larger `least`: each tenant is one draw, however many sessions it has; this would never reach a verdict");
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
                    "select by something in which the arms differ");
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

    private double armWeight(String where, Selector selector) {
        double sum = context.servers().stream()
                .filter(selector::selects)
                .mapToDouble(Server::weight)
                .sum();
        if (!(sum > 0)) {
            add(
                    Code.ARM_EMPTY,
                    where,
                    "no listed server (of any weight) is " + selector,
                    "compare with kind, cell, zone and id of the list");
        }
        return sum;
    }

    private void validateCapacity(String where, double share, double weightShare, String arm) {
        if (share * context.peakUtilization() > weightShare) {
            add(
                    Code.SHARE_OVER_CAPACITY,
                    where,
                    String.format(
                            "%.3f of the sessions for the %s, which has %.3f of the arms' weight, at %.2f busy",
                            share, arm, weightShare, context.peakUtilization()),
                    "a share of at most " + Math.floor(weightShare / context.peakUtilization() * 100) / 100
                            + " for that arm, or more servers in it");
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
                            server.id() + " is in " + other + " too",
                            "run one after the other, or on different servers");
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
