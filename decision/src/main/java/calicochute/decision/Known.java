package calicochute.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;

/** All that one instance has been told and has learnt: its whole state. Data, no decisions. */
final class Known {
    final SplittableRandom random;
    Settings settings;
    RequestClass[] classes;
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

    /** The mean speed of the backends in use. */
    double typical = 1;
    /** Answers a second: of a warm backend in use on average, and of all together; those since the last review. */
    double warmRate, answerRate;
    int warmAnswers, allAnswers;
    /** First tries, a second and since the last review. */
    double askedRate;
    int asked;
    /** Instances that call each backend; most backends that were ready at once. */
    double callers;
    int mostReady;
    long reviewedAt, unconnectedAt = Long.MIN_VALUE / 2;

    double retryTokens;
    /** Admission: requests open and how many may be; smoothed share of the slack that queueing takes. */
    int open;
    double limit = Double.MAX_VALUE, aimRatio;
    long limitCutAt;
    /** First tries of late, three bins a class: in the tenant's allowance, over it, retries (always 0). */
    double[] arrivals = { };
    double[] tenantTokens = { };
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
        arrivals = Arrays.copyOf(arrivals, classes.length * 3);
        tenantTokens = Arrays.copyOf(tenantTokens, to.tenants().size());
    }

    Seen seen(Request r) { return seen[r.cls]; }

    RequestClass classOf(Request r) { return classes[r.cls]; }
}
