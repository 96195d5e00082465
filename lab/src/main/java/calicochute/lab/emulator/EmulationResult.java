package calicochute.lab.emulator;

import calicochute.lab.evenness.Dispatch;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.referee.Breach;
import java.util.List;
import java.util.Map;

/**
 * The result of a run. Times are microseconds from the run's start unless a component says otherwise.
 *
 * @param ended why the run ended early; null for a complete run
 * @param startedAt Unix time in microseconds of the start of the planned load, after the lead-in
 * @param length the planned length in microseconds
 * @param latenessMicros how late the lab's own timers ran: the 50th, 99th and 100th percentile
 * @param labCores CPU cores that the lab's own process used on average
 * @param crossZoneDispatches dispatches to a server from another zone
 * @param datagrams datagrams between balancers by what happened to them; empty if they do not exchange any
 * @param dispatchesByTier for each tier its dispatches in order, with Unix times
 */
public record EmulationResult(
        Deployment deployment,
        long seed,
        String ended,
        long startedAt,
        long length,
        List<ClientRequest> requests,
        List<TroublePlan> troubles,
        List<ServerSample> servers,
        Map<BalancerSpec, List<BalancerSample>> balancers,
        Map<BalancerSpec, Map<String, Long>> counters,
        List<Breach> breaches,
        long[] latenessMicros,
        double labCores,
        long probes,
        long dispatches,
        long crossZoneDispatches,
        BadClientCount badClients,
        Map<String, Long> datagrams,
        List<List<Dispatch>> dispatchesByTier,
        ColdStarts coldStarts) {

    /** One second of a server: its state at the end of the second, and the dispatches received and rejected in it. */
    public record ServerSample(
            long at,
            String server,
            int tier,
            int busySlots,
            int queueLength,
            long dispatches,
            long rejected,
            double capacityShare,
            boolean sluggish) {}

    /** One second of a balancer: CPU cores used in it, and resident memory at its end. */
    public record BalancerSample(long at, double cores, long residentBytes) {}

    /**
     * Cold starts of servers and collapses during them; and the greatest share of the cold start budget that was used,
     * by all balancers and by those that had been told of the start.
     */
    public record ColdStarts(int starts, int collapses, double worstBudgetShare, double worstInformedBudgetShare) {}

    /** Clients with invalid requests: all of them, those without an error or a close in time, and those served. */
    public record BadClientCount(int sent, int unanswered, int served) {}
}
