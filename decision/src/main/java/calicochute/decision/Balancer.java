package calicochute.decision;

import java.util.List;
import java.util.Map;

/**
 * The interface between a proxy (the host) and the decision module: the host passes {@link Settings} and {@link Event},
 * and the module calls {@link Actions}. All times and durations are microseconds of the host's clock.
 */
public interface Balancer {
    /** Creates an instance. Instances share no state. */
    static Balancer create(Settings settings) {
        return DefaultBalancer.of(settings);
    }

    /** Handles one event. Calls on {@code actions} are made before this method returns. */
    void on(long nowMicros, Event event, Actions actions);

    /** Whether a request may run twice: always, never, or only at backends that remember its idempotency key. */
    enum Effect {
        REPEATABLE,
        ONCE,
        KEYED
    }

    /** Which backends drop a repeat of a keyed request: all, those of the same zone, or those of the same cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * How an attempt ended. {@code FULL} means that the backend turned it away, {@code MOOT} that it ended before it
     * was sent.
     */
    enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT;

        /** True if the backend certainly did none of the work. */
        public boolean provesNotRun() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    /** Lifecycle state of a backend in the list. */
    enum BackendState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * Kind of a backend list: {@code CHANGES} update the current list, {@code FULL} replaces it, {@code RESTORED} is an
     * old full list that replaces it, {@code UNAVAILABLE} reports a failed call and has no entries.
     */
    enum ListKind {
        CHANGES,
        FULL,
        RESTORED,
        UNAVAILABLE
    }

    /** One entry of a backend list. {@code startedAt} is 0 if the backend started long ago. */
    record Backend(String id, String zone, int cell, double weight, BackendState state, long startedAt, String kind) {}

    /**
     * A class of requests. {@code window} is how long backends drop repeats of a key, {@code objective} the wanted
     * answer time, {@code worth} the value of an answer and {@code lateWorth} the share of it that a late answer keeps.
     */
    record RequestClass(
            String name,
            Effect effect,
            KeyScope scope,
            long window,
            long objective,
            long deadline,
            double worth,
            double lateWorth,
            boolean streaming) {}

    /** A tenant. Up to {@code allowancePerSecond}, over all proxies, its requests have their full worth. */
    record Tenant(String name, double share, double allowancePerSecond) {}

    /** What the site permits. */
    record Limits(
            boolean cancel,
            boolean secondCopies,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            int maxAttempts,
            int maxOpen,
            int streamsPerConnection,
            long connectTimeout,
            long maxRetryAfter) {
        /** Delay that a refused client is advised to wait before it retries; 0 if the site gives no advice. */
        public long advisedRetryAfter() {
            return retryAfter ? maxRetryAfter : 0;
        }
    }

    /**
     * Parameters of the rules on answers, drains, lists and cold starts. A backend that has just started bears the
     * share {@code coldCapacityShare} of its capacity, which rises to the whole over {@code warmUp}. It crashes if more
     * than {@code overloadMultiple} times its capacity reaches it within {@code overloadWindow}.
     */
    record Rules(
            long answerSlack,
            long listRefreshInterval,
            double coldCapacityShare,
            long warmUp,
            long drainGrace,
            double overloadMultiple,
            long overloadWindow) {}

    /** Weights of the parts of the optimisation goal, and the prices that enter a choice. */
    record Goal(
            double overall,
            double worstWindow,
            double worstClass,
            double worstTenant,
            double crossZonePrice,
            double wastePrice,
            double lateFailPrice) {}

    /**
     * The settings of an instance. {@code instance} is its index among {@code balancers}; {@code tier} 0 receives its
     * requests from clients; {@code marksRetries} says that clients mark their retries.
     */
    record Settings(
            long seed,
            int instance,
            int balancers,
            int tier,
            boolean passesDeadline,
            boolean subscribes,
            boolean marksRetries,
            String zone,
            long tick,
            double overShareWorth,
            List<String> reportFields,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            Goal goal) {}

    /** Something that happened at the host. */
    sealed interface Event {}

    /**
     * An answer of the list service, or its failure to answer. {@code wallClockLead} is how far the wall clock, by
     * which the entries give their starts, is ahead of the time of events; the lead changes when the wall clock steps.
     */
    record BackendList(ListKind kind, List<Backend> entries, long wallClockLead) implements Event {
        public BackendList(ListKind kind, List<Backend> entries) {
            this(kind, entries, 0);
        }
    }

    /**
     * New settings. Open requests keep the settings under which they arrived. A class index never names another class
     * than before.
     */
    record SettingsChanged(Settings settings) implements Event {}

    /** Experiment arms by backend id, counted from 1. Replaces the arms set before. */
    record ExperimentArms(Map<String, Integer> armById) implements Event {}

    /**
     * What the fleet of balancers has measured of one start of a backend. {@code speed} 1 is typical; the estimate
     * counts as {@code sampleWeight} own samples; {@code mayTry} asks this instance to send it one request.
     */
    record FleetEstimate(String id, long startedAt, double speed, double sampleWeight, boolean mayTry) {}

    /** The fleet's estimates, valid until that time. Replaces those set before. */
    record FleetEstimates(List<FleetEstimate> backends, long until) implements Event {}

    /**
     * A request arrived. {@code classIndex} and {@code tenantIndex} are indices in the settings (-1: no tenant);
     * {@code arm} is its experiment arm (0: any backend).
     */
    record Arrival(long request, int classIndex, int tenantIndex, String key, long timeLeft, boolean retry, int arm)
            implements Event {
        public Arrival(long request, int classIndex, int tenantIndex, String key, long timeLeft, boolean retry) {
            this(request, classIndex, tenantIndex, key, timeLeft, retry, 0);
        }
    }

    /**
     * Progress of a request body that arrives in pieces. {@code partlySent}: some were forwarded and are not kept, so
     * no further attempt can be made. {@code complete}: the last byte has arrived, and the client may have sent it at
     * {@code sentAt}.
     */
    record BodyState(long request, boolean partlySent, boolean complete, long sentAt) implements Event {
        /** Some of the body was forwarded. */
        public static BodyState partlySent(long request) {
            return new BodyState(request, true, false, 0);
        }

        /** The last byte has arrived; the client may have sent it at {@code sentAt}. */
        public static BodyState complete(long request, long sentAt) {
            return new BodyState(request, false, true, sentAt);
        }
    }

    /**
     * An attempt ended. {@code finished}: the request has its final answer; otherwise one is still owed. {@code load}
     * may be null.
     */
    record AttemptEnded(
            long request, int attempt, String backend, boolean finished, Outcome outcome, long elapsed, double[] load)
            implements Event {}

    /** The answer of this attempt has begun to stream to the client. */
    record StreamStarted(long request, int attempt, String backend, long elapsed) implements Event {}

    /** The client has closed its connection or cancelled the request. */
    record ClientGone(long request) implements Event {}

    /** A timer started by {@link Actions#startTimer} has expired. */
    record Timer(int purpose, long subject) implements Event {}

    /** A probe started by {@link Actions#probe} has ended. */
    record ProbeEnded(String backend, Outcome outcome, long elapsed, double[] load) implements Event {}

    /** A message from another instance. */
    record PeerMessage(int sender, byte[] bytes) implements Event {}

    /** The operations that the host carries out for the module. */
    interface Actions {
        /** Starts an attempt. Attempts of a request are numbered from 0 in the order sent. */
        void send(long request, String backend, long timeout);

        /** Final answer: the work was not done, and a retry is safe. {@code retryAfter} 0 gives no advice. */
        void refuse(long request, long retryAfter);

        /** Final answer: failed, and the work may or may not have been done. */
        void fail(long request);

        void cancel(long request, int attempt);

        /** Delivers a {@link Timer} event with this purpose and subject after the delay. */
        void startTimer(long delay, int purpose, long subject);

        /** Subscribes to changes of the backend list, or unsubscribes. */
        void subscribe(boolean on);

        void fetchList();

        void probe(String backend);

        void closeIdleConnections(String backend);

        void sendToPeer(int peer, byte[] bytes);

        void log(String text);
    }
}
