package calicochute.node;

import calicochute.backend.BackendServers;
import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Outcome;
import calicochute.discovery.DiscoveryClient;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Exchange;
import calicochute.exchange.Response;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import java.util.Map;

/** Carries out the decision module's actions; runs on the decision thread. */
final class ModuleActions implements Balancer.Actions {
    private final Node node;
    /** The node's sessions that are not answered yet or have a pending dispatch; only read here. */
    private final Map<Long, Exchange> openSessions;

    private final BackendServers backendServers;
    private final DiscoveryClient discovery;
    private final DecisionQueue queue;
    private final Counters counters;

    ModuleActions(
            Node node,
            Map<Long, Exchange> openSessions,
            BackendServers backendServers,
            DiscoveryClient discovery,
            DecisionQueue queue,
            Counters counters) {
        this.node = node;
        this.openSessions = openSessions;
        this.backendServers = backendServers;
        this.discovery = discovery;
        this.queue = queue;
        this.counters = counters;
    }

    @Override
    public void send(long request, String server, long timeoutMicros) {
        Exchange exchange = openSessions.get(request);
        if (exchange == null) {
            counters.checkInvariant(false, "a dispatch for a session that has ended");
            return;
        }
        long nowMicros = queue.now();
        long latestSendMicros = node.repeatableUntilMicros(exchange);
        boolean allowed = !exchange.closed()
                && backendServers.hasServer(server)
                && timeoutMicros > 0
                && nowMicros < latestSendMicros
                && exchange.dispatchCount() < exchange.limits.maxAttempts();
        counters.checkInvariant(
                exchange.limits.secondCopies() || !exchange.anyPending(),
                "two dispatches of a session at the same time");
        Dispatch dispatch = exchange.addDispatch(server, nowMicros, latestSendMicros);
        if (allowed) {
            node.dispatching(exchange);
            backendServers.send(dispatch, Math.min(timeoutMicros, exchange.responseDue(nowMicros) - nowMicros));
        } else {
            queue.post(() -> node.dispatchEnded(dispatch, Outcome.MOOT, null));
        }
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Exchange exchange = openSessions.get(request);
        if (exchange != null) {
            node.respond(exchange, new Response.Denied(Math.min(retryAfter, exchange.limits.maxRetryAfter())));
        }
    }

    @Override
    public void fail(long request) {
        Exchange exchange = openSessions.get(request);
        if (exchange != null) {
            node.respond(exchange, new Response.Failed(exchange.responseDue(queue.now()) <= queue.now()));
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange exchange = openSessions.get(request);
        Dispatch dispatch = exchange == null ? null : exchange.dispatch(attempt);
        if (dispatch != null && dispatch.pending()) {
            // Posted, so that the module gets the result as a separate event and not while it handles this one.
            queue.post(() -> backendServers.cancel(dispatch));
        }
    }

    @Override
    public void startTimer(long delayMicros, int purpose, long subject) {
        queue.schedule(delayMicros, () -> node.tell(new Balancer.Timer(purpose, subject)));
    }

    @Override
    public void subscribe(boolean on) {
        discovery.setSubscribed(on);
    }

    @Override
    public void fetchList() {
        counters.checkInvariant(
                false, "the module requested a full list; the watch of discovery fetches one when needed");
    }

    @Override
    public void probe(String server) {
        counters.checkInvariant(false, "the module requested a probe; probes are not supported");
    }

    @Override
    public void closeIdleConnections(String server) {
        backendServers.closeIdleConnections(server);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        counters.checkInvariant(false, "the module sent a message to a peer; such messages are not supported");
    }

    @Override
    public void log(String text) {
        Log.info("module", text);
    }
}
