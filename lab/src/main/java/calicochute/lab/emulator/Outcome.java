package calicochute.lab.emulator;

import calicochute.lab.evenness.Dispatch;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.referee.Breach;
import java.util.List;
import java.util.Map;

/**
 * What a run has brought. Times are microseconds from the run's start unless a field says otherwise.
 *
 * @param ended null for a whole run, else why it ended early
 * @param startedAt Unix time in microseconds of the first planned request
 * @param lateness how late the lab's own timers ran, microseconds at the 50th, 99th and 100th percentile
 * @param labCpu cores that emulator and load needed in the mean
 * @param datagrams between balancers, by what became of them; none where they don't talk
 * @param sent each dispatch by tier, with Unix times
 * @param cold what became of servers that came back cold
 */
public record Outcome(
        Deployment deployment,
        long seed,
        String ended,
        long startedAt,
        long length,
        List<Root> roots,
        List<TroublePlan> troubles,
        List<ServerSample> servers,
        Map<BalancerSpec, List<BalancerSample>> balancers,
        Map<BalancerSpec, Map<String, Long>> counters,
        List<Breach> breaches,
        long[] lateness,
        double labCpu,
        long probes,
        long dispatches,
        long crossings,
        BadClientCount badClients,
        Map<String, Long> datagrams,
        List<List<Dispatch>> sent,
        ColdStarts cold) {

    /** A server's second: what it held at its end, and what came in it. */
    public record ServerSample(
            long at,
            String server,
            int tier,
            int inWork,
            int inQueue,
            long dispatches,
            long turnedAway,
            double capacityShare,
            boolean sluggish) {}

    /** A balancer's second: cores used in it, and resident memory in bytes at its end. */
    public record BalancerSample(long at, double cores, long resident) {}

    /**
     * How often servers came back cold and how often they fell over under what was sent; the most work of any span, as
     * a part of what was allowed, sent by all balancers and by those that had been told of the start.
     */
    public record ColdStarts(int starts, int falls, double worst, double worstInformed) {}

    /** Bad clients sent, and those that got neither an error nor a close in time, or were served. */
    public record BadClientCount(int sent, int neglected, int served) {}
}
