package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/** The bounds of a uniform distribution, both equal for a constant; written as a number or as {@code [low, high]}. */
public record Range(double low, double high) {
    /** The expected form, as error messages state it. */
    public static final String FORM = "a number, or two in rising order such as [0.85, 1.1]";

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Range of(Object given) {
        if (given instanceof Number number) {
            return new Range(number.doubleValue(), number.doubleValue());
        }
        if (given instanceof List<?> list
                && list.size() == 2
                && list.get(0) instanceof Number low
                && list.get(1) instanceof Number high
                && low.doubleValue() <= high.doubleValue()) {
            return new Range(low.doubleValue(), high.doubleValue());
        }
        throw new IllegalArgumentException("'" + given + "' is not " + FORM);
    }

    public static Range of(double low, double high) {
        return new Range(low, high);
    }

    public double mean() {
        return (low + high) / 2;
    }

    /** Maps a uniform draw between 0 and 1 to a value between the bounds. */
    public double interpolate(double draw) {
        return low + (high - low) * draw;
    }

    @JsonValue
    public List<Double> toList() {
        return List.of(low, high);
    }
}
