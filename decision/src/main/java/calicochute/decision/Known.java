package calicochute.decision;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Advised;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.OfFleet;
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

/** All that one instance has been told and has learnt: its whole state. Data, no decisions. */
final class Known {
    static final Server[] NONE = {};
    final SplittableRandom random;
    Settings settings;
    RequestClass[] classes;
    /** There are classes that lose nothing where a backend is found out to be bad. */
    boolean anyRepeatable;
    /** What has been seen of the classes, as they are numbered now and by name. */
    Seen[] seen;

    final Map<String, Seen> named = new HashMap<>();
    /** Of the event being handled. */
    long now;

    Actions actions;

    final Map<String, Server> servers = new HashMap<>();
    final Map<Long, Request> requests = new HashMap<>();
    /** All that are listed, in this instance's order; the subset in use; the walk and where it stands. */
    Server[] ranked = new Server[0], use = ranked, walk = ranked;

    int walkAt;
    /** The next pick may go to one that was never called. */
    boolean pollNext = true;
    /** The list service tells of changes by itself; calls to it that failed since it last answered. */
    boolean subscribed;

    int failedCalls;

    /** Arms of experiments: of each backend, and the backends of each that this instance uses. */
    Map<String, Integer> arms = Map.of();

    final Map<Integer, Server[]> armed = new HashMap<>();
    /** What the fleet knows, by backend, and until when. */
    Map<String, OfFleet> fleet = Map.of();

    long fleetUntil;

    /** The mean speed of the backends in use. */
    double typical = 1;
    /**
     * Answers a second: of warm backends in use for each unit of size, and of all together; those since the last
     * review.
     */
    double warmRate, answerRate;

    int warmAnswers, allAnswers;
    /** Mean size of the warm ones in use. */
    double warmSize;
    /** First tries, a second and since the last review. */
    double askedRate;

    int asked;
    /** Instances that call each backend; greatest sum of sizes that was ready at once. */
    double callers, mostReady;

    long reviewedAt, unconnectedAt = Long.MIN_VALUE / 2;

    double retryTokens = Retries.MOST / 2;
    /**
     * Admission: requests open and how many may be; smoothed shares, of the slack that queueing takes and of time-outs.
     */
    int open;

    double limit = Double.MAX_VALUE, aimRatio, timedOut;
    long limitCutAt;
    /** First tries of late, three bins a class: in the tenant's allowance, over it, retries (always 0). */
    double[] arrivals = {};

    double[] tenantTokens = {};
    long tenantTokensAt;

    Known(Settings settings) {
        random = new SplittableRandom(settings.seed());
        retune(settings);
    }

    /** Estimates outlive a change of settings, by class name; an index never comes to mean another class. */
    void retune(Settings to) {
        settings = to;
        classes = to.classes().toArray(new RequestClass[0]);
        seen = new Seen[classes.length];
        Arrays.setAll(seen, i -> named.computeIfAbsent(classes[i].name(), n -> new Seen()));
        anyRepeatable = to.classes().stream().anyMatch(c -> c.effect() == Effect.REPEATABLE);
        arrivals = Arrays.copyOf(arrivals, classes.length * 3);
        tenantTokens = Arrays.copyOf(tenantTokens, to.tenants().size());
    }

    /**
     * Of attempts that ended in an answer or in none, the share of the latter; what else ends them says nothing of it.
     */
    void ended(Outcome how) {
        if (how == Outcome.OK || how == Outcome.TIMED_OUT) {
            timedOut += ((how == Outcome.OK ? 0 : 1) - timedOut) / 16;
        }
    }

    void told(Advised e) {
        fleet = e.servers().stream().collect(Collectors.toMap(OfFleet::id, f -> f, (a, b) -> b));
        fleetUntil = e.until();
    }

    /** What the fleet knows of a backend's present start now; null for nothing. */
    OfFleet fleet(Server s) {
        OfFleet known = now < fleetUntil ? fleet.get(s.id) : null;
        return known == null || known.startedAt() != s.entry.startedAt() ? null : known;
    }

    /** It is this instance's turn to try it. */
    boolean duty(Server s) {
        OfFleet told = fleet(s);
        return told != null && told.mayTry();
    }

    static DoubleSummaryStatistics sizes(Server[] of, Predicate<Server> wanted) {
        return Arrays.stream(of).filter(wanted).mapToDouble(Server::size).summaryStatistics();
    }

    /** DANGER: when few are left all instances call each of them; parts from before add up to many wholes. */
    void shared(DoubleSummaryStatistics ready) {
        if (ready.getCount() == 0) {
            return;
        }
        double now = (double) settings.balancers() * use.length / ready.getCount();
        warmRate *= callers > 0 ? callers / now : 1;
        callers = now;
        mostReady = Math.max(mostReady, ready.getSum());
    }

    Seen seen(Request r) {
        return seen[r.cls];
    }

    RequestClass classOf(Request r) {
        return classes[r.cls];
    }
}
