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
import calicochute.pool.ConnectionPool;
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

/** Executes dispatches over connections to the backend servers. All methods are called on the decision thread. */
public final class BackendServers {
    /**
     * Delay between a response and the next call on its connection: data that a server sends after its response arrives
     * immediately and then closes the idle connection instead of being taken for the response to the next call.
     */
    private static final long REUSE_DELAY_MICROS = 5_000;
    /** Reuse delay for a server that sent unsolicited data. */
    private static final long LONG_REUSE_DELAY_MICROS = 25_000;
    /** How long the long reuse delay applies. */
    private static final long LONG_REUSE_DELAY_PERIOD_MICROS = 60_000_000;
    /** Number of idle connections to a server from which on no spare is opened. */
    private static final int MAX_IDLE_FOR_SPARE = 16;
    /** How long no spare is opened after one failed. */
    private static final long SPARE_BACKOFF_MICROS = 20_000_000;
    /** A close this soon after a response is not the idle timeout of the server. */
    private static final long IMMEDIATE_CLOSE_MICROS = 50_000;
    /** How long observed idle times of a server are used. */
    private static final long OBSERVATION_PERIOD_MICROS = 20_000_000;

    private static final ConnectionPool.Rules POOL_RULES = new ConnectionPool.Rules(
            DispatchExecution.NEW_CONNECTION_DELAY_MICROS,
            REUSE_DELAY_MICROS,
            MAX_IDLE_FOR_SPARE,
            SPARE_BACKOFF_MICROS,
            LONG_REUSE_DELAY_MICROS,
            LONG_REUSE_DELAY_PERIOD_MICROS,
            IMMEDIATE_CLOSE_MICROS,
            OBSERVATION_PERIOD_MICROS);
    /** Request header with the time left for the response, in milliseconds. */
    static final String REMAINING_TIME_HEADER = "X-Remaining-Ms";
    /** Minimum time between two checks of the idle connections. */
    private static final long MIN_SWEEP_INTERVAL_MICROS = 10_000;

    private final DecisionQueue queue;
    private final Counters counters;
    private final int windowBytes;
    private final ConnectionManager connections;
    private final DispatchListener listener;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<Dispatch, DispatchExecution> activeDispatches = new HashMap<>();
    private DecisionQueue.Timer nextSweep;

    /**
     * Creates an instance without servers; {@code connectionIdleMicros} is the time after which a server drops an idle
     * connection.
     */
    public BackendServers(
            Connector connector,
            DecisionQueue queue,
            Counters counters,
            long connectTimeoutMicros,
            long connectionIdleMicros,
            Bounds bounds,
            DispatchListener listener) {
        this.queue = queue;
        this.counters = counters;
        connections = new ConnectionManager(connector, queue, counters, bounds.serverConnections(), servers::values);
        connections.updateTimeouts(connectTimeoutMicros, connectionIdleMicros);
        windowBytes = bounds.windowBytes();
        this.listener = listener;
        nextSweep = queue.schedule(sweepIntervalMicros(), this::sweep);
    }

    /**
     * Applies new settings; calls in progress are not affected. Connections idle for longer than the new settings allow
     * are closed immediately.
     */
    public void updateTimeouts(long connectTimeoutMicros, long connectionIdleMicros) {
        connections.updateTimeouts(connectTimeoutMicros, connectionIdleMicros);
        nextSweep.cancel();
        sweep();
    }

    /** Adds a server or changes its address; connections to its old address are not reused. */
    public void setAddress(String server, InetSocketAddress address) {
        BackendServer known = servers.get(server);
        if (known == null || !address.equals(known.address)) {
            remove(server);
            servers.put(server, new BackendServer(address, POOL_RULES));
        }
    }

    /** Sets whether calls may be started on a known server. */
    public void setEligible(String server, boolean eligible) {
        BackendServer known = servers.get(server);
        if (known != null) {
            known.excluded = !eligible;
        }
    }

    /**
     * Records the latest start of a server, in microseconds: a dispatch assigned to an earlier start is not sent any
     * more.
     */
    public void recordStart(String server, long startedAtMicros) {
        BackendServer known = servers.get(server);
        if (known != null) {
            known.startedAtMicros = Math.max(known.startedAtMicros, startedAtMicros);
        }
    }

    /** Removes a server; calls in progress on it continue. */
    public void remove(String server) {
        BackendServer known = servers.remove(server);
        if (known != null) {
            known.removed = true;
            connections.countClosedIdle(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    /** Removes all servers but these. */
    public void retainOnly(Set<String> listed) {
        servers.keySet().stream().filter(id -> !listed.contains(id)).toList().forEach(this::remove);
    }

    /** Whether the server is known. */
    public boolean hasServer(String server) {
        return servers.containsKey(server);
    }

    /** Executes a dispatch: sends its request to its server and waits at most this long for the response. */
    public void send(Dispatch dispatch, long timeoutMicros) {
        counters.count(Counter.DISPATCHES_SENT);
        Message message = dispatch.exchange.message();
        DispatchExecution execution = new DispatchExecution(
                connections,
                windowBytes,
                servers.get(dispatch.server),
                buildRequest(message, timeoutMicros),
                dispatch,
                timeoutMicros,
                new DispatchExecution.Listener() {
                    @Override
                    public void requestWritten() {
                        listener.dispatchWritten();
                    }

                    @Override
                    public void responseStarted(HttpResponse head, Body.Streamed body) {
                        listener.dispatchResponseStarted(dispatch, new Response.Served(responseFields(head), body));
                    }

                    @Override
                    public void ended(Outcome outcome, CallResult result) {
                        activeDispatches.remove(dispatch);
                        // A streamed response was already passed on.
                        listener.dispatchEnded(
                                dispatch, outcome, dispatch.exchange.closed() ? null : finalResponse(outcome, result));
                    }
                });
        activeDispatches.put(dispatch, execution);
        execution.start();
    }

    /** Cancels a dispatch: closes the connection that its call uses. */
    public void cancel(Dispatch dispatch) {
        DispatchExecution execution = activeDispatches.get(dispatch);
        if (execution != null) {
            execution.cancel();
        }
    }

    /**
     * Handles the end of the dispatch's session: a call that has not started must not start, even if the decision
     * module does not cancel the dispatch.
     */
    public void sessionEnded(Dispatch dispatch) {
        DispatchExecution execution = activeDispatches.get(dispatch);
        if (execution != null) {
            execution.sessionEnded();
        }
    }

    /** Closes the idle connections to a server. */
    public void closeIdleConnections(String server) {
        BackendServer known = servers.get(server);
        if (known != null) {
            connections.countClosedIdle(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    /** Closes connections that are idle for too long. */
    private void sweep() {
        servers.values().forEach(connections::closeExpired);
        nextSweep = queue.schedule(sweepIntervalMicros(), this::sweep);
    }

    /**
     * The lower limit keeps the decision thread from doing nothing but sweeps if servers drop idle connections almost
     * immediately.
     */
    private long sweepIntervalMicros() {
        return Math.max(MIN_SWEEP_INTERVAL_MICROS, connections.maxIdleMicros() / 2);
    }

    private static HttpRequest buildRequest(Message message, long timeoutMicros) {
        // The target is passed on unchanged rather than parsed for a host.
        HttpRequest request = new BasicHttpRequest(message.method(), null, null, message.target());
        for (Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.addHeader(REMAINING_TIME_HEADER, Long.toString(Math.max(1, timeoutMicros / 1000)));
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

    /** The session's final response, or null if the result does not settle it. */
    private Response finalResponse(Outcome outcome, CallResult result) {
        if (outcome == Outcome.CANCELLED && result != null) {
            counters.count(Counter.DISPATCHES_REJECTED);
            return new Response.Rejected(result.status());
        }
        return outcome == Outcome.OK ? completeResponse(result) : null;
    }

    private static Response.Served completeResponse(CallResult result) {
        return new Response.Served(responseFields(result.response()), new Body.Buffered(result.body()));
    }

    private static List<Field> responseFields(HttpResponse head) {
        Header contentType = head.getFirstHeader("Content-Type");
        return contentType == null ? List.of() : List.of(new Field("Content-Type", contentType.getValue()));
    }
}
