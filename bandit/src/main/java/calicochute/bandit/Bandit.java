package calicochute.bandit;

import calicochute.outcomes.AggregateRow;
import calicochute.outcomes.OutcomeSnapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A multi-armed bandit over the backend servers (Thompson sampling), which turns the fleet's outcomes into advice for
 * one balancer. The package documentation lists the rules. Used on one thread; time is passed in; the same seed and
 * calls give the same advice.
 */
public final class Bandit {
    /** Least level of a kind (log speed), so that a kind that is slow as a whole does not pass for a small one. */
    private static final double MIN_KIND_LEVEL = -0.6;

    /** Speed advised for an unhealthy server, relative to the typical speed. */
    private static final double UNHEALTHY_SPEED = 0.1;

    private final BanditSettings settings;
    private final long seed;
    private final TrialSchedule trials;
    private final Map<String, ServerEstimate> estimates = new TreeMap<>();
    private final Map<String, String> kindOfServer = new HashMap<>();
    private final Map<String, Double> kindLevels = new HashMap<>();
    private final Map<String, Double> draws = new HashMap<>();
    private List<ListedServer> listed = List.of();
    private long newestWindow = Long.MIN_VALUE;
    private long drawnWindow = Long.MIN_VALUE;
    private double warmRate;
    /** Factor by which the interval between two trials of a server is longer than the setting. */
    private double trialStretch = 1;

    public Bandit(BanditSettings settings, String self, long seed) {
        this.settings = settings;
        this.seed = seed ^ self.hashCode() * 0x9E3779B97F4A7C15L;
        this.trials = new TrialSchedule(self, settings.trialIntervalMicros());
    }

    /** Updates all estimates. To be called when rows, live balancers or listed servers change, at least each window. */
    public void update(long now, OutcomeSnapshot snapshot, Set<String> live, Collection<ListedServer> servers) {
        trials.setLive(live);
        listed = servers.stream().sorted(Comparator.comparing(ListedServer::id)).toList();
        kindOfServer.clear();
        listed.forEach(l -> kindOfServer.put(l.id(), l.kind()));
        estimates.keySet().retainAll(kindOfServer.keySet());
        for (ListedServer server : listed) {
            ServerEstimate estimate = estimates.get(server.id());
            if (estimate == null || estimate.startedAt != server.startedAt()) {
                estimates.put(server.id(), new ServerEstimate(settings, server.startedAt(), estimate));
            }
        }
        List<AggregateRow> rows = snapshot.rows(now).stream()
                .filter(r -> now - (r.window() + 1) * settings.windowMicros() <= 4 * settings.decayMicros())
                .toList();
        newestWindow = rows.stream().mapToLong(AggregateRow::window).max().orElse(Long.MIN_VALUE);
        Map<String, TreeMap<Long, ServerWindow>> windowsOfServer = windowsOfServer(rows);
        estimates.forEach((server, estimate) -> estimate.addUp(
                now, windowsOfServer.getOrDefault(server, new TreeMap<>()).values()));
        updatePosteriors();
        windowsOfServer.forEach((server, windows) -> estimates.get(server).updateHealth(windows, kindLevel(server)));
        updateLoad(now, windowsOfServer);
    }

    private Map<String, TreeMap<Long, ServerWindow>> windowsOfServer(List<AggregateRow> rows) {
        Map<String, List<Double>> logsOfClass = new HashMap<>();
        rows.stream()
                .filter(r -> r.clipped().speedSamples() > 0)
                .forEach(r -> logsOfClass
                        .computeIfAbsent(r.key().requestClass(), c -> new ArrayList<>())
                        .add(ServerWindow.robustLogSpeed(r, settings)));
        Map<String, Double> levelOfClass = new HashMap<>();
        logsOfClass.forEach((requestClass, logs) -> levelOfClass.put(requestClass, median(logs)));
        Map<String, TreeMap<Long, List<AggregateRow>>> rowsOfServer = new TreeMap<>();
        for (AggregateRow row : rows) {
            ServerEstimate estimate = estimates.get(row.key().server());
            if (estimate != null && estimate.startedAt == row.key().startedAt()) {
                rowsOfServer
                        .computeIfAbsent(row.key().server(), s -> new TreeMap<>())
                        .computeIfAbsent(row.window(), w -> new ArrayList<>())
                        .add(row);
            }
        }
        Map<String, TreeMap<Long, ServerWindow>> result = new TreeMap<>();
        rowsOfServer.forEach((server, rowsOfWindow) ->
                rowsOfWindow.forEach((window, windowRows) -> result.computeIfAbsent(server, s -> new TreeMap<>())
                        .put(
                                window,
                                ServerWindow.of(
                                        window, windowRows, c -> levelOfClass.getOrDefault(c, 0.0), settings))));
        return result;
    }

    private static double median(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? 0 : (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /** Computes the level of each kind (the median of its healthy servers), then each server's posterior from it. */
    private void updatePosteriors() {
        Map<String, List<Double>> logsOfKind = new HashMap<>();
        for (ListedServer server : listed) {
            ServerEstimate estimate = estimates.get(server.id());
            if (estimate.samples > 0 && !estimate.unhealthy) {
                logsOfKind
                        .computeIfAbsent(server.kind(), k -> new ArrayList<>())
                        .add(estimate.sampleMean);
            }
        }
        kindLevels.clear();
        // A few servers say little about their kind, so the fleet's level (0) counts as two more servers.
        logsOfKind.forEach((kind, logs) ->
                kindLevels.put(kind, Math.max(MIN_KIND_LEVEL, median(logs) * logs.size() / (logs.size() + 2.0))));
        listed.forEach(l -> estimates.get(l.id()).updatePosterior(kindLevel(l.id()), 1));
    }

    private double kindLevel(String server) {
        return kindLevels.getOrDefault(kindOfServer.getOrDefault(server, ""), 0.0);
    }

    /**
     * Computes the fleet's dispatch rate at a warm server, the interval of trials, and how far each server's load is
     * from what its speed accounts for.
     */
    private void updateLoad(long now, Map<String, TreeMap<Long, ServerWindow>> windowsOfServer) {
        List<ListedServer> warm = listed.stream()
                .filter(l -> l.ready()
                        && !estimates.get(l.id()).unhealthy
                        && (l.startedAt() <= 0 || now - l.startedAt() >= settings.warmUpMicros())
                        && estimates.get(l.id()).dispatches > 0)
                .toList();
        double meanSpeed = warm.stream()
                .mapToDouble(l -> Math.exp(estimates.get(l.id()).mean))
                .average()
                .orElse(1);
        double meanDispatches = warm.stream()
                .mapToDouble(l -> estimates.get(l.id()).dispatches)
                .average()
                .orElse(0);
        // The windows seen, each with the weight of its age, as in the decayed dispatch counts.
        double windows = windowsOfServer.values().stream()
                .flatMap(s -> s.keySet().stream())
                .distinct()
                .mapToDouble(w -> Math.exp(
                        -(double) Math.max(0, now - (w + 1) * settings.windowMicros()) / settings.decayMicros()))
                .sum();
        warmRate = windows == 0 ? 0 : meanDispatches / windows / (settings.windowMicros() / 1e6);
        double fleetRate = windows == 0
                ? 0
                : estimates.values().stream().mapToDouble(e -> e.dispatches).sum()
                        / windows
                        / (settings.windowMicros() / 1e6);
        long tried = estimates.values().stream()
                .filter(e -> e.unhealthy || e.samples < 1)
                .count();
        trialStretch =
                tried * 1e6 / (settings.trialIntervalMicros() * Math.max(1e-9, fleetRate * settings.maxTrialShare()));
        for (ListedServer server : warm) {
            ServerEstimate estimate = estimates.get(server.id());
            estimate.correctBias(
                    newestWindow, Math.exp(estimate.mean) / meanSpeed, estimate.dispatches / meanDispatches);
        }
    }

    /** The advice at this time, by the last update. */
    public FleetAdvice advise(long now) {
        long until = now + 2 * settings.windowMicros();
        double share = 1.0 / trials.fleetSize();
        if (newestWindow == Long.MIN_VALUE
                || now - (newestWindow + 1) * settings.windowMicros() > settings.staleMicros()) {
            return new FleetAdvice(List.of(), 0, share, until);
        }
        draw(Math.floorDiv(now, settings.windowMicros()));
        double[] speeds = listed.stream()
                .map(l -> estimates.get(l.id()))
                .filter(e -> !e.unhealthy)
                .mapToDouble(e -> Math.exp(e.mean))
                .toArray();
        double typicalSpeed = Arrays.stream(speeds).average().orElse(1);
        List<Advice> servers = new ArrayList<>();
        for (ListedServer server : listed) {
            if (server.ready()) {
                servers.add(advise(now, server, estimates.get(server.id()), typicalSpeed));
            }
        }
        return new FleetAdvice(servers, warmRate, share, until);
    }

    private Advice advise(long now, ListedServer server, ServerEstimate estimate, double typicalSpeed) {
        if (estimate.unhealthy) {
            boolean mine =
                    trials.isMyTurn(server.id(), now, trialStretch, estimate.recovering ? settings.trialSpeedup() : 1);
            return new Advice(server.id(), server.startedAt(), UNHEALTHY_SPEED, settings.maxWorthSamples(), true, mine);
        }
        double relative = estimate.mean - kindLevel(server.id());
        double degradation = Math.max(
                0,
                Math.min(
                        1,
                        (ServerEstimate.DEGRADED_LOG - relative)
                                / (ServerEstimate.DEGRADED_LOG - ServerEstimate.SEVERELY_DEGRADED_LOG)));
        double draw = draws.getOrDefault(server.id(), 0.0);
        // The softmax of 1 + temperature * ln x is proportional to x, which makes the share proportional to capacity.
        double byCapacity = 1
                + settings.temperature() * (estimate.mean - Math.log(typicalSpeed) + estimate.bias)
                + draw * Math.max(settings.minDrawDeviation(), settings.temperature() * estimate.deviation);
        double byLatency = Math.exp(estimate.mean + draw * estimate.deviation) / typicalSpeed;
        double speed = ((1 - degradation) * byCapacity + degradation * byLatency) * estimate.successRate;
        boolean unsampled = estimate.samples < 1;
        return new Advice(
                server.id(),
                server.startedAt(),
                Math.max(0, Math.min(3, speed)),
                estimate.worthSamples(),
                false,
                unsampled && trials.isMyTurn(server.id(), now, trialStretch, 1));
    }

    /** Draws a standard normal number for each server, once for each window. */
    private void draw(long window) {
        if (window == drawnWindow) {
            return;
        }
        drawnWindow = window;
        draws.clear();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ window * 0xD1342543DE82EF95L);
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        listed.forEach(l -> draws.put(l.id(), Math.max(-3, Math.min(3, normal.sample()))));
    }
}
