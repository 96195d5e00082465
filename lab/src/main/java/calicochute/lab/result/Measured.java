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
 * Turns what a run brought into figures. Service is the worth answered within the wanted time over the worth asked for;
 * all of a request's tries count as the one that was planned. Waste and crossings are shares of what first tries ask.
 */
public final class Measured {
    /** Beyond this lateness of the lab's own timers at the 99th percentile, in microseconds, a run is void. */
    public static final long LATENESS_BOUND = 10_000;

    private static final int WINDOW_S = 10;
    private static final long HIGHEST_US = 600_000_000;
    private final EmulationResult outcome;
    private final Scenario scenario;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    private Measured(EmulationResult outcome) {
        this.outcome = outcome;
        scenario = outcome.deployment().scenario();
    }

    public static RunResult of(EmulationResult outcome) {
        return new Measured(outcome).result();
    }

    private RunResult result() {
        List<Second> seconds = seconds();
        List<Latency> latencies = latencies();
        figures(seconds, latencies);
        List<TroubleBand> bands = outcome.troubles().stream()
                .map(t -> new TroubleBand(t.trouble().kind().word(), t.from() / 1e6, t.to() / 1e6, t.victims()))
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
        List<Evenness> evenness = new Evenly(outcome).tiers();
        Evenly.figures(evenness, figures);
        outcome.datagrams().forEach((what, count) -> figures.put("datagrams_" + what, (double) count));
        String invalid = outcome.latenessMicros()[1] <= LATENESS_BOUND
                ? null
                : String.format(
                        Locale.ROOT,
                        "the lab's own timers ran %.1f ms late at the 99th percentile; %.0f ms are allowed",
                        outcome.latenessMicros()[1] / 1e3,
                        LATENESS_BOUND / 1e3);
        return new RunResult(
                RunResult.VERSION,
                scenario.title(),
                scenario.shows(),
                outcome.seed(),
                outcome.length() / 1e6,
                outcome.ended(),
                invalid,
                figures,
                bands,
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
            int at = (int) Math.min(length - 1, root.arrival.at() / 1_000_000);
            double w = Emulation.worth(scenario, root);
            counts[at][0]++;
            worth[at][0] += w;
            worth[at][1] += root.end == ClientRequest.End.SERVED ? w : 0;
            counts[at][1] += root.end == ClientRequest.End.DENIED ? 1 : 0;
            counts[at][2] += failed(root) ? 1 : 0;
            counts[at][3] += root.end == ClientRequest.End.LATE ? 1 : 0;
            counts[at][4] += root.denials;
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
        Histogram all = new Histogram(HIGHEST_US, 3);
        for (int c = 0; c < scenario.classes().size(); c++) {
            Histogram one = new Histogram(HIGHEST_US, 3);
            for (ClientRequest root : outcome.requests()) {
                if (root.arrival.classIndex() == c && root.answered()) {
                    long took = Math.max(0, Math.min(HIGHEST_US, root.endedAt - root.plannedAt));
                    one.recordValue(took);
                    all.recordValue(took);
                }
            }
            latencies.add(latency(scenario.classes().get(c).name(), one));
        }
        latencies.add(latency("all", all));
        return latencies;
    }

    private static Latency latency(String of, Histogram h) {
        return new Latency(
                of,
                h.getTotalCount(),
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(90) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getValueAtPercentile(99.9) / 1e3,
                h.getMaxValue() / 1e3);
    }

    private double service(Predicate<ClientRequest> of) {
        double asked = 0;
        double served = 0;
        for (ClientRequest root : outcome.requests()) {
            if (of.test(root)) {
                double w = Emulation.worth(scenario, root);
                asked += w;
                served += root.end == ClientRequest.End.SERVED ? w : 0;
            }
        }
        return asked == 0 ? 1 : served / asked;
    }

    private double share(Predicate<ClientRequest> of) {
        return outcome.requests().isEmpty()
                ? 0
                : (double) outcome.requests().stream().filter(of).count()
                        / outcome.requests().size();
    }

    private void figures(List<Second> seconds, List<Latency> latencies) {
        double whole = service(r -> true);
        double window = worstWindow(seconds);
        Map<String, Double> classes = new LinkedHashMap<>();
        Map<String, Double> tenants = new LinkedHashMap<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            int c = i;
            classes.put(scenario.classes().get(i).name(), service(r -> r.arrival.classIndex() == c));
        }
        for (int i = 0; i < scenario.tenants().size(); i++) {
            int t = i;
            tenants.put(
                    scenario.tenants().get(i).name(), service(r -> r.arrival.tenant() == t && !r.arrival.overShare()));
        }
        double worstClass = classes.values().stream().mapToDouble(v -> v).min().orElse(1);
        double worstTenant = tenants.values().stream().mapToDouble(v -> v).min().orElse(1);
        figures.put("service", whole);
        figures.put("service_worst_10s", window);
        figures.put("service_worst_class", worstClass);
        figures.put("service_worst_tenant", worstTenant);
        figures.put("service_weighted", 0.4 * whole + 0.15 * window + 0.2 * worstClass + 0.25 * worstTenant);
        classes.forEach((name, v) -> figures.put("service_class_" + name, v));
        tenants.forEach((name, v) -> figures.put("service_tenant_" + name, v));
        latencies.forEach(l -> {
            figures.put("latency_p50_ms_" + l.of(), l.p50());
            figures.put("latency_p99_ms_" + l.of(), l.p99());
        });
        int n = Math.max(1, outcome.requests().size());
        figures.put("requests", (double) outcome.requests().size());
        figures.put("denied", share(r -> r.end == ClientRequest.End.DENIED));
        figures.put("failed", share(Measured::failed));
        figures.put("late", share(r -> r.end == ClientRequest.End.LATE));
        figures.put(
                "denials_per_request",
                outcome.requests().stream().mapToInt(r -> r.denials).sum() / (double) n);
        figures.put(
                "tries_per_request",
                outcome.requests().stream().mapToInt(r -> r.tries).sum() / (double) n);
        for (int t = 0; t < scenario.tiers().size(); t++) {
            int tier = t;
            figures.put(
                    "dispatches_per_request_" + scenario.tiers().get(t).name(),
                    outcome.requests().stream()
                                    .mapToInt(r -> r.dispatches[tier])
                                    .sum()
                            / (double) n);
        }
        double offered = outcome.requests().stream().mapToDouble(this::offered).sum();
        double wasted = outcome.requests().stream()
                .mapToDouble(r -> r.workDone - r.workUsed)
                .sum();
        figures.put("wasted_work", offered == 0 ? 0 : wasted / offered);
        figures.put("zone_crossings_per_request", outcome.crossZoneDispatches() / (double) n);
        figures.put("probes_per_request", outcome.probes() / (double) n);
        figures.put("breaches", (double) outcome.breaches().size());
        figures.put("cold_starts", (double) outcome.coldStarts().starts());
        figures.put("cold_falls", (double) outcome.coldStarts().collapses());
        figures.put("cold_window_worst", outcome.coldStarts().worstBudgetShare());
        figures.put("cold_window_worst_told", outcome.coldStarts().worstInformedBudgetShare());
        figures.put("bad_clients", (double) outcome.badClients().sent());
        figures.put("bad_clients_neglected", (double) outcome.badClients().unanswered());
        figures.put("bad_clients_served", (double) outcome.badClients().served());
        double cores = 0;
        double most = 0;
        for (var samples : outcome.balancers().values()) {
            cores += samples.stream()
                    .mapToDouble(EmulationResult.BalancerSample::cores)
                    .average()
                    .orElse(0);
            most = Math.max(
                    most,
                    samples.stream()
                            .mapToDouble(s -> s.residentBytes() / 1e6)
                            .max()
                            .orElse(0));
        }
        figures.put("balancers_cores", cores);
        figures.put(
                "balancers_cpu_ms_per_dispatch",
                outcome.dispatches() == 0 ? 0 : cores * outcome.length() / 1e3 / outcome.dispatches());
        figures.put("balancer_memory_mb_max", most);
        figures.put("lab_cores", outcome.labCores());
        figures.put("lab_late_ms_p50", outcome.latenessMicros()[0] / 1e3);
        figures.put("lab_late_ms_p99", outcome.latenessMicros()[1] / 1e3);
        figures.put("lab_late_ms_max", outcome.latenessMicros()[2] / 1e3);
    }

    private double offered(ClientRequest root) {
        double work = 0;
        double calls = 1;
        for (int t = 0; t < scenario.tiers().size(); t++) {
            work += calls * root.arrival.work() * scenario.tiers().get(t).work();
            calls *= Math.max(1, root.arrival.calls().get(t));
        }
        return work;
    }

    private static double worstWindow(List<Second> seconds) {
        double worst = 1;
        int span = Math.min(WINDOW_S, seconds.size());
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
            int most = outcome.requests().stream()
                    .mapToInt(r -> r.dispatches[tier])
                    .max()
                    .orElse(0);
            long[] counts = new long[most + 1];
            outcome.requests().forEach(r -> counts[r.dispatches[tier]]++);
            for (int d = 0; d <= most; d++) {
                list.add(new Dispatches(scenario.tiers().get(t).name(), d, counts[d]));
            }
        }
        return list;
    }
}
