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

/** What the module asks for, turned into work for the sockets; on the decision thread. */
final class ModuleActions implements Balancer.Actions {
    private final Node node;
    /** The node's own: sessions that are not answered yet or have a dispatch out. */
    private final Map<Long, Exchange> open;

    private final BackendServers backend;
    private final DiscoveryClient discovery;
    private final DecisionQueue queue;
    private final Counters counters;

    ModuleActions(
            Node node,
            Map<Long, Exchange> open,
            BackendServers backend,
            DiscoveryClient discovery,
            DecisionQueue queue,
            Counters counters) {
        this.node = node;
        this.open = open;
        this.backend = backend;
        this.discovery = discovery;
        this.queue = queue;
        this.counters = counters;
    }

    @Override
    public void send(long request, String server, long timeout) {
        Exchange exchange = open.get(request);
        if (exchange == null) {
            counters.checkInvariant(false, "a dispatch for a session that is over");
            return;
        }
        long now = queue.now();
        long notAfter = node.repeatableUntil(exchange);
        boolean legal = !exchange.closed()
                && backend.hasServer(server)
                && timeout > 0
                && now < notAfter
                && exchange.dispatchCount() < exchange.limits.maxAttempts();
        counters.checkInvariant(exchange.limits.secondCopies() || !exchange.anyPending(), "a second copy of a session");
        Dispatch dispatch = exchange.addDispatch(server, now, notAfter);
        if (legal) {
            backend.send(
                    dispatch,
                    Math.min(timeout, exchange.deadline() - Margins.answer(exchange.clientTimeoutMicros) - now));
        } else {
            queue.post(() -> node.dispatchEnded(dispatch, Outcome.MOOT, null));
        }
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Exchange exchange = open.get(request);
        if (exchange != null) {
            node.answer(exchange, new Response.Denied(Math.min(retryAfter, exchange.limits.maxRetryAfter())));
        }
    }

    @Override
    public void fail(long request) {
        Exchange exchange = open.get(request);
        if (exchange != null) {
            node.answer(
                    exchange,
                    new Response.Failed(
                            exchange.deadline() - Margins.answer(exchange.clientTimeoutMicros) <= queue.now()));
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange exchange = open.get(request);
        Dispatch dispatch = exchange == null ? null : exchange.dispatch(attempt);
        if (dispatch != null && dispatch.pending()) {
            // Posted: the module hears of it as an event of its own, not in the midst of this one.
            queue.post(() -> backend.cancel(dispatch));
        }
    }

    @Override
    public void startTimer(long delay, int purpose, long subject) {
        queue.schedule(delay, () -> node.tell(new Balancer.Timer(purpose, subject)));
    }

    @Override
    public void subscribe(boolean on) {
        discovery.setSubscribed(on);
    }

    @Override
    public void fetchList() {
        counters.checkInvariant(false, "whole lists are not asked for: the watch begins with one where it has to");
    }

    @Override
    public void probe(String server) {
        counters.checkInvariant(false, "load is neither asked for nor read");
    }

    @Override
    public void closeIdleConnections(String server) {
        backend.closeIdleConnections(server);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        counters.checkInvariant(false, "messages to peers are not carried");
    }

    @Override
    public void log(String text) {
        Log.info("module", text);
    }
}
