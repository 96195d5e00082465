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

/** The sessions under way: in which window and arm each is, and what became of it and of its dispatches. */
final class Sessions {
    private final DecisionQueue queue;
    private final List<Trial> trials;
    private final Placing placing;
    private final Supplier<List<RequestClass>> classes;
    private final Supplier<List<Balancer.Tenant>> tenants;
    private final WindowCounter ledger;
    private final Map<Long, Placed> placed = new HashMap<>();

    /**
     * A session under way: its window, and where it is in an experiment its trial, ticket and the arm's name. A reload
     * does not change them.
     */
    private static final class Placed {
        final long window;
        final Trial trial;
        final Enrollment ticket;
        final String arm;
        boolean answered;
        boolean crossed;

        Placed(long window, Trial trial, Enrollment ticket) {
            this.window = window;
            this.trial = trial;
            this.ticket = ticket;
            arm = trial == null ? "" : Placing.armName(trial, ticket.arm());
        }

        /** Whether a server is not of the arm that the session belongs in. */
        boolean strange(Backend server) {
            return trial != null && (server == null || trial.armOf(server) != ticket.arm());
        }
    }

    /**
     * @param trials as they are now
     * @param longest deadline of any class, microseconds
     */
    Sessions(
            DecisionQueue queue,
            List<Trial> trials,
            Placing placing,
            Supplier<List<RequestClass>> classes,
            Supplier<List<Balancer.Tenant>> tenants,
            long longest) {
        this.queue = queue;
        this.trials = trials;
        this.placing = placing;
        this.classes = classes;
        this.tenants = tenants;
        ledger = new WindowCounter(Windows.DEFAULT, longest);
    }

    /** The windows that nothing can be added to any more, each once. */
    List<ClosedWindow> close(long now) {
        return ledger.close(now);
    }

    /** The arm that the module is to keep it in, 0 for none. */
    int begun(Exchange exchange) {
        long now = queue.now();
        String lane = classes.get().get(exchange.classIndex).name();
        String tenant = exchange.tenantIndex < 0
                ? ""
                : tenants.get().get(exchange.tenantIndex).name();
        Trial trial = null;
        Enrollment ticket = null;
        int arm = 0;
        for (int i = 0; i < trials.size() && ticket == null; i++) {
            ticket = trials.get(i)
                    .begin(now, now + exchange.clientTimeoutMicros, call(exchange), lane, tenant, exchange.clientRetry);
            if (ticket != null) {
                trial = trials.get(i);
                arm = Placing.number(i, ticket.arm());
            }
        }
        placed.put(exchange.id, new Placed(ledger.beginSession(now), trial, ticket));
        return arm;
    }

    /**
     * What a client's tries of one call have in common: the key where there is one; its own name of the session
     * otherwise.
     */
    private static String call(Exchange exchange) {
        return exchange.message.fields().stream()
                .filter(f -> f.name().equalsIgnoreCase("Idempotency-Key"))
                .map(f -> f.value())
                .findFirst()
                .orElse(exchange.clientId);
    }

    void dispatched(Dispatch dispatch, Outcome outcome, long elapsed) {
        Placed p = placed.get(dispatch.exchange.id);
        Backend server = placing.server(dispatch.server);
        if (p == null || outcome == Outcome.MOOT) {
            return;
        }
        p.crossed |= p.strange(server);
        // One that was replaced since: what is known of the new start is not of that dispatch.
        if (server != null && server.startedAt() <= dispatch.sentAt) {
            RequestClass c = classes.get().get(dispatch.exchange.classIndex);
            double logSpeed = outcome == Outcome.OK ? -Math.log(Math.max(elapsed, 1) / 1e6) : Double.NaN;
            ledger.record(
                    p.window,
                    new OutcomeKey(server.id(), server.startedAt(), c.name(), p.arm),
                    end(outcome, elapsed, c),
                    logSpeed);
        }
    }

    private static DispatchResult end(Outcome outcome, long elapsed, RequestClass c) {
        return switch (outcome) {
            case OK -> elapsed <= c.objective() ? DispatchResult.WITHIN_OBJECTIVE : DispatchResult.LATE;
            case ERROR -> DispatchResult.ERROR;
            case FULL -> DispatchResult.FULL;
            case CONNECT_FAILED -> DispatchResult.CONNECT_FAILED;
            case RESET -> DispatchResult.RESET;
            case TIMED_OUT -> DispatchResult.TIMED_OUT;
            default -> DispatchResult.CANCELLED;
        };
    }

    void answered(Exchange exchange, boolean served, boolean failed) {
        Placed p = placed.get(exchange.id);
        if (p == null || p.answered) {
            return;
        }
        p.answered = true;
        if (p.ticket != null) {
            RequestClass c = classes.get().get(exchange.classIndex);
            boolean inAim = served && queue.now() - exchange.receivedAt() <= c.objective();
            // A dispatch's outcome may come behind the answer: where it went is known at its beginning.
            String server = exchange.latestDispatch() == null ? "" : exchange.latestDispatch().server;
            boolean crossed = p.crossed || !server.isEmpty() && p.strange(placing.server(server));
            p.trial.over(p.ticket, c.worth(), inAim ? c.worth() : 0, failed, crossed, server);
        }
    }

    void retired(Exchange exchange) {
        Placed p = placed.remove(exchange.id);
        if (p != null) {
            ledger.endSession(p.window);
        }
    }
}
