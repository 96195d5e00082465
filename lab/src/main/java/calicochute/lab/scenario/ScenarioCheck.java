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

/** What a scenario's fields must hold, each for itself (by their bounds) and together. */
final class ScenarioCheck {
    /** Processes of one run, of all tiers together: at 60 MB each, what a machine of 32 GB holds. */
    private static final int MOST_BALANCERS = 400;

    private static final double SHARE_SLACK = 0.011;
    private final Scenario scenario;
    private final BiConsumer<String, String> complain;

    ScenarioCheck(Scenario scenario, BiConsumer<String, String> complain) {
        this.scenario = scenario;
        this.complain = complain;
    }

    void run() {
        bounds("", scenario);
        need("title", scenario.title());
        need("shows", scenario.shows());
        names(
                "zones.names",
                scenario.zones().names(),
                n -> n,
                scenario.zones().names().isEmpty());
        classes();
        tenants();
        tiers();
        load();
        for (int i = 0; i < scenario.troubles().size(); i++) {
            trouble("troubles[" + i + "]", scenario.troubles().get(i));
        }
    }

    /** Every annotated component of a record, its records and its lists of records. */
    private void bounds(String at, Object record) {
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            String field = Lines.join(at, component.getName());
            Object value;
            try {
                value = component.getAccessor().invoke(record);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
            Within within = component.getAnnotation(Within.class);
            if (within != null) {
                bound(field, within, value);
            } else if (value instanceof List<?> list) {
                for (int i = 0; i < list.size(); i++) {
                    if (list.get(i) == null) {
                        complain.accept(field + "[" + i + "]", "is empty");
                    } else if (list.get(i) instanceof Record element) {
                        bounds(field + "[" + i + "]", element);
                    }
                }
            } else if (value instanceof Record inner && !(value instanceof Range)) {
                bounds(field, inner);
            }
        }
    }

    private void bound(String field, Within within, Object value) {
        if (value == null) {
            if (!within.whenAbsent()) {
                complain.accept(field, "is missing");
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
        if (!(low >= within.min() && high <= within.max())) {
            complain.accept(
                    field,
                    "must lie between " + figure(within.min()) + unit + " and " + figure(within.max()) + unit
                            + "; it is " + (low == high ? figure(low) : figure(low) + " to " + figure(high)) + unit);
        }
    }

    private static String figure(double value) {
        return value == Math.rint(value) ? String.format(Locale.ROOT, "%.0f", value) : Double.toString(value);
    }

    private boolean need(String field, Object value) {
        if (value == null || value.toString().isBlank()) {
            complain.accept(field, "is missing");
            return false;
        }
        return true;
    }

    private <T> void names(String field, List<T> things, Function<T, String> name, boolean empty) {
        if (empty) {
            complain.accept(field, "must hold at least one entry");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < things.size(); i++) {
            String one = things.get(i) == null ? null : name.apply(things.get(i));
            if (one == null || !one.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,39}")) {
                complain.accept(field + "[" + i + "]", "needs a name of letters, digits, '.', '_' and '-'");
            } else if (!seen.add(one)) {
                complain.accept(field + "[" + i + "]", "the name '" + one + "' is given twice");
            }
        }
    }

    private void shares(String field, double sum) {
        if (Math.abs(sum - 1) > SHARE_SLACK) {
            complain.accept(field, String.format(Locale.ROOT, "the shares must add up to 1; they make %.3f", sum));
        }
    }

    private static double or0(Double value) {
        return value == null ? 0 : value;
    }

    private void classes() {
        List<Scenario.RequestClass> classes = scenario.classes();
        names("classes", classes, Scenario.RequestClass::name, classes.isEmpty());
        for (int i = 0; i < classes.size(); i++) {
            Scenario.RequestClass c = classes.get(i);
            String at = "classes[" + i + "].";
            need(at + "effect", c.effect());
            if (c.aim() != null && c.giveUp() != null && c.aim().compareTo(c.giveUp()) > 0) {
                complain.accept(at + "aim", "must not lie after giveUp (" + c.giveUp() + ")");
            }
            if (c.effect() == Effect.KEYED && c.window().micros() <= 0) {
                complain.accept(at + "window", "a keyed class needs a window in which repeats are dropped");
            }
        }
        if (!classes.isEmpty()) {
            shares("classes", classes.stream().mapToDouble(c -> or0(c.share())).sum());
        }
    }

    private void tenants() {
        names(
                "tenants",
                scenario.tenants(),
                Scenario.Tenant::name,
                scenario.tenants().isEmpty());
        if (!scenario.tenants().isEmpty()) {
            shares(
                    "tenants",
                    scenario.tenants().stream().mapToDouble(t -> or0(t.share())).sum());
        }
    }

    private void tiers() {
        List<Tier> tiers = scenario.tiers();
        names("tiers", tiers, Tier::name, tiers.isEmpty());
        int balancers = scenario.balancers().count();
        for (int i = 0; i < tiers.size(); i++) {
            Tier tier = tiers.get(i);
            String at = "tiers[" + i + "]";
            names(at + ".kinds", tier.kinds(), Scenario.Kind::name, tier.kinds().isEmpty());
            if (!tier.kinds().isEmpty()) {
                shares(
                        at + ".kinds",
                        tier.kinds().stream().mapToDouble(Scenario.Kind::share).sum());
            }
            boolean last = i == tiers.size() - 1;
            if (last && tier.calls().high() > 0) {
                complain.accept(at + ".calls", "the last tier has none to call; leave it out");
            } else if (!last && (tier.calls().low() < 1 || tier.calls().high() > 5)) {
                complain.accept(at + ".calls", "must lie between 1 and 5 where another tier follows");
            }
            if (!last && tier.servers() != null) {
                balancers += tier.servers();
            }
        }
        if (tiers.size() > 3) {
            complain.accept("tiers", "there may be three at most");
        }
        if (balancers > MOST_BALANCERS) {
            complain.accept(
                    "tiers",
                    "would need " + balancers + " balancers (one for each server that calls on); " + MOST_BALANCERS
                            + " at most");
        }
    }

    private void load() {
        boolean rate = scenario.load().rate() != null;
        if (rate == (scenario.load().utilisation() != null)) {
            complain.accept("load", "needs either rate or utilisation");
        }
    }

    private void trouble(String at, Trouble trouble) {
        if (!need(at + ".kind", trouble.kind()) || trouble.at() == null) {
            return;
        }
        if (scenario.length() != null && trouble.at().compareTo(scenario.length()) >= 0) {
            complain.accept(at + ".at", "begins after the end of the run (" + scenario.length() + ")");
        }
        boolean servers = trouble.kind().target == Trouble.Target.SERVERS;
        boolean network = trouble.kind().target == Trouble.Target.NETWORK;
        boolean tier = servers || network || trouble.kind() == Trouble.Kind.BALANCER_PAUSE;
        if (tier
                && (servers || trouble.tier() != null)
                && (trouble.tier() == null
                        || scenario.tiers().stream()
                                .noneMatch(t -> trouble.tier().equals(t.name())))) {
            complain.accept(
                    at + ".tier",
                    "must be one of "
                            + scenario.tiers().stream().map(Tier::name).toList());
        }
        if (servers && (trouble.servers() == null) == (trouble.part() == null)) {
            complain.accept(at, "needs either servers (how many) or part (of the tier)");
        }
        if (!tier && trouble.tier() != null) {
            complain.accept(at + ".tier", "does not go with " + trouble.kind().word());
        }
        if (network && scenario.fleet() == null) {
            complain.accept(at + ".kind", trouble.kind().word() + " needs a fleet: balancers that talk to each other");
        }
        boolean share = trouble.kind() == Trouble.Kind.RESET
                || trouble.kind() == Trouble.Kind.SPOILT
                || trouble.kind() == Trouble.Kind.NET_LOSS;
        if (share && trouble.factor() > 1) {
            complain.accept(
                    at + ".factor",
                    "is a part of all, between 0 and 1, for " + trouble.kind().word());
        }
        if (trouble.kind().target == Trouble.Target.ZONE != (trouble.zone() != null)
                || trouble.zone() != null && !scenario.zones().names().contains(trouble.zone())) {
            complain.accept(
                    at + ".zone",
                    trouble.kind().target == Trouble.Target.ZONE
                            ? "must be one of " + scenario.zones().names()
                            : "does not go with " + trouble.kind().word());
        }
        if ((trouble.kind().target == Trouble.Target.BALANCERS || network) && trouble.part() == null) {
            int there = balancers(trouble.tier(), network);
            int named = trouble.balancers() + (trouble.others() == null ? 0 : trouble.others());
            if (named > there) {
                complain.accept(at + ".balancers", "there are only " + there);
            }
        }
    }

    /**
     * Balancers that a trouble may hit: those of a tier, else all where the network is meant, else the first tier's.
     */
    private int balancers(String tier, boolean network) {
        int there = 0;
        for (int i = 0; i < scenario.tiers().size(); i++) {
            Integer callers = i == 0
                    ? scenario.balancers().count()
                    : scenario.tiers().get(i - 1).servers();
            if (callers != null
                    && (tier == null
                            ? network || i == 0
                            : tier.equals(scenario.tiers().get(i).name()))) {
                there += callers;
            }
        }
        return there;
    }
}
