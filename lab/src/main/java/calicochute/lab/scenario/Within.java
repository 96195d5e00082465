package calicochute.lab.scenario;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The bounds of a number in a scenario, both included; times count in seconds, rates per second, ranges with both ends.
 * Whatever is annotated and absent without a default is a fault too.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.RECORD_COMPONENT, ElementType.FIELD, ElementType.PARAMETER, ElementType.METHOD})
public @interface Within {
    double min() default 0;

    double max() default 1e9;

    boolean whenAbsent() default false;
}
