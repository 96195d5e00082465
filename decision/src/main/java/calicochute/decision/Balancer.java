package calicochute.decision;

import java.util.List;
import java.util.Map;

/**
 * The whole interface between a proxy (the host) and the decision module: what the host tells ({@link Settings},
 * {@link Event}) and what it is asked to do ({@link Actions}). All times are microseconds of the host's clock.
 */
public interface Balancer {
    /** A new instance; instances share nothing. */
    static Balancer create(Settings settings) {
        return Choice.of(settings);
    }

    /** Handles one event; what is to be done is called on {@code actions} before this returns. */
    void on(long nowMicros, Event event, Actions actions);

    /** May a request run twice: freely, never, or only where its key is remembered. */
    enum Effect {
        REPEATABLE,
        ONCE,
        KEYED
    }

    /** Which backends drop a repeat of a keyed request. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT;

        /** True where the backend certainly did none of the work. */
        public boolean provesNotRun() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    enum BackendState {
        READY,
        DRAINING,
        GONE
    }

    /** CHANGES apply to the list held; FULL replaces it; RESTORED is an old full list; UNAVAILABLE has no entries. */
    enum ListKind {
        CHANGES,
        FULL,
        RESTORED,
        UNAVAILABLE
    }

    /** One entry of a backend list; {@code startedAt} is 0 when it started long ago. */
    record Backend(String id, String zone, int cell, double weight, BackendState state, long startedAt, String kind) {}

    /** A class of requests. {@code aim} is the wanted time, {@code window} how long repeats of a key are dropped. */
    record RequestClass(
            String name,
            Effect effect,
            KeyScope scope,
            long window,
            long aim,
            long deadline,
            double worth,
            double lateWorth,
            boolean streaming) {}

    /** A tenant and the rate, over all proxies, up to which its requests have their full worth. */
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
        /** How long a denied client is told to stay away; 0 where the site tells it nothing. */
        public long away() {
            return retryAfter ? maxRetryAfter : 0;
        }
    }

    /** The figures behind the rules on answers, drains, lists and cold starts. */
    record Rules(
            long answerSlack,
            long askEvery,
            double coldFrom,
            long warmUp,
            long drainGrace,
            double fallMultiple,
            long fall) {}

    /** Weights of what is judged and the prices that come into a choice. */
    record Goal(
            double whole,
            double worstWindow,
            double worstClass,
            double worstTenant,
            double crossZonePrice,
            double wastePrice,
            double lateFailPrice) {}

    /** All that an instance is told at its birth. */
    record Settings(
            long seed,
            int me,
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

    sealed interface Event {}

    record BackendList(ListKind kind, List<Backend> entries) implements Event {}

    /**
     * New settings from here on; open requests keep what they began with. An index never names another class than
     * before.
     */
    record Retuned(Settings settings) implements Event {}

    /** Which servers are in an arm of an experiment, by id; arms count from 1. Replaces what was told before. */
    record Arms(Map<String, Integer> of) implements Event {}

    /**
     * What the fleet knows of one start of a server: {@code speed} 1 is typical, {@code worth} counts as so many own
     * samples, {@code mayTry} has this instance try it once.
     */
    record OfFleet(String id, long startedAt, double speed, double worth, boolean mayTry) {}

    /** Holds until that time; then an instance is alone again. Replaces what was told before. */
    record Advised(List<OfFleet> servers, long until) implements Event {}

    /**
     * A request; {@code classIndex} and {@code tenantIndex} point into the settings (-1: no tenant), {@code arm} is the
     * arm it belongs in (0: any server).
     */
    record Arrival(long request, int classIndex, int tenantIndex, String key, long timeLeft, boolean retry, int arm)
            implements Event {
        public Arrival(long request, int classIndex, int tenantIndex, String key, long timeLeft, boolean retry) {
            this(request, classIndex, tenantIndex, key, timeLeft, retry, 0);
        }
    }

    /**
     * Of a request whose body comes in pieces: some were handed on, so no further attempt can be made; its last byte
     * came.
     */
    record BodyState(long request, boolean spent, boolean whole) implements Event {}

    /** {@code finished}: the request has its final answer; else one is still owed. {@code load} may be null. */
    record AttemptEnded(
            long request, int attempt, String backend, boolean finished, Outcome outcome, long elapsed, double[] load)
            implements Event {}

    /** The answer of this attempt has begun to stream to the client. */
    record StreamStarted(long request, int attempt, String backend, long elapsed) implements Event {}

    record ClientGone(long request) implements Event {}

    record Timer(int purpose, long subject) implements Event {}

    record Probed(String backend, Outcome outcome, long elapsed, double[] load) implements Event {}

    record PeerMessage(int sender, byte[] bytes) implements Event {}

    /** What a host does for the module. */
    interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order sent. */
        void send(long request, String backend, long timeout);

        /** Final answer: not done, and a retry does no harm. {@code retryAfter} 0 gives no advice. */
        void refuse(long request, long retryAfter);

        /** Final answer: failed, nothing promised. */
        void fail(long request);

        void cancel(long request, int attempt);

        void timer(long delay, int purpose, long subject);

        void subscribe(boolean on);

        void fetchList();

        void probe(String backend);

        void closeIdle(String backend);

        void tell(int peer, byte[] bytes);

        void log(String text);
    }
}
