package calicochute.lab.scenario;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The inclusive bounds of a number in a scenario: of a time in seconds, of a rate per second, and of both ends of a
 * range. An annotated component must have a value, given or by default, unless it is {@link #optional}.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD, ElementType.PARAMETER, ElementType.METHOD})
public @interface Bounds {
    double min() default 0;

    double max() default 1e9;

    boolean optional() default false;
}
