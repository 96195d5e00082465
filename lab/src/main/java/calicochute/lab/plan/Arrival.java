package calicochute.lab.plan;

import java.util.List;

/**
 * A client's request as drawn before the run. It includes everything random that is needed later, so that the events of
 * a run change no draw.
 *
 * @param atMicros when it is first sent, from the start of the run; negative in the lead-in
 * @param workMicros its work over all tiers, in microseconds of a core of speed 1
 * @param patience the share of the class's give-up time after which its client gives up a try
 * @param calls the number of calls that each tier makes to the next one
 * @param balancerDraw a uniform draw between 0 and 1 that selects the balancer of the first try
 * @param honoursRetryAfter whether its client follows Retry-After
 * @param overShare whether it exceeds its tenant's allowance in its second
 */
public record Arrival(
        int number,
        long atMicros,
        int classIndex,
        int tenant,
        int zone,
        double workMicros,
        double patience,
        List<Integer> calls,
        double balancerDraw,
        boolean honoursRetryAfter,
        boolean overShare) {}
