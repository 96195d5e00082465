package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A duration in a scenario, in microseconds; written with its unit. */
public record Time(long micros) implements Comparable<Time> {
    /** The expected form, as error messages state it. */
    public static final String FORM = "a time with its unit, such as 750ms, 2.5s or 120us";

    private static final Pattern TEXT = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|min)");

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Time of(String text) {
        Matcher matcher = TEXT.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("'" + text + "' is not " + FORM);
        }
        double unit = switch (matcher.group(2)) {
            case "us" -> 1;
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6;
        };
        return new Time(Math.round(Double.parseDouble(matcher.group(1)) * unit));
    }

    public static Time ofSeconds(double seconds) {
        return new Time(Math.round(seconds * 1e6));
    }

    public double seconds() {
        return micros / 1e6;
    }

    @Override
    public int compareTo(Time other) {
        return Long.compare(micros, other.micros);
    }

    @Override
    @JsonValue
    public String toString() {
        return micros % 1_000_000 == 0
                ? micros / 1_000_000 + "s"
                : micros % 1000 == 0 ? micros / 1000 + "ms" : micros + "us";
    }
}
