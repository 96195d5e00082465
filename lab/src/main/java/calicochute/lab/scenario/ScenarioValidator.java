package calicochute.lab.scenario;

import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.Tier;
import java.lang.reflect.RecordComponent;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** Checks a scenario: each field against its bounds, and the rules that relate several fields. */
final class ScenarioValidator {
    /** Balancer processes in a run, over all tiers: at 60 MB each, a machine of 32 GB has the memory for them. */
    private static final int MAX_BALANCERS = 400;

    /** By how much a sum of shares may differ from 1. */
    private static final double SHARE_SUM_TOLERANCE = 0.011;

    private final Scenario scenario;
    private final BiConsumer<String, String> report;

    ScenarioValidator(Scenario scenario, BiConsumer<String, String> report) {
        this.scenario = scenario;
        this.report = report;
    }

    void run() {
        checkBounds("", scenario);
        require("title", scenario.title());
        require("shows", scenario.shows());
        checkNames(
                "zones.names",
                scenario.zones().names(),
                n -> n,
                scenario.zones().names().isEmpty());
        checkClasses();
        checkTenants();
        checkTiers();
        checkLoad();
        for (int i = 0; i < scenario.troubles().size(); i++) {
            checkTrouble("troubles[" + i + "]", scenario.troubles().get(i));
        }
    }

    /** Checks the bounds of each annotated component of a record, of its nested records and of its lists of records. */
    private void checkBounds(String parent, Object record) {
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            String field = FieldLines.join(parent, component.getName());
            Object value;
            try {
                value = component.getAccessor().invoke(record);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
            Bounds bounds = component.getAnnotation(Bounds.class);
            if (bounds != null) {
                checkBounds(field, bounds, value);
            } else if (value instanceof List<?> list) {
                for (int i = 0; i < list.size(); i++) {
                    if (list.get(i) == null) {
                        report.accept(field + "[" + i + "]", "is empty");
                    } else if (list.get(i) instanceof Record element) {
                        checkBounds(field + "[" + i + "]", element);
                    }
                }
            } else if (value instanceof Record inner && !(value instanceof Range)) {
                checkBounds(field, inner);
            }
        }
    }

    private void checkBounds(String field, Bounds bounds, Object value) {
        if (value == null) {
            if (!bounds.optional()) {
                report.accept(field, "is missing");
            }
            return;
        }
        double low;
        double high;
        String unit = "";
        if (value instanceof Time time) {
            low = time.seconds();
            high = low;
            unit = "s";
        } else if (value instanceof Rate rate) {
            low = rate.perSecond();
            high = low;
            unit = "/s";
        } else if (value instanceof Range range) {
            low = range.low();
            high = range.high();
        } else {
            low = ((Number) value).doubleValue();
            high = low;
        }
        if (!(low >= bounds.min() && high <= bounds.max())) {
            report.accept(
                    field,
                    "must be between " + figure(bounds.min()) + unit + " and " + figure(bounds.max()) + unit
                            + "; it is " + (low == high ? figure(low) : figure(low) + " to " + figure(high)) + unit);
        }
    }

    private static String figure(double value) {
        return value == Math.rint(value) ? String.format(Locale.ROOT, "%.0f", value) : Double.toString(value);
    }

    private boolean require(String field, Object value) {
        if (value == null || value.toString().isBlank()) {
            report.accept(field, "is missing");
            return false;
        }
        return true;
    }

    private <T> void checkNames(String field, List<T> elements, Function<T, String> name, boolean empty) {
        if (empty) {
            report.accept(field, "must hold at least one entry");
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < elements.size(); i++) {
            String one = elements.get(i) == null ? null : name.apply(elements.get(i));
            if (one == null || !one.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,39}")) {
                report.accept(field + "[" + i + "]", "needs a name of letters, digits, '.', '_' and '-'");
            } else if (!used.add(one)) {
                report.accept(field + "[" + i + "]", "the name '" + one + "' is given twice");
            }
        }
    }

    private void checkShareSum(String field, double sum) {
        if (Math.abs(sum - 1) > SHARE_SUM_TOLERANCE) {
            report.accept(field, String.format(Locale.ROOT, "the shares must add up to 1; their sum is %.3f", sum));
        }
    }

    private static double orZero(Double value) {
        return value == null ? 0 : value;
    }

    private void checkClasses() {
        List<Scenario.RequestClass> classes = scenario.classes();
        checkNames("classes", classes, Scenario.RequestClass::name, classes.isEmpty());
        for (int i = 0; i < classes.size(); i++) {
            Scenario.RequestClass requestClass = classes.get(i);
            String path = "classes[" + i + "].";
            require(path + "effect", requestClass.effect());
            if (requestClass.aim() != null
                    && requestClass.giveUp() != null
                    && requestClass.aim().compareTo(requestClass.giveUp()) > 0) {
                report.accept(path + "aim", "must not be greater than giveUp (" + requestClass.giveUp() + ")");
            }
            if (requestClass.effect() == Effect.KEYED && requestClass.window().micros() <= 0) {
                report.accept(path + "window", "a keyed class needs a window in which repeats are dropped");
            }
        }
        if (!classes.isEmpty()) {
            checkShareSum(
                    "classes",
                    classes.stream().mapToDouble(c -> orZero(c.share())).sum());
        }
    }

    private void checkTenants() {
        checkNames(
                "tenants",
                scenario.tenants(),
                Scenario.Tenant::name,
                scenario.tenants().isEmpty());
        if (!scenario.tenants().isEmpty()) {
            checkShareSum(
                    "tenants",
                    scenario.tenants().stream()
                            .mapToDouble(t -> orZero(t.share()))
                            .sum());
        }
    }

    private void checkTiers() {
        List<Tier> tiers = scenario.tiers();
        checkNames("tiers", tiers, Tier::name, tiers.isEmpty());
        int balancers = scenario.balancers().count();
        for (int i = 0; i < tiers.size(); i++) {
            Tier tier = tiers.get(i);
            String path = "tiers[" + i + "]";
            checkNames(
                    path + ".kinds",
                    tier.kinds(),
                    Scenario.Kind::name,
                    tier.kinds().isEmpty());
            if (!tier.kinds().isEmpty()) {
                checkShareSum(
                        path + ".kinds",
                        tier.kinds().stream().mapToDouble(Scenario.Kind::share).sum());
            }
            boolean last = i == tiers.size() - 1;
            if (last && tier.calls().high() > 0) {
                report.accept(path + ".calls", "is not allowed in the last tier, which calls no other");
            } else if (!last && (tier.calls().low() < 1 || tier.calls().high() > 5)) {
                report.accept(path + ".calls", "must be between 1 and 5 if another tier follows");
            }
            if (!last && tier.servers() != null) {
                balancers += tier.servers();
            }
        }
        if (tiers.size() > 3) {
            report.accept("tiers", "at most three are allowed");
        }
        if (balancers > MAX_BALANCERS) {
            report.accept(
                    "tiers",
                    "would need " + balancers + " balancers (one for each server that calls a further tier); at most "
                            + MAX_BALANCERS + " are allowed");
        }
    }

    private void checkLoad() {
        boolean hasRate = scenario.load().rate() != null;
        if (hasRate == (scenario.load().utilisation() != null)) {
            report.accept("load", "needs either rate or utilisation");
        }
    }

    private void checkTrouble(String path, Trouble trouble) {
        if (!require(path + ".kind", trouble.kind()) || trouble.at() == null) {
            return;
        }
        if (scenario.length() != null && trouble.at().compareTo(scenario.length()) >= 0) {
            report.accept(path + ".at", "begins after the end of the run (" + scenario.length() + ")");
        }
        boolean hitsServers = trouble.kind().target == Trouble.Target.SERVERS;
        boolean hitsNetwork = trouble.kind().target == Trouble.Target.NETWORK;
        boolean tierAllowed = hitsServers || hitsNetwork || trouble.kind() == Trouble.Kind.BALANCER_PAUSE;
        if (tierAllowed
                && (hitsServers || trouble.tier() != null)
                && (trouble.tier() == null
                        || scenario.tiers().stream()
                                .noneMatch(t -> trouble.tier().equals(t.name())))) {
            report.accept(
                    path + ".tier",
                    "must be one of "
                            + scenario.tiers().stream().map(Tier::name).toList());
        }
        if (hitsServers && (trouble.servers() == null) == (trouble.part() == null)) {
            report.accept(path, "needs either servers (how many) or part (of the tier)");
        }
        if (!tierAllowed && trouble.tier() != null) {
            report.accept(path + ".tier", "is not allowed for " + trouble.kind().word());
        }
        if (hitsNetwork && scenario.fleet() == null) {
            report.accept(path + ".kind", trouble.kind().word() + " needs a fleet: balancers that exchange datagrams");
        }
        boolean factorIsShare = trouble.kind() == Trouble.Kind.RESET
                || trouble.kind() == Trouble.Kind.SPOILT
                || trouble.kind() == Trouble.Kind.NET_LOSS;
        if (factorIsShare && trouble.factor() > 1) {
            report.accept(
                    path + ".factor",
                    "is a share and must be between 0 and 1 for "
                            + trouble.kind().word());
        }
        if (trouble.kind().target == Trouble.Target.ZONE != (trouble.zone() != null)
                || trouble.zone() != null && !scenario.zones().names().contains(trouble.zone())) {
            report.accept(
                    path + ".zone",
                    trouble.kind().target == Trouble.Target.ZONE
                            ? "must be one of " + scenario.zones().names()
                            : "is not allowed for " + trouble.kind().word());
        }
        if ((trouble.kind().target == Trouble.Target.BALANCERS || hitsNetwork) && trouble.part() == null) {
            int available = candidateBalancers(trouble.tier(), hitsNetwork);
            int wanted = trouble.balancers() + (trouble.others() == null ? 0 : trouble.others());
            if (wanted > available) {
                report.accept(path + ".balancers", "there are only " + available);
            }
        }
    }

    /**
     * Counts the balancers that a trouble may hit: those of the given tier; without a tier, all balancers for a network
     * trouble and those of the first tier for any other.
     */
    private int candidateBalancers(String tier, boolean hitsNetwork) {
        int count = 0;
        for (int i = 0; i < scenario.tiers().size(); i++) {
            Integer callers = i == 0
                    ? scenario.balancers().count()
                    : scenario.tiers().get(i - 1).servers();
            if (callers != null
                    && (tier == null
                            ? hitsNetwork || i == 0
                            : tier.equals(scenario.tiers().get(i).name()))) {
                count += callers;
            }
        }
        return count;
    }
}
