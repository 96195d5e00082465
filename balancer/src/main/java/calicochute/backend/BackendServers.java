package calicochute.backend;

import calicochute.connection.CallResult;
import calicochute.connection.Connector;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Field;
import calicochute.exchange.Message;
import calicochute.exchange.Response;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.pool.Pool;
import calicochute.settings.Bounds;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/** The servers' side: carries out dispatches over connections it keeps. All on the decision thread. */
public final class BackendServers {
    /**
     * How long an answer's connection rests before its next call: what a server sends behind an answer comes at once,
     * and ends the connection if nothing is awaited on it yet.
     */
    private static final long SETTLE = 5_000;
    /** Where something came later or where none should: how long they rest then, and for how long. */
    private static final long LONG_SETTLE = 25_000;

    private static final long CAUTION = 60_000_000;
    /** Free connections to a server beyond which none is opened ahead, and how long none is after one that failed. */
    private static final int MOST_FREE = 16;

    private static final long SPARE_BAN = 20_000_000;
    /** An end this soon after an answer is no idle time; and how long idle times of servers are remembered. */
    private static final long WITH_ANSWER = 50_000;

    private static final long IDLE_MEMORY = 20_000_000;
    private static final Pool.Rules POOL =
            new Pool.Rules(Errand.FRESH, SETTLE, MOST_FREE, SPARE_BAN, LONG_SETTLE, CAUTION, WITH_ANSWER, IDLE_MEMORY);
    static final String TIME_LEFT = "X-Remaining-Ms";
    /** Idle connections are looked at no more often. */
    private static final long SWEEP = 10_000;

    private final DecisionQueue queue;
    private final Counters counters;
    private final int window;
    private final Connections connections;
    private final DispatchListener listener;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<Dispatch, Errand> out = new HashMap<>();
    private DecisionQueue.Timer nextSweep;

    public BackendServers(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            long connectTimeout,
            long connectionIdle,
            Bounds bounds,
            DispatchListener listener) {
        this.queue = queue;
        this.counters = counters;
        connections = new Connections(connector, queue, counters, bounds.serverConnections(), servers::values);
        connections.retune(connectTimeout, connectionIdle);
        window = bounds.windowBytes();
        this.listener = listener;
        nextSweep = queue.schedule(sweepEvery(), this::sweep);
    }

    /**
     * New settings; what is under way goes on as it began. Connections free for longer than they allow are closed at
     * once.
     */
    public void retune(long connectTimeout, long connectionIdle) {
        connections.retune(connectTimeout, connectionIdle);
        nextSweep.cancel();
        sweep();
    }

    /** Learns or changes a server's address; connections to the one it had are not used again. */
    public void address(String server, InetSocketAddress address) {
        BackendServer known = servers.get(server);
        if (known == null || !address.equals(known.address)) {
            forget(server);
            servers.put(server, new BackendServer(address, POOL));
        }
    }

    /** Whether calls may be begun on a server that is known. */
    public void wanted(String server, boolean wanted) {
        BackendServer known = servers.get(server);
        if (known != null) {
            known.unwanted = !wanted;
        }
    }

    /** A server's newest start: what was picked for an earlier one is not sent any more. */
    public void started(String server, long at) {
        BackendServer known = servers.get(server);
        if (known != null) {
            known.startedAt = Math.max(known.startedAt, at);
        }
    }

    /** Forgets a server that is gone; what is out there ends by itself. */
    public void forget(String server) {
        BackendServer known = servers.remove(server);
        if (known != null) {
            known.gone = true;
            connections.count(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    /** Forgets all servers but these. */
    public void keepOnly(Set<String> listed) {
        servers.keySet().stream().filter(s -> !listed.contains(s)).toList().forEach(this::forget);
    }

    public boolean knows(String server) {
        return servers.containsKey(server);
    }

    /** Sends the session to its dispatch's server and waits at most so many microseconds for the answer. */
    public void send(Dispatch dispatch, long timeout) {
        counters.count(Counter.DISPATCHES_SENT);
        Message message = dispatch.exchange.message;
        Errand errand = new Errand(
                connections,
                window,
                servers.get(dispatch.server),
                request(message, timeout),
                dispatch,
                timeout,
                new Errand.Course() {
                    @Override
                    public void written() {
                        listener.dispatchWritten();
                    }

                    @Override
                    public void begun(HttpResponse head, Body.Streamed body) {
                        listener.dispatchBegun(dispatch, new Response.Served(passed(head), body));
                    }

                    @Override
                    public void ended(Outcome outcome, CallResult reply) {
                        out.remove(dispatch);
                        // One that had begun has had its answer.
                        listener.dispatchEnded(
                                dispatch, outcome, dispatch.exchange.closed() ? null : answer(outcome, reply));
                    }
                });
        out.put(dispatch, errand);
        errand.start();
    }

    /** Stops waiting: closes the connection that the dispatch is out on. */
    public void cancel(Dispatch dispatch) {
        Errand errand = out.get(dispatch);
        if (errand != null) {
            errand.cancel();
        }
    }

    /**
     * The dispatch's session is over: what has not begun must not begin, whatever the module knows and may withdraw.
     */
    public void sessionOver(Dispatch dispatch) {
        Errand errand = out.get(dispatch);
        if (errand != null) {
            errand.sessionOver();
        }
    }

    /** Closes the idle connections to a server. */
    public void closeIdle(String server) {
        BackendServer known = servers.get(server);
        if (known != null) {
            connections.count(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    private void sweep() {
        servers.values().forEach(connections::closeTooOld);
        nextSweep = queue.schedule(sweepEvery(), this::sweep);
    }

    /** Guards against a thread that does nothing else where servers drop connections almost at once. */
    private long sweepEvery() {
        return Math.max(SWEEP, connections.idleTime() / 2);
    }

    private static HttpRequest request(Message message, long timeout) {
        // The target as it came, not taken apart for a host.
        HttpRequest request = new BasicHttpRequest(message.method(), null, null, message.target());
        for (Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.addHeader(TIME_LEFT, Long.toString(Math.max(1, timeout / 1000)));
        if (message.body() instanceof Body.Streamed body) {
            request.addHeader(
                    body.length() < 0 ? "Transfer-Encoding" : "Content-Length",
                    body.length() < 0 ? "chunked" : Long.toString(body.length()));
        } else if (message.body() instanceof Body.Buffered body
                && (body.bytes().length > 0 || message.method().equals("POST"))) {
            request.addHeader("Content-Length", Integer.toString(body.bytes().length));
        }
        return request;
    }

    /** The session's final answer, where the reply settles it. */
    private Response answer(Outcome outcome, CallResult reply) {
        if (outcome == Outcome.CANCELLED && reply != null) {
            counters.count(Counter.DISPATCHES_REJECTED);
            return new Response.Rejected(reply.status());
        }
        return outcome == Outcome.OK ? served(reply) : null;
    }

    private static Response.Served served(CallResult reply) {
        return new Response.Served(passed(reply.response()), new Body.Buffered(reply.body()));
    }

    private static List<Field> passed(HttpResponse head) {
        Header type = head.getFirstHeader("Content-Type");
        return type == null ? List.of() : List.of(new Field("Content-Type", type.getValue()));
    }
}
