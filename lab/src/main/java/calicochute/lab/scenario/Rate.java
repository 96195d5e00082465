package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A rate of events per second; written as {@code 90/s}. */
public record Rate(double perSecond) {
    /** The expected form, as error messages state it. */
    public static final String FORM = "a rate such as 90/s";

    private static final Pattern TEXT = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*/\\s*s");

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Rate of(String text) {
        Matcher matcher = TEXT.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("'" + text + "' is not " + FORM);
        }
        return new Rate(Double.parseDouble(matcher.group(1)));
    }

    @Override
    @JsonValue
    public String toString() {
        return String.format(Locale.ROOT, "%.6g/s", perSecond);
    }
}
