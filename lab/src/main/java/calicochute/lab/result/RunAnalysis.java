package calicochute.lab.result;

import calicochute.lab.emulator.ClientRequest;
import calicochute.lab.emulator.Emulation;
import calicochute.lab.emulator.EmulationResult;
import calicochute.lab.evenness.Evenness;
import calicochute.lab.result.RunResult.BalancerSecond;
import calicochute.lab.result.RunResult.BreachLine;
import calicochute.lab.result.RunResult.Dispatches;
import calicochute.lab.result.RunResult.Latency;
import calicochute.lab.result.RunResult.Second;
import calicochute.lab.result.RunResult.ServerSecond;
import calicochute.lab.result.RunResult.TroubleBand;
import calicochute.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Computes the result of a run from its outcome. Service is the worth of the requests that were answered in time over
 * the worth of all; all tries of a request count as one request, sent at the planned time of its first try. Wasted work
 * is relative to the work of first tries.
 */
public final class RunAnalysis {
    /** A run is void if the 99th percentile of the lateness of the lab's own timers exceeds this. */
    public static final long MAX_TIMER_LATENESS_MICROS = 10_000;

    private static final int WINDOW_SECONDS = 10;
    /** The highest latency that histograms record. */
    private static final long MAX_LATENCY_MICROS = 600_000_000;

    private final EmulationResult outcome;
    private final Scenario scenario;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    private RunAnalysis(EmulationResult outcome) {
        this.outcome = outcome;
        scenario = outcome.deployment().scenario();
    }

    /** Computes the result of a run. */
    public static RunResult of(EmulationResult outcome) {
        return new RunAnalysis(outcome).result();
    }

    private RunResult result() {
        List<Second> seconds = seconds();
        List<Latency> latencies = latencies();
        addFigures(seconds, latencies);
        List<TroubleBand> troubles = outcome.troubles().stream()
                .map(t -> new TroubleBand(
                        t.trouble().kind().word(), t.fromMicros() / 1e6, t.toMicros() / 1e6, t.victims()))
                .toList();
        List<BreachLine> breaches = outcome.breaches().stream()
                .map(b -> new BreachLine(
                        b.rule().name(),
                        b.balancer(),
                        b.session(),
                        b.server(),
                        (b.at() - outcome.startedAt()) / 1e6,
                        b.details()))
                .toList();
        List<ServerSecond> servers = outcome.servers().stream()
                .map(s -> new ServerSecond(
                        s.at() / 1e6,
                        s.server(),
                        s.tier(),
                        s.busySlots(),
                        s.queueLength(),
                        s.dispatches(),
                        s.rejected(),
                        s.capacityShare(),
                        s.sluggish()))
                .toList();
        List<BalancerSecond> balancers = new ArrayList<>();
        outcome.balancers()
                .forEach((b, samples) -> samples.forEach(s ->
                        balancers.add(new BalancerSecond(s.at() / 1e6, b.name(), s.cores(), s.residentBytes() / 1e6))));
        Map<String, Long> counters = new TreeMap<>();
        outcome.counters().values().forEach(c -> c.forEach((name, count) -> counters.merge(name, count, Long::sum)));
        List<Evenness> evenness = new EvennessAnalysis(outcome).tiers();
        EvennessAnalysis.addFigures(evenness, figures);
        outcome.datagrams().forEach((what, count) -> figures.put("datagrams_" + what, (double) count));
        String invalid = outcome.latenessMicros()[1] <= MAX_TIMER_LATENESS_MICROS
                ? null
                : String.format(
                        Locale.ROOT,
                        "the lab's own timers ran %.1f ms late at the 99th percentile; %.0f ms are allowed",
                        outcome.latenessMicros()[1] / 1e3,
                        MAX_TIMER_LATENESS_MICROS / 1e3);
        return new RunResult(
                RunResult.VERSION,
                scenario.title(),
                scenario.shows(),
                outcome.seed(),
                outcome.length() / 1e6,
                outcome.ended(),
                invalid,
                figures,
                troubles,
                breaches,
                seconds,
                latencies,
                servers,
                balancers,
                dispatches(),
                counters,
                evenness);
    }

    private List<Second> seconds() {
        int length = (int) Math.ceil(outcome.length() / 1e6);
        int[][] counts = new int[length][5];
        double[][] worth = new double[length][2];
        for (ClientRequest root : outcome.requests()) {
            int second = (int) Math.min(length - 1, root.arrival.atMicros() / 1_000_000);
            double requestWorth = Emulation.worth(scenario, root);
            counts[second][0]++;
            worth[second][0] += requestWorth;
            worth[second][1] += root.end == ClientRequest.End.SERVED ? requestWorth : 0;
            counts[second][1] += root.end == ClientRequest.End.DENIED ? 1 : 0;
            counts[second][2] += failed(root) ? 1 : 0;
            counts[second][3] += root.end == ClientRequest.End.LATE ? 1 : 0;
            counts[second][4] += root.denials;
        }
        List<Second> seconds = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            seconds.add(new Second(
                    i, counts[i][0], worth[i][0], worth[i][1], counts[i][1], counts[i][2], counts[i][3], counts[i][4]));
        }
        return seconds;
    }

    private static boolean failed(ClientRequest root) {
        return switch (root.end) {
            case FAILED, UNREACHABLE, TIMED_OUT, OPEN -> true;
            case SERVED, LATE, DENIED -> false;
        };
    }

    private List<Latency> latencies() {
        List<Latency> latencies = new ArrayList<>();
        Histogram all = new Histogram(MAX_LATENCY_MICROS, 3);
        for (int c = 0; c < scenario.classes().size(); c++) {
            Histogram ofClass = new Histogram(MAX_LATENCY_MICROS, 3);
            for (ClientRequest root : outcome.requests()) {
                if (root.arrival.classIndex() == c && root.answered()) {
                    long took = Math.max(0, Math.min(MAX_LATENCY_MICROS, root.endedAt - root.plannedAt));
                    ofClass.recordValue(took);
                    all.recordValue(took);
                }
            }
            latencies.add(latency(scenario.classes().get(c).name(), ofClass));
        }
        latencies.add(latency("all", all));
        return latencies;
    }

    private static Latency latency(String name, Histogram histogram) {
        return new Latency(
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(90) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getValueAtPercentile(99.9) / 1e3,
                histogram.getMaxValue() / 1e3);
    }

    /** Returns the service of the requests that match. */
    private double service(Predicate<ClientRequest> filter) {
        double asked = 0;
        double served = 0;
        for (ClientRequest root : outcome.requests()) {
            if (filter.test(root)) {
                double worth = Emulation.worth(scenario, root);
                asked += worth;
                served += root.end == ClientRequest.End.SERVED ? worth : 0;
            }
        }
        return asked == 0 ? 1 : served / asked;
    }

    /** Returns the share of requests that match. */
    private double share(Predicate<ClientRequest> filter) {
        return outcome.requests().isEmpty()
                ? 0
                : (double) outcome.requests().stream().filter(filter).count()
                        / outcome.requests().size();
    }

    private void addFigures(List<Second> seconds, List<Latency> latencies) {
        double service = service(r -> true);
        double worstWindow = worstWindow(seconds);
        Map<String, Double> classes = new LinkedHashMap<>();
        Map<String, Double> tenants = new LinkedHashMap<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            int classIndex = i;
            classes.put(scenario.classes().get(i).name(), service(r -> r.arrival.classIndex() == classIndex));
        }
        for (int i = 0; i < scenario.tenants().size(); i++) {
            int tenant = i;
            tenants.put(
                    scenario.tenants().get(i).name(),
                    service(r -> r.arrival.tenant() == tenant && !r.arrival.overShare()));
        }
        double worstClass = classes.values().stream().mapToDouble(v -> v).min().orElse(1);
        double worstTenant = tenants.values().stream().mapToDouble(v -> v).min().orElse(1);
        figures.put("service", service);
        figures.put("service_worst_10s", worstWindow);
        figures.put("service_worst_class", worstClass);
        figures.put("service_worst_tenant", worstTenant);
        figures.put("service_weighted", 0.4 * service + 0.15 * worstWindow + 0.2 * worstClass + 0.25 * worstTenant);
        classes.forEach((name, v) -> figures.put("service_class_" + name, v));
        tenants.forEach((name, v) -> figures.put("service_tenant_" + name, v));
        latencies.forEach(l -> {
            figures.put("latency_p50_ms_" + l.of(), l.p50());
            figures.put("latency_p99_ms_" + l.of(), l.p99());
        });
        int requests = Math.max(1, outcome.requests().size());
        figures.put("requests", (double) outcome.requests().size());
        figures.put("denied", share(r -> r.end == ClientRequest.End.DENIED));
        figures.put("failed", share(RunAnalysis::failed));
        figures.put("late", share(r -> r.end == ClientRequest.End.LATE));
        figures.put(
                "denials_per_request",
                outcome.requests().stream().mapToInt(r -> r.denials).sum() / (double) requests);
        figures.put(
                "tries_per_request",
                outcome.requests().stream().mapToInt(r -> r.tries).sum() / (double) requests);
        for (int t = 0; t < scenario.tiers().size(); t++) {
            int tier = t;
            figures.put(
                    "dispatches_per_request_" + scenario.tiers().get(t).name(),
                    outcome.requests().stream()
                                    .mapToInt(r -> r.dispatches[tier])
                                    .sum()
                            / (double) requests);
        }
        double offeredWork =
                outcome.requests().stream().mapToDouble(this::offeredWork).sum();
        double wastedWork = outcome.requests().stream()
                .mapToDouble(r -> r.workDone - r.workUsed)
                .sum();
        figures.put("wasted_work", offeredWork == 0 ? 0 : wastedWork / offeredWork);
        figures.put("zone_crossings_per_request", outcome.crossZoneDispatches() / (double) requests);
        figures.put("probes_per_request", outcome.probes() / (double) requests);
        figures.put("breaches", (double) outcome.breaches().size());
        figures.put("cold_starts", (double) outcome.coldStarts().starts());
        figures.put("cold_falls", (double) outcome.coldStarts().collapses());
        figures.put("cold_window_worst", outcome.coldStarts().worstBudgetShare());
        figures.put("cold_window_worst_told", outcome.coldStarts().worstInformedBudgetShare());
        figures.put("bad_clients", (double) outcome.badClients().sent());
        figures.put("bad_clients_neglected", (double) outcome.badClients().unanswered());
        figures.put("bad_clients_served", (double) outcome.badClients().served());
        double cores = 0;
        double maxMemoryMb = 0;
        for (var samples : outcome.balancers().values()) {
            cores += samples.stream()
                    .mapToDouble(EmulationResult.BalancerSample::cores)
                    .average()
                    .orElse(0);
            maxMemoryMb = Math.max(
                    maxMemoryMb,
                    samples.stream()
                            .mapToDouble(s -> s.residentBytes() / 1e6)
                            .max()
                            .orElse(0));
        }
        figures.put("balancers_cores", cores);
        figures.put(
                "balancers_cpu_ms_per_dispatch",
                outcome.dispatches() == 0 ? 0 : cores * outcome.length() / 1e3 / outcome.dispatches());
        figures.put("balancer_memory_mb_max", maxMemoryMb);
        figures.put("lab_cores", outcome.labCores());
        figures.put("lab_late_ms_p50", outcome.latenessMicros()[0] / 1e3);
        figures.put("lab_late_ms_p99", outcome.latenessMicros()[1] / 1e3);
        figures.put("lab_late_ms_max", outcome.latenessMicros()[2] / 1e3);
    }

    /** The work of a request over all tiers if each of its calls is made once. */
    private double offeredWork(ClientRequest root) {
        double work = 0;
        double calls = 1;
        for (int t = 0; t < scenario.tiers().size(); t++) {
            work += calls * root.arrival.workMicros() * scenario.tiers().get(t).work();
            calls *= Math.max(1, root.arrival.calls().get(t));
        }
        return work;
    }

    /** Returns the lowest service of any 10 s, or of the whole run if it is shorter. */
    private static double worstWindow(List<Second> seconds) {
        double worst = 1;
        int span = Math.min(WINDOW_SECONDS, seconds.size());
        for (int i = 0; i + span <= seconds.size(); i++) {
            double asked = 0;
            double served = 0;
            for (Second s : seconds.subList(i, i + span)) {
                asked += s.asked();
                served += s.served();
            }
            worst = Math.min(worst, asked == 0 ? 1 : served / asked);
        }
        return worst;
    }

    private List<Dispatches> dispatches() {
        List<Dispatches> list = new ArrayList<>();
        for (int t = 0; t < scenario.tiers().size(); t++) {
            int tier = t;
            int max = outcome.requests().stream()
                    .mapToInt(r -> r.dispatches[tier])
                    .max()
                    .orElse(0);
            long[] counts = new long[max + 1];
            outcome.requests().forEach(r -> counts[r.dispatches[tier]]++);
            for (int d = 0; d <= max; d++) {
                list.add(new Dispatches(scenario.tiers().get(t).name(), d, counts[d]));
            }
        }
        return list;
    }
}
