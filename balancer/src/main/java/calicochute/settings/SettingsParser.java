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

/**
 * Builds {@link Settings} from pairs of path and value, for the process and the simulator; unknown paths are ignored.
 */
public final class SettingsParser {
    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Parses and validates all settings. */
    public static Settings parse(Map<String, String> values) throws SettingsException {
        return new SettingsParser(values).settings();
    }

    /** The time at a path in microseconds, at least 1; {@code defaultMicros} where the path is missing. */
    static long time(Map<String, String> values, String path, long defaultMicros) throws SettingsException {
        return new SettingsParser(values).time(path, defaultMicros, 1);
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
                decimal("obligations.cold_from", 1),
                // At least 1, which avoids 0/0 for a server whose start time is ahead of this clock.
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
            String prefix = "classes." + i + ".";
            if (!values.containsKey(prefix + "name")) {
                throw new SettingsException("born lacks " + prefix + "name");
            }
            long deadlineMicros = time(prefix + "deadline", 60_000_000, 1);
            classes.add(new RequestClass(
                    text(prefix + "name", ""),
                    effect(text(prefix + "effect", "once")),
                    scope(text(prefix + "key_scope", "cell")),
                    time(prefix + "window", 0, 0),
                    time(prefix + "objective", deadlineMicros, 1),
                    deadlineMicros,
                    decimal(prefix + "points", 1),
                    decimal(prefix + "late_worth", 0),
                    flag(prefix + "streaming")));
        }
        return classes;
    }

    private List<Tenant> tenants() throws SettingsException {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("accounts.count", 0, 0); i++) {
            String prefix = "accounts." + i + ".";
            tenants.add(new Tenant(
                    text(prefix + "name", ""),
                    decimal(prefix + "portion", 1),
                    decimal(prefix + "allowance_per_s", Double.MAX_VALUE)));
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

    private String text(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    private boolean flag(String path) {
        String value = values.get(path);
        return value != null && (value.equals("true") || value.equals("1"));
    }

    private long number(String path, long defaultValue) throws SettingsException {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            // A whole number may be written 3.0 or 3e6.
            return new BigDecimal(value).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new SettingsException(path + " is not a whole number: '" + value + "'");
        }
    }

    private int count(String path, int defaultValue, int min) throws SettingsException {
        return (int) within(path, number(path, defaultValue), min, Integer.MAX_VALUE);
    }

    /** A time in microseconds, limited so that the sum of a few times cannot overflow a long. */
    private long time(String path, long defaultValue, long min) throws SettingsException {
        return within(path, number(path, defaultValue), min, Long.MAX_VALUE / 16);
    }

    private static long within(String path, long value, long min, long max) throws SettingsException {
        if (value < min || value > max) {
            throw new SettingsException(path + " is not from " + min + " to " + max + ": " + value);
        }
        return value;
    }

    private double decimal(String path, double defaultValue) throws SettingsException {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            // NaN or infinity would turn every result computed from it into NaN.
            if (number >= 0 && number < Double.POSITIVE_INFINITY) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new SettingsException(path + " is not a number: '" + value + "'");
        }
        throw new SettingsException(path + " is not a number of 0 or more: '" + value + "'");
    }
}
