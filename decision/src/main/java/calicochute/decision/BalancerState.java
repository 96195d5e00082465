package calicochute.decision;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.FleetEstimate;
import calicochute.decision.Balancer.FleetEstimates;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The whole state of an instance: its settings and what it has learnt. Holds data and makes no decisions. */
final class BalancerState {
    static final TrackedBackend[] NO_BACKENDS = {};
    final SplittableRandom random;
    Settings settings;
    RequestClass[] classes;
    /** Whether there are requests that lose nothing when they find out that a backend is bad. */
    boolean anyRepeatable;
    /** Statistics by class index. */
    ClassStats[] classStats;

    final Map<String, ClassStats> statsByName = new HashMap<>();
    /** Time of the current event, microseconds. */
    long now;

    Actions actions;

    final Map<String, TrackedBackend> backends = new HashMap<>();
    final Map<Long, Request> requests = new HashMap<>();
    /** All listed backends in the order of the ring. */
    TrackedBackend[] ring = new TrackedBackend[0];
    /** The backends that this instance uses. */
    TrackedBackend[] subset = ring;
    /** The subset in the order of the walk, fastest first. */
    TrackedBackend[] walk = ring;

    int walkIndex;
    /** The next request may go to a backend that was never called. */
    boolean firstCallNext = true;
    /** The list service announces changes by itself. */
    boolean subscribed;
    /** Calls to the list service that have failed since it last answered. */
    int failedListCalls;

    /** Experiment arms by backend id. */
    Map<String, Integer> armById = Map.of();
    /** The backends of each arm that this instance uses. */
    final Map<Integer, TrackedBackend[]> armSubsets = new HashMap<>();
    /** The fleet's estimates by backend id. */
    Map<String, FleetEstimate> fleetEstimates = Map.of();

    long fleetEstimatesUntil;

    /** Mean speed of the backends in the subset. */
    double typicalSpeed = 1;
    /** Answers a second from the warm backends of the subset, for each unit of size. */
    double warmAnswerRate;
    /** Answers a second from all backends. */
    double answerRate;
    /** Answers from warm backends since the last review. */
    int warmAnswers;
    /** Answers since the last review. */
    int answers;
    /** Mean size of the warm backends in the subset. */
    double meanWarmSize;
    /** First tries a second. */
    double firstTryRate;
    /** First tries since the last review. */
    int firstTries;
    /** Instances that call each backend, on average. */
    double callersPerBackend;
    /** Greatest sum of sizes of the backends that were ready at the same time. */
    double maxReadySize;

    /** How far the wall clock is ahead of the time of events, as of the last list. */
    long wallClockLead;
    /** When a list last showed that the wall clock had stepped. */
    long wallClockSteppedAt = Long.MIN_VALUE / 2;

    long reviewedAt;
    long connectFailedAt = Long.MIN_VALUE / 2;

    double retryTokens = RetryBudget.MAX_TOKENS / 2;
    /** Admitted requests without a final answer. */
    int openRequests;
    /** Limit on open requests. */
    double openLimit = Double.MAX_VALUE;
    /** Smoothed share of the latency objective's slack that queueing takes. */
    double queueingShare;
    /** Smoothed share of time-outs among attempts that were answered or timed out. */
    double timeOutShare;
    /** Earliest time of the next cut of the limit. */
    long nextLimitCutAt;
    /**
     * Decaying counts of first tries, in three bins for each class: in the tenant's allowance, over it, and retries
     * (always 0).
     */
    double[] arrivalsByBin = {};

    double[] tenantTokens = {};
    long tenantTokensAt;

    BalancerState(Settings settings) {
        random = new SplittableRandom(settings.seed());
        changeSettings(settings);
    }

    /** Replaces the settings. Statistics are kept by class name; an index never comes to mean another class. */
    void changeSettings(Settings newSettings) {
        settings = newSettings;
        classes = newSettings.classes().toArray(new RequestClass[0]);
        classStats = new ClassStats[classes.length];
        Arrays.setAll(classStats, i -> statsByName.computeIfAbsent(classes[i].name(), name -> new ClassStats()));
        anyRepeatable = newSettings.classes().stream().anyMatch(c -> c.effect() == Effect.REPEATABLE);
        arrivalsByBin = Arrays.copyOf(arrivalsByBin, classes.length * 3);
        tenantTokens = Arrays.copyOf(tenantTokens, newSettings.tenants().size());
    }

    /** Updates the share of time-outs. Other outcomes than answers and time-outs say nothing about it. */
    void countOutcome(Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.TIMED_OUT) {
            timeOutShare += ((outcome == Outcome.OK ? 0 : 1) - timeOutShare) / 16;
        }
    }

    void setFleetEstimates(FleetEstimates event) {
        fleetEstimates = event.backends().stream()
                .collect(Collectors.toMap(FleetEstimate::id, estimate -> estimate, (first, second) -> second));
        fleetEstimatesUntil = event.until();
    }

    /** The fleet's valid estimate of a backend since its last start; null if there is none. */
    FleetEstimate fleetEstimate(TrackedBackend backend) {
        FleetEstimate estimate = now < fleetEstimatesUntil ? fleetEstimates.get(backend.id) : null;
        return estimate == null || estimate.startedAt() != backend.entry.startedAt() ? null : estimate;
    }

    /** Whether the fleet has assigned it to this instance to try the backend. */
    boolean mayTry(TrackedBackend backend) {
        FleetEstimate estimate = fleetEstimate(backend);
        return estimate != null && estimate.mayTry();
    }

    static DoubleSummaryStatistics sizes(TrackedBackend[] backends, Predicate<TrackedBackend> filter) {
        return Arrays.stream(backends)
                .filter(filter)
                .mapToDouble(TrackedBackend::size)
                .summaryStatistics();
    }

    /**
     * Updates how many instances call each backend. When few backends are left, all instances call each of them: rates
     * measured for the previous number of callers would add up to a multiple of what a backend bears.
     */
    void updateCallers(DoubleSummaryStatistics readySizes) {
        if (readySizes.getCount() == 0) {
            return;
        }
        double callers = (double) settings.balancers() * subset.length / readySizes.getCount();
        warmAnswerRate *= callersPerBackend > 0 ? callersPerBackend / callers : 1;
        callersPerBackend = callers;
        maxReadySize = Math.max(maxReadySize, readySizes.getSum());
    }

    ClassStats statsOf(Request request) {
        return classStats[request.classIndex];
    }

    RequestClass classOf(Request request) {
        return classes[request.classIndex];
    }
}
