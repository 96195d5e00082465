package calicochute.fleet;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.experiment.SessionCounter.Enrollment;
import calicochute.outcomes.ClosedWindow;
import calicochute.outcomes.DispatchResult;
import calicochute.outcomes.OutcomeKey;
import calicochute.outcomes.WindowCounter;
import calicochute.outcomes.Windows;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The sessions in progress: assigns each to a window and an arm, and counts its outcome and those of its dispatches.
 */
final class SessionTracker {
    private final DecisionQueue queue;
    private final List<ExperimentRunner> experiments;
    private final ArmAssignment arms;
    private final Supplier<List<RequestClass>> classes;
    private final Supplier<List<Balancer.Tenant>> tenants;
    private final WindowCounter windowCounter;
    private final Map<Long, TrackedSession> sessions = new HashMap<>();

    /**
     * A session in progress with its window and, if it takes part in an experiment, the experiment, its enrollment and
     * the arm's name. A reload does not change them.
     */
    private static final class TrackedSession {
        final long window;
        final ExperimentRunner experiment;
        final Enrollment enrollment;
        final String arm;
        boolean answered;
        boolean crossedOver;

        TrackedSession(long window, ExperimentRunner experiment, Enrollment enrollment) {
            this.window = window;
            this.experiment = experiment;
            this.enrollment = enrollment;
            arm = experiment == null ? "" : ArmAssignment.armName(experiment, enrollment.arm());
        }

        /** Whether a server does not belong to the session's arm. */
        boolean isOutsideArm(Backend server) {
            return experiment != null && (server == null || experiment.armOf(server) != enrollment.arm());
        }
    }

    /**
     * @param experiments the running experiments; the caller changes the list
     * @param longestDeadlineMicros longest deadline of any class at the start
     */
    SessionTracker(
            DecisionQueue queue,
            List<ExperimentRunner> experiments,
            ArmAssignment arms,
            Supplier<List<RequestClass>> classes,
            Supplier<List<Balancer.Tenant>> tenants,
            long longestDeadlineMicros) {
        this.queue = queue;
        this.experiments = experiments;
        this.arms = arms;
        this.classes = classes;
        this.tenants = tenants;
        windowCounter = new WindowCounter(Windows.DEFAULT, longestDeadlineMicros);
    }

    /** The windows that are complete since the last call. */
    List<ClosedWindow> close(long nowMicros) {
        return windowCounter.close(nowMicros);
    }

    /** Starts tracking a session; returns the number of the arm whose servers it may be sent to, 0 for none. */
    int sessionStarted(Exchange exchange) {
        long nowMicros = queue.now();
        String className = classes.get().get(exchange.classIndex).name();
        String tenant = exchange.tenantIndex < 0
                ? ""
                : tenants.get().get(exchange.tenantIndex).name();
        ExperimentRunner experiment = null;
        Enrollment enrollment = null;
        int arm = 0;
        for (int i = 0; i < experiments.size() && enrollment == null; i++) {
            enrollment = experiments
                    .get(i)
                    .sessionStarted(
                            nowMicros,
                            nowMicros + exchange.clientTimeoutMicros,
                            callId(exchange),
                            className,
                            tenant,
                            exchange.clientRetry);
            if (enrollment != null) {
                experiment = experiments.get(i);
                arm = ArmAssignment.number(i, enrollment.arm());
            }
        }
        sessions.put(exchange.id, new TrackedSession(windowCounter.beginSession(nowMicros), experiment, enrollment));
        return arm;
    }

    /**
     * The id that a client's retries of one call share: the idempotency key if there is one, else the client's id of
     * the session.
     */
    private static String callId(Exchange exchange) {
        return exchange.message().fields().stream()
                .filter(field -> field.name().equalsIgnoreCase("Idempotency-Key"))
                .map(field -> field.value())
                .findFirst()
                .orElse(exchange.clientId);
    }

    void dispatchEnded(Dispatch dispatch, Outcome outcome, long elapsedMicros) {
        TrackedSession session = sessions.get(dispatch.exchange.id);
        Backend server = arms.server(dispatch.server);
        if (session == null || outcome == Outcome.MOOT) {
            return;
        }
        session.crossedOver |= session.isOutsideArm(server);
        // A server that has been replaced since the dispatch was sent does not get the outcome.
        if (server != null && server.startedAt() <= dispatch.sentAt) {
            RequestClass requestClass = classes.get().get(dispatch.exchange.classIndex);
            double logSpeed = outcome == Outcome.OK ? -Math.log(Math.max(elapsedMicros, 1) / 1e6) : Double.NaN;
            windowCounter.record(
                    session.window,
                    new OutcomeKey(server.id(), server.startedAt(), requestClass.name(), session.arm),
                    result(outcome, elapsedMicros, requestClass),
                    logSpeed);
        }
    }

    private static DispatchResult result(Outcome outcome, long elapsedMicros, RequestClass requestClass) {
        return switch (outcome) {
            case OK ->
                elapsedMicros <= requestClass.objective() ? DispatchResult.WITHIN_OBJECTIVE : DispatchResult.LATE;
            case ERROR -> DispatchResult.ERROR;
            case FULL -> DispatchResult.FULL;
            case CONNECT_FAILED -> DispatchResult.CONNECT_FAILED;
            case RESET -> DispatchResult.RESET;
            case TIMED_OUT -> DispatchResult.TIMED_OUT;
            default -> DispatchResult.CANCELLED;
        };
    }

    void sessionAnswered(Exchange exchange, boolean served, boolean failed) {
        TrackedSession session = sessions.get(exchange.id);
        if (session == null || session.answered) {
            return;
        }
        session.answered = true;
        if (session.enrollment != null) {
            RequestClass requestClass = classes.get().get(exchange.classIndex);
            boolean withinObjective = served && queue.now() - exchange.receivedAt() <= requestClass.objective();
            // The last dispatch may end after the response, so its server is checked here as well.
            String server = exchange.latestDispatch() == null ? "" : exchange.latestDispatch().server;
            boolean crossedOver = session.crossedOver || !server.isEmpty() && session.isOutsideArm(arms.server(server));
            session.experiment.sessionEnded(
                    session.enrollment,
                    requestClass.worth(),
                    withinObjective ? requestClass.worth() : 0,
                    failed,
                    crossedOver,
                    server);
        }
    }

    void sessionRetired(Exchange exchange) {
        TrackedSession session = sessions.remove(exchange.id);
        if (session != null) {
            windowCounter.endSession(session.window);
        }
    }
}
