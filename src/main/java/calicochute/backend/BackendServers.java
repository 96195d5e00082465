package calicochute.backend;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.connection.Reply;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Answer;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Field;
import calicochute.exchange.Message;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/** The servers' side: carries out dispatches and probes over connections it keeps. All on the decision thread. */
public final class BackendServers {
    private static final int BODY_LIMIT = 1 << 16;
    private static final String LOAD = "X-Pressure";
    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private final List<String> reportFields;
    private final long connectTimeout;
    private final long idleTime;
    private final DispatchListener listener;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<Dispatch, Errand> out = new HashMap<>();

    public BackendServers(Connector connector, DecisionQueue queue, Counters counters, List<String> reportFields,
                          long connectTimeout, long connectionIdle, DispatchListener listener) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        this.reportFields = reportFields;
        this.connectTimeout = connectTimeout > 0 ? connectTimeout : 1_000_000;
        // Guards against the reset of a call that crosses the server's own closing of an idle connection.
        idleTime = Math.max(1, connectionIdle / 3);
        this.listener = listener;
        queue.after(idleTime / 2, this::sweep);
    }

    /** Learns or changes a server's address. */
    public void address(String server, InetSocketAddress address) {
        BackendServer known = servers.computeIfAbsent(server, s -> new BackendServer());
        if (!address.equals(known.address)) {
            known.closeIdleSince(Long.MAX_VALUE);
            known.address = address;
        }
    }

    public boolean knows(String server) {
        return servers.containsKey(server);
    }

    /** Sends the session to its dispatch's server and waits at most so many microseconds for the answer. */
    public void send(Dispatch dispatch, long timeout) {
        counters.count(Counter.DISPATCHES_SENT);
        Message message = dispatch.exchange.message;
        Errand errand = new Errand(servers.get(dispatch.server), request(message, timeout), message.body(),
            (outcome, reply) -> {
                out.remove(dispatch);
                listener.dispatchEnded(dispatch, outcome, outcome == Outcome.OK ? served(reply) : null,
                    reply == null ? null : LoadReport.parse(reply.header(LOAD), reportFields));
            });
        out.put(dispatch, errand);
        errand.start(timeout);
    }

    /** Stops waiting: closes the connection that the dispatch is out on. */
    public void cancel(Dispatch dispatch) {
        Errand errand = out.get(dispatch);
        if (errand != null) {
            errand.end(Outcome.CANCELLED, null);
        }
    }

    /** Asks a server for its load; not a session, so nothing but the answer counts. */
    public void probe(String server, long timeout) {
        counters.count(Counter.PROBES_SENT);
        long from = queue.now();
        BackendServer target = servers.get(server);
        HttpRequest request = new BasicHttpRequest("GET", "/status/load");
        request.addHeader("Host", target.address.getHostString() + ":" + target.address.getPort());
        new Errand(target, request, new byte[0], (outcome, reply) -> listener.probeEnded(server, outcome,
            queue.now() - from, outcome != Outcome.OK ? null
                : LoadReport.parse(new String(reply.body(), StandardCharsets.US_ASCII), reportFields))).start(timeout);
    }

    /** Closes the idle connections to a server. */
    public void closeIdle(String server) {
        BackendServer known = servers.get(server);
        if (known != null) {
            count(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    private void sweep() {
        servers.values().forEach(s -> count(s.closeIdleSince(queue.now() - idleTime)));
        queue.after(idleTime / 2, this::sweep);
    }

    private void count(int closed) {
        for (int i = 0; i < closed; i++) {
            counters.count(Counter.CONNECTIONS_CLOSED_IDLE);
        }
    }

    private static HttpRequest request(Message message, long timeout) {
        HttpRequest request = new BasicHttpRequest(message.method(), message.target());
        for (Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.addHeader("X-Remaining-Ms", Long.toString(Math.max(1, timeout / 1000)));
        if (message.body().length > 0 || message.method().equals("POST")) {
            request.addHeader("Content-Length", Integer.toString(message.body().length));
        }
        return request;
    }

    private static Answer.Served served(Reply reply) {
        String type = reply.header("Content-Type");
        return new Answer.Served(type == null ? List.of() : List.of(new Field("Content-Type", type)), reply.body());
    }

    private static Outcome outcome(Reply reply) {
        if (reply.response() == null) {
            return reply.written() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
        boolean turnedAway = reply.status() == 503 || reply.status() == 504;
        if (turnedAway && "1".equals(reply.header("X-Turned-Away"))) {
            return Outcome.FULL;
        }
        return reply.status() == 200 ? Outcome.OK : Outcome.ERROR;
    }

    /** Told how an errand ended; {@code reply} is null where none was waited for. */
    private interface Ending {
        void ended(Outcome outcome, Reply reply);
    }

    /** One request on its way to a server: takes or opens a connection, calls, and returns the connection. */
    private final class Errand {
        private final BackendServer server;
        private final HttpRequest request;
        private final byte[] body;
        private final Ending ending;
        private Connection connection;
        private DecisionQueue.Alarm timeout;
        private DecisionQueue.Alarm connecting;
        private boolean called;
        private boolean ended;

        Errand(BackendServer server, HttpRequest request, byte[] body, Ending ending) {
            this.server = server;
            this.request = request;
            this.body = body;
            this.ending = ending;
        }

        void start(long micros) {
            timeout = queue.after(micros, () -> end(called ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null));
            begin();
        }

        private void begin() {
            Connection idle = server.take();
            if (idle != null) {
                counters.count(Counter.CONNECTIONS_REUSED);
                connection = idle;
                call(true);
                return;
            }
            counters.count(Counter.CONNECTIONS_OPENED);
            // A connection that never comes up is never answered by the network: only this alarm ends the wait.
            connecting = queue.after(connectTimeout, () -> end(Outcome.CONNECT_FAILED, null));
            BackendServer at = server;
            Consumer<Connection> closed = c -> queue.post(() -> at.idle.removeIf(i -> i.connection() == c));
            connection = connector.open(server.address, connectTimeout, c -> queue.post(this::opened),
                e -> queue.post(() -> end(Outcome.CONNECT_FAILED, null)), closed);
        }

        private void opened() {
            if (!ended) {
                connecting.cancel();
                call(false);
            }
        }

        private void call(boolean reused) {
            called = true;
            connection.call(request, body, BODY_LIMIT, reply -> queue.post(() -> replied(reply, reused)));
        }

        private void replied(Reply reply, boolean reused) {
            if (ended) {
                return;
            }
            if (reused && !reply.begun() && reply.response() == null) {
                // The server had closed the idle connection before a byte of this was written: nothing was sent.
                connection.close();
                called = false;
                begin();
                return;
            }
            if (reply.reusable()) {
                server.idle.addFirst(new BackendServer.Idle(connection, queue.now()));
                connection = null;
            }
            end(outcome(reply), reply);
        }

        void end(Outcome outcome, Reply reply) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            if (connecting != null) {
                connecting.cancel();
            }
            if (connection != null) {
                connection.close();
            }
            ending.ended(outcome, reply);
        }
    }
}
