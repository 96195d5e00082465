package calicochute.settings;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.Goal;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Tenant;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Turns flattened path=value pairs into {@link Settings}, for both hosts; unknown paths are ignored. */
public final class SettingsParser {
    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    public static Settings parse(Map<String, String> values) throws SettingsException {
        return new SettingsParser(values).settings();
    }

    /** One time in microseconds, by its path; at least 1. */
    static long time(Map<String, String> values, String path, long absent) throws SettingsException {
        return new SettingsParser(values).time(path, absent, 1);
    }

    private Settings settings() throws SettingsException {
        Limits limits = new Limits(
                flag("caps.cancel"),
                flag("caps.second_copies"),
                flag("caps.probes"),
                flag("caps.peers"),
                flag("caps.retry_after"),
                count("caps.max_attempts", 1, 1),
                count("caps.max_open", Integer.MAX_VALUE, 0),
                count("caps.streams_per_conn", 1, 0),
                time("caps.connect_timeout", 0, 0),
                time("caps.max_retry_after", 0, 0));
        Rules rules = new Rules(
                time("obligations.answer_slack", 0, 0),
                time("obligations.ask_every", 0, 0),
                // Guards against 0/0 where a server's start is ahead of this clock: no time to warm up is the least
                // there is.
                decimal("obligations.cold_from", 1),
                Math.max(1, time("obligations.warm_up", 0, 0)),
                time("obligations.drain_grace", 0, 0),
                decimal("obligations.fall_multiple", 1),
                time("obligations.fall", 0, 0));
        Goal goal = new Goal(
                decimal("goal.whole", 1),
                decimal("goal.worst_window", 0),
                decimal("goal.worst_class", 0),
                decimal("goal.worst_tenant", 0),
                decimal("prices.cross_zone", 0),
                decimal("prices.waste", 0),
                decimal("prices.late_fail", 0));
        return new Settings(
                seed(),
                count("me", 0, 0),
                Math.max(1, count("balancers", 1, 0)),
                count("layer", 0, 0),
                flag("domain.passes_deadline"),
                text("discovery", "pushed").equals("on_request"),
                flag("client_habits.marks_retry"),
                text("zone", ""),
                time("tick", 1000, 1),
                decimal("over_share_worth", 1),
                reportFields(),
                classes(),
                tenants(),
                limits,
                rules,
                goal);
    }

    private long seed() throws SettingsException {
        if (!values.containsKey("nonce64")) {
            throw new SettingsException("born lacks nonce64");
        }
        return number("nonce64", 0);
    }

    private List<String> reportFields() {
        String fields = text("report.fields", "");
        return fields.isEmpty() ? List.of() : List.of(fields.split(","));
    }

    private List<RequestClass> classes() throws SettingsException {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("classes.count", 0, 0); i++) {
            String at = "classes." + i + ".";
            if (!values.containsKey(at + "name")) {
                throw new SettingsException("born lacks " + at + "name");
            }
            long deadline = time(at + "deadline", 60_000_000, 1);
            classes.add(new RequestClass(
                    text(at + "name", ""),
                    effect(text(at + "effect", "once")),
                    scope(text(at + "key_scope", "cell")),
                    time(at + "window", 0, 0),
                    time(at + "objective", deadline, 1),
                    deadline,
                    decimal(at + "points", 1),
                    decimal(at + "late_worth", 0),
                    flag(at + "streaming")));
        }
        return classes;
    }

    private List<Tenant> tenants() throws SettingsException {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("accounts.count", 0, 0); i++) {
            String at = "accounts." + i + ".";
            tenants.add(new Tenant(
                    text(at + "name", ""),
                    decimal(at + "portion", 1),
                    decimal(at + "allowance_per_s", Double.MAX_VALUE)));
        }
        return tenants;
    }

    private Effect effect(String word) throws SettingsException {
        return switch (word) {
            case "repeatable" -> Effect.REPEATABLE;
            case "once" -> Effect.ONCE;
            case "by_key" -> Effect.KEYED;
            default -> throw new SettingsException("unknown effect '" + word + "'");
        };
    }

    private KeyScope scope(String word) throws SettingsException {
        return switch (word) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            case "cell" -> KeyScope.CELL;
            default -> throw new SettingsException("unknown key_scope '" + word + "'");
        };
    }

    private String text(String path, String absent) {
        return values.getOrDefault(path, absent);
    }

    private boolean flag(String path) {
        String value = values.get(path);
        return value != null && (value.equals("true") || value.equals("1"));
    }

    private long number(String path, long absent) throws SettingsException {
        String value = values.get(path);
        if (value == null) {
            return absent;
        }
        try {
            // A whole number may be written 3.0 or 3e6.
            return new BigDecimal(value).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new SettingsException(path + " is not a whole number: '" + value + "'");
        }
    }

    private int count(String path, int absent, int least) throws SettingsException {
        return (int) within(path, number(path, absent), least, Integer.MAX_VALUE);
    }

    /** Microseconds; sums of a few of them stay within a long. */
    private long time(String path, long absent, long least) throws SettingsException {
        return within(path, number(path, absent), least, Long.MAX_VALUE / 16);
    }

    private static long within(String path, long value, long least, long most) throws SettingsException {
        if (value < least || value > most) {
            throw new SettingsException(path + " is not from " + least + " to " + most + ": " + value);
        }
        return value;
    }

    private double decimal(String path, double absent) throws SettingsException {
        String value = values.get(path);
        if (value == null) {
            return absent;
        }
        try {
            double number = Double.parseDouble(value);
            // Guards against what would make no number of all it enters.
            if (number >= 0 && number < Double.POSITIVE_INFINITY) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new SettingsException(path + " is not a number: '" + value + "'");
        }
        throw new SettingsException(path + " is not a number of 0 or more: '" + value + "'");
    }
}
