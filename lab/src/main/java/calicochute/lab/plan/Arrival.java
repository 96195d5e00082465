package calicochute.lab.plan;

import java.util.List;

/**
 * A client's request as drawn before the run: when it is first sent (microseconds from the run's start, negative in the
 * lead-in), what it asks, its work over all tiers in microseconds, and all that is up to chance later (how long its
 * client waits, how many calls its tiers make, whether it follows Retry-After), so that what happens in the run shifts
 * no draw.
 */
public record Arrival(
        int number,
        long at,
        int classIndex,
        int tenant,
        int zone,
        double work,
        double patience,
        List<Integer> calls,
        double balancerDraw,
        boolean honours,
        boolean overShare) {}
