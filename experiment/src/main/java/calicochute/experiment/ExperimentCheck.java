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
public final class ExperimentCheck {
    /** A state of this many lanes and guards keeps under its 900 bytes. */
    public static final int MOST_LANES = 8;

    public static final int MOST_GUARDS = 3;
    private static final int MOST_STEPS = 8;
    /** Below this a window has too few sessions of the smaller arm to tell anything. */
    static final double LEAST_SHARE = 0.01;

    /**
     * @param servers as listed now; empty: not known yet, and nothing is said of servers
     * @param lanes the classes of the settings
     * @param tenants of the settings
     * @param busy the part of the capacity that is needed at the busiest time, (0, 1]
     */
    public record Fleet(List<Server> servers, Set<String> lanes, Set<String> tenants, double busy) {}

    private final Fleet fleet;
    private final List<Complaint> found = new ArrayList<>();

    private ExperimentCheck(Fleet fleet) {
        this.fleet = fleet;
    }

    public static List<Complaint> of(List<Experiment> experiments, Fleet fleet) {
        ExperimentCheck check = new ExperimentCheck(fleet);
        Set<String> names = new HashSet<>();
        for (Experiment e : experiments) {
            if (e.name().isBlank()) {
                check.add(Code.NAME_MISSING, "experiments", "one without a name", "give it one");
            } else if (!names.add(e.name())) {
                check.add(
                        Code.NAME_TWICE,
                        e.name(),
                        "two experiments of this name",
                        "name one of them otherwise: the name draws the arms");
            }
            check.numbers(e);
            check.classes(e);
            check.units(e);
            check.arms(e);
        }
        check.servers(experiments);
        return List.copyOf(check.found);
    }

    /**
     * Units until a verdict at an effect of `least`, at the median, with the widest spread a measure in [0, 1] can
     * have: from the growth of the stopper's evidence, least squared / (2 variance / (share (1 - share))) a unit.
     */
    public static long unitsNeeded(Experiment e) {
        double variance = 0.25 / (e.share() * (1 - e.share()));
        return (long) Math.ceil(2 * Math.log(1 / Stopper.part(e)) * variance / (e.least() * e.least()));
    }

    private void add(Code code, String where, String seen, String todo) {
        found.add(new Complaint(code, where, seen, todo));
    }

    private void numbers(Experiment e) {
        String at = e.name() + ".";
        if (!(e.error() > 0 && e.error() < 0.5)) {
            add(
                    Code.ERROR_OUT_OF_RANGE,
                    at + "error",
                    "" + e.error(),
                    "above 0 and below 0.5, as 0.05: without any error no verdict is ever reached");
        }
        if (!(e.least() > 0 && e.least() < 1)) {
            add(
                    Code.LEAST_OUT_OF_RANGE,
                    at + "least",
                    "" + e.least(),
                    "above 0 and below 1, as 0.02 for two points of the worth asked for");
        }
        if (!inRange(e.share())) {
            add(
                    Code.SHARE_OUT_OF_RANGE,
                    at + "share",
                    "" + e.share(),
                    "from " + LEAST_SHARE + " to " + (1 - LEAST_SHARE));
        }
        if (e.longest().compareTo(Duration.ofMinutes(1)) < 0 || e.longest().compareTo(Duration.ofDays(90)) > 0) {
            add(Code.LONGEST_OUT_OF_RANGE, at + "longest", "" + e.longest(), "from a minute to 90 days");
        }
        if (!(e.measure().most() >= 0 && e.measure().most() < 1e12)) {
            add(
                    Code.MEASURE_BAD,
                    at + "measure.most",
                    "" + e.measure().most(),
                    "0 (all sessions alike) or the worth at which a session is cut off");
        }
        List<Double> steps = e.after().steps();
        double last = e.share();
        boolean rising = steps.size() <= MOST_STEPS;
        for (double step : steps) {
            rising &= step > last && step <= 1;
            last = step;
        }
        if (!rising || !steps.isEmpty() && e.after().each().compareTo(Duration.ofMinutes(1)) < 0) {
            add(
                    Code.STEPS_BAD,
                    at + "after.steps",
                    steps + ", each " + e.after().each(),
                    "at most " + MOST_STEPS
                            + " shares, each above the one before and the first above `share`, the last at most 1; each held a minute or more");
        }
    }

    static boolean inRange(double share) {
        return share >= LEAST_SHARE && share <= 1 - LEAST_SHARE;
    }

    private void classes(Experiment e) {
        String at = e.name() + ".";
        if (e.lanes().isEmpty()) {
            add(Code.LANES_MISSING, at + "lanes", "none", "name the classes in it");
        }
        if (e.lanes().size() > MOST_LANES) {
            add(Code.LANES_TOO_MANY, at + "lanes", e.lanes().size() + " classes", "at most " + MOST_LANES);
        }
        for (String lane : e.lanesInOrder()) {
            if (!fleet.lanes().contains(lane)) {
                add(Code.LANE_UNKNOWN, at + "lanes", lane, "one of " + fleet.lanes());
            }
        }
        if (e.guards().size() > MOST_GUARDS) {
            add(Code.GUARDS_TOO_MANY, at + "guards", e.guards().size() + " guards", "at most " + MOST_GUARDS);
        }
        Set<String> guarded = new HashSet<>();
        for (Guard guard : e.guards()) {
            if (!fleet.lanes().contains(guard.lane()) || !e.lanes().contains(guard.lane())) {
                add(
                        Code.GUARD_UNKNOWN_LANE,
                        at + "guards",
                        "" + guard.lane(),
                        "a class of the settings that is in `lanes` too");
            } else if (!guarded.add(guard.lane())) {
                add(Code.GUARD_TWICE, at + "guards", guard.lane() + " twice", "one guard a class");
            }
            if (!(guard.worse() >= 0 && guard.worse() < 1)) {
                add(
                        Code.GUARD_OUT_OF_RANGE,
                        at + "guards",
                        guard.lane() + ": " + guard.worse(),
                        "from 0 to below 1, as 0.01 for one point");
            }
        }
    }

    private void units(Experiment e) {
        for (String tenant : e.tenants()) {
            if (!fleet.tenants().contains(tenant)) {
                add(Code.TENANT_UNKNOWN, e.name() + ".tenants", tenant, "one of " + fleet.tenants());
            }
        }
        if (e.unit() == Unit.TENANT && inRange(e.share()) && e.least() > 0 && e.error() > 0 && e.error() < 0.5) {
            int units =
                    e.tenants().isEmpty() ? fleet.tenants().size() : e.tenants().size();
            long needed = unitsNeeded(e);
            if (units < needed) {
                add(
                        Code.UNITS_TOO_FEW,
                        e.name() + ".unit",
                        units + " tenants; a difference of " + e.least() + " can take " + needed,
                        "unit: session, or a larger `least`: each tenant is one draw, however many sessions it has; this would never reach a verdict");
            }
        }
    }

    private void arms(Experiment e) {
        if (e.control() == null || e.treatment() == null) {
            add(Code.ARM_MISSING, e.name(), e.control() == null ? "no control" : "no treatment", "select both arms");
            return;
        }
        if (fleet.servers().isEmpty()) {
            return;
        }
        double control = weight(e.name() + ".control", e.control());
        double treatment = weight(e.name() + ".treatment", e.treatment());
        List<String> both = fleet.servers().stream()
                .filter(s -> e.control().takes(s) && e.treatment().takes(s))
                .map(Server::id)
                .toList();
        if (!both.isEmpty()) {
            add(
                    Code.ARMS_OVERLAP,
                    e.name(),
                    some(both) + " in both arms",
                    "select by something in which the arms differ");
            return;
        }
        if (control > 0 && treatment > 0) {
            double all = control + treatment;
            capacity(e.name() + ".share", e.share(), treatment / all, "treatment");
            capacity(e.name() + ".share", 1 - e.share(), control / all, "control");
            for (double step : e.after().steps()) {
                capacity(e.name() + ".after.steps", step, treatment / all, "treatment");
            }
        }
    }

    private double weight(String where, Selector selector) {
        double sum = fleet.servers().stream()
                .filter(selector::takes)
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

    private void capacity(String where, double share, double part, String arm) {
        if (share * fleet.busy() > part) {
            add(
                    Code.SHARE_OVER_CAPACITY,
                    where,
                    String.format(
                            "%.3f of the sessions for the %s, which has %.3f of the arms' weight, at %.2f busy",
                            share, arm, part, fleet.busy()),
                    "a share of at most " + Math.floor(part / fleet.busy() * 100) / 100
                            + " for that arm, or more servers in it");
        }
    }

    private void servers(List<Experiment> experiments) {
        Map<String, String> taken = new HashMap<>();
        Set<String> told = new HashSet<>();
        for (Experiment e : experiments) {
            for (Server server : fleet.servers()) {
                boolean mine = e.control() != null && e.control().takes(server)
                        || e.treatment() != null && e.treatment().takes(server);
                String other = mine ? taken.putIfAbsent(server.id(), e.name()) : null;
                if (other != null && !other.equals(e.name()) && told.add(other + "\n" + e.name())) {
                    add(
                            Code.SERVER_IN_TWO,
                            e.name(),
                            server.id() + " is in " + other + " too",
                            "run one after the other, or on different servers");
                }
            }
        }
    }

    private static String some(List<String> ids) {
        return ids.size() <= 3
                ? String.join(", ", ids)
                : String.join(", ", ids.subList(0, 3)) + " and " + (ids.size() - 3) + " more";
    }
}
