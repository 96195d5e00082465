package calicochute.backend;

import calicochute.connection.CallListener;
import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.connection.Reply;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Answer;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Field;
import calicochute.exchange.Message;
import calicochute.exchange.Pipe;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.pool.Pool;
import calicochute.settings.Bounds;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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
    /** How long a new connection rests before its call: a server that resets it at once has then run nothing. */
    private static final long FRESH = 2_000;
    /** Free connections to a server beyond which none is opened ahead, and how long none is after one that failed. */
    private static final int MOST_FREE = 16;
    private static final long SPARE_BAN = 20_000_000;
    /** Spares leave this part of the room to sessions. */
    private static final double SPARE_ROOM = 0.5;
    private static final Pool.Rules POOL = new Pool.Rules(FRESH, SETTLE, MOST_FREE, SPARE_BAN);
    /** How long no connections are kept for a server that ended one early. */
    private static final long WARY = 20_000_000;
    /** A call on an ended connection fails within a round trip; a later failure is one of the answer. */
    private static final long AT_ONCE = 20_000;
    /** Bodies in pieces: how often they are looked at, and how long a server may leave one unread or an answer unfinished. */
    private static final long WATCH = 500_000;
    private static final long UPLOAD_STILL = 10_000_000;
    private static final long ANSWER_STILL = 5_000_000;
    /** Idle connections are looked at no more often. */
    private static final long SWEEP = 10_000;
    private final Connector connector;
    private final DecisionQueue queue;
    private final Counters counters;
    private long connectTimeout;
    private final long idleTime;
    private final int room;
    private final int window;
    /** One for each connection that is open or being opened. */
    private final Set<Object> connections = new HashSet<>();
    private final DispatchListener listener;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<Dispatch, Errand> out = new HashMap<>();

    public BackendServers(Connector connector, DecisionQueue queue, Counters counters, long connectTimeout,
                          long connectionIdle, Bounds bounds, DispatchListener listener) {
        this.connector = connector;
        this.queue = queue;
        this.counters = counters;
        retune(connectTimeout);
        // Guards against the reset of a call that crosses the server's own closing of an idle connection.
        idleTime = Math.max(1, connectionIdle / 3);
        room = bounds.serverConnections();
        window = bounds.window();
        this.listener = listener;
        queue.after(sweepEvery(), this::sweep);
    }

    /** New settings; what is under way goes on as it began. */
    public void retune(long timeout) {
        connectTimeout = timeout > 0 ? timeout : 1_000_000;
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

    /** Forgets a server that is gone; what is out there ends by itself. */
    public void forget(String server) {
        BackendServer known = servers.remove(server);
        if (known != null) {
            known.gone = true;
            count(known.closeIdleSince(Long.MAX_VALUE));
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
        Errand errand = new Errand(servers.get(dispatch.server), request(message, timeout), message.body(), new Course() {
            @Override
            public void written() {
                listener.dispatchWritten();
            }

            @Override
            public void begun(HttpResponse head, Body.Streamed body) {
                listener.dispatchBegun(dispatch, new Answer.Served(passed(head), body));
            }

            @Override
            public void ended(Outcome outcome, Reply reply) {
                out.remove(dispatch);
                // One that had begun has had its answer.
                listener.dispatchEnded(dispatch, outcome, dispatch.exchange.closed() ? null : answer(outcome, reply));
            }
        });
        out.put(dispatch, errand);
        errand.start(dispatch.sentAt, timeout);
    }

    /** Stops waiting: closes the connection that the dispatch is out on. */
    public void cancel(Dispatch dispatch) {
        Errand errand = out.get(dispatch);
        if (errand != null) {
            errand.end(Outcome.CANCELLED, null);
        }
    }

    /** Closes the idle connections to a server. */
    public void closeIdle(String server) {
        BackendServer known = servers.get(server);
        if (known != null) {
            count(known.closeIdleSince(Long.MAX_VALUE));
        }
    }

    /** Opens a connection, which counts until it has ended; both callbacks come on the decision thread. */
    private Connection open(BackendServer server, Consumer<Connection> opened, Runnable failed) {
        Object one = new Object();
        connections.add(one);
        counters.count(Counter.CONNECTIONS_OPENED);
        return connector.open(server.address, connectTimeout, c -> queue.post(() -> opened.accept(c)),
            e -> queue.post(() -> {
                connections.remove(one);
                failed.run();
            }), c -> queue.post(() -> {
                connections.remove(one);
                Pool.Ended ended = server.pool.ended(c, queue.now());
                if (ended == Pool.Ended.KEPT && !c.spoilt()) {
                    endedEarly(server);
                } else if (ended == Pool.Ended.SPARE) {
                    counters.count(Counter.SPARES_FAILED);
                }
            }));
    }

    /** Opens a connection ahead if the server's pool wants one; nobody waits for it. */
    private void openSpare(BackendServer server) {
        if (!server.keeps(queue.now()) || connections.size() >= room * SPARE_ROOM
            || !server.pool.claimSpare(queue.now())) {
            return;
        }
        new Spare(server).begin();
    }

    /** Closes the connection that has been idle longest, whichever server it goes to; false if none is. */
    private boolean closeIdlest() {
        BackendServer idlest = null;
        for (BackendServer server : servers.values()) {
            if (server.pool.free() > 0 && (idlest == null
                || server.pool.idlestSince() < idlest.pool.idlestSince())) {
                idlest = server;
            }
        }
        if (idlest != null) {
            count(idlest.closeIdleSince(idlest.pool.idlestSince()));
        }
        return idlest != null;
    }

    /** Guards against the next call's being written to a connection that its server has ended. */
    private void endedEarly(BackendServer server) {
        counters.count(Counter.CONNECTIONS_ENDED_EARLY);
        count(server.beWary(queue.now() + WARY));
    }

    private void sweep() {
        servers.values().forEach(s -> count(s.closeIdleSince(queue.now() - idleTime)));
        queue.after(sweepEvery(), this::sweep);
    }

    /** Guards against a thread that does nothing else where servers drop connections almost at once. */
    private long sweepEvery() {
        return Math.max(SWEEP, idleTime / 2);
    }

    private void count(int closed) {
        for (int i = 0; i < closed; i++) {
            counters.count(Counter.CONNECTIONS_CLOSED_IDLE);
        }
    }

    private static HttpRequest request(Message message, long timeout) {
        // The target as it came, not taken apart for a host.
        HttpRequest request = new BasicHttpRequest(message.method(), null, null, message.target());
        for (Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.addHeader("X-Remaining-Ms", Long.toString(Math.max(1, timeout / 1000)));
        if (message.body() instanceof Body.Streamed body) {
            request.addHeader(body.length() < 0 ? "Transfer-Encoding" : "Content-Length",
                body.length() < 0 ? "chunked" : Long.toString(body.length()));
        } else if (message.body() instanceof Body.Whole body && (body.bytes().length > 0 || message.method().equals("POST"))) {
            request.addHeader("Content-Length", Integer.toString(body.bytes().length));
        }
        return request;
    }

    /** The session's final answer, where the reply settles it. */
    private Answer answer(Outcome outcome, Reply reply) {
        if (outcome == Outcome.CANCELLED && reply != null) {
            counters.count(Counter.DISPATCHES_REJECTED);
            return new Answer.Rejected(reply.status());
        }
        return outcome == Outcome.OK ? served(reply) : null;
    }

    private static Answer.Served served(Reply reply) {
        return new Answer.Served(passed(reply.response()), new Body.Whole(reply.body()));
    }

    private static List<Field> passed(HttpResponse head) {
        Header type = head.getFirstHeader("Content-Type");
        return type == null ? List.of() : List.of(new Field("Content-Type", type.getValue()));
    }

    private static Outcome outcome(Reply reply) {
        if (reply.response() == null) {
            return reply.written() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
        boolean turnedAway = reply.status() == 503 || reply.status() == 504;
        if (turnedAway && "1".equals(reply.header("X-Turned-Away"))) {
            return Outcome.FULL;
        }
        // Guards against a server's name suffering for a client's fault: a 4xx says that the request is wrong, not the
        // server, and holds for the next one too. But whoever words it, 429 is a deny, and this may have run.
        if (reply.status() >= 400 && reply.status() < 500 && reply.status() != 429) {
            return Outcome.CANCELLED;
        }
        return reply.status() == 200 ? Outcome.OK : Outcome.ERROR;
    }

    /** A connection opened ahead: it comes up, fails or never comes up, whichever is first. */
    private final class Spare {
        private final BackendServer server;
        private Connection connection;
        private DecisionQueue.Alarm never;
        private boolean over;

        Spare(BackendServer server) {
            this.server = server;
        }

        void begin() {
            counters.count(Counter.SPARES_OPENED);
            never = queue.after(connectTimeout, () -> end(false));
            connection = open(server, c -> end(true), () -> end(false));
        }

        private void end(boolean up) {
            if (over) {
                return;
            }
            over = true;
            never.cancel();
            if (up && server.keeps(queue.now())) {
                server.pool.spareOpened(connection, queue.now());
            } else {
                counters.count(Counter.SPARES_FAILED);
                server.pool.spareFailed(queue.now());
                connection.close();
            }
        }
    }

    /** Told how an errand goes; all but the first on the decision thread. */
    private interface Course {
        /** The last byte has been written; on an I/O thread. */
        default void written() {
        }

        /** The answer has begun and goes on in pieces. */
        default void begun(HttpResponse head, Body.Streamed answer) {
        }

        /** {@code reply} is null where none was waited for. */
        void ended(Outcome outcome, Reply reply);
    }

    /** One request on its way to a server: takes or opens a connection, calls, and returns the connection. */
    private final class Errand {
        private final BackendServer server;
        private final HttpRequest request;
        private final Body body;
        private final Course course;
        /** The answer, once it has begun. */
        private Pipe answer;
        private boolean wrote;
        private Connection connection;
        private DecisionQueue.Alarm timeout;
        private DecisionQueue.Alarm connecting;
        private boolean called;
        private long calledAt;
        private boolean ended;
        private long patience;

        Errand(BackendServer server, HttpRequest request, Body body, Course course) {
            this.server = server;
            this.request = request;
            this.body = body;
            this.course = course;
        }

        /** Its time runs from {@code since}: preparing it must not push the time-out past the session's own end. */
        void start(long since, long micros) {
            patience = micros;
            if (body instanceof Body.Streamed) {
                // Its time runs from its last byte: until then only standing still ends it.
                watch();
            } else {
                await(since);
            }
            begin();
        }

        private void await(long since) {
            timeout = queue.after(since + patience - queue.now(),
                () -> end(called ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null));
        }

        /** Ends it if a body in pieces has not moved, though this side has something to move or waits for it. */
        private void watch() {
            if (ended) {
                return;
            }
            if (answer == null && body instanceof Body.Streamed streamed && !wrote) {
                // Nothing held: it is the client's turn, which the frontend looks after.
                if (streamed.pipe().held() > 0 && streamed.pipe().stillFor() >= (called ? UPLOAD_STILL : patience)) {
                    end(Outcome.CONNECT_FAILED, null);
                    return;
                }
            } else if (answer != null && answer.held() == 0 && answer.stillFor() >= ANSWER_STILL) {
                counters.count(Counter.ANSWERS_CUT);
                end(Outcome.RESET, null);
                return;
            }
            queue.after(WATCH, this::watch);
        }

        private void wrote() {
            if (!ended && !wrote) {
                wrote = true;
                if (body instanceof Body.Streamed && answer == null) {
                    await(queue.now());
                }
            }
        }

        private void began(HttpResponse head, Body.Streamed from) {
            if (!ended) {
                if (timeout != null) {
                    timeout.cancel();
                }
                answer = from.pipe();
                wrote = true;
                course.begun(head, from);
                if (!(body instanceof Body.Streamed)) {
                    // Otherwise the watch of the request goes on as that of the answer.
                    watch();
                }
            }
        }

        private void begin() {
            if (ended) {
                return;
            }
            Pool.Lent<Connection> lent = server.pool.take(queue.now());
            if (lent != null) {
                connection = lent.connection();
                if (lent.rest() > 0) {
                    counters.count(Counter.CONNECTIONS_WAITED_FOR);
                    queue.after(lent.rest(), this::reuse);
                    openSpare(server);
                } else {
                    reuse();
                }
                return;
            }
            if (connections.size() >= room && !closeIdlest()) {
                // Guards against descriptors running out: nothing was sent, as if the server could not be reached.
                end(Outcome.CONNECT_FAILED, null);
                return;
            }
            // A connection that never comes up is never answered by the network: only this alarm ends the wait.
            connecting = queue.after(connectTimeout, () -> end(Outcome.CONNECT_FAILED, null));
            connection = open(server, c -> opened(), () -> end(Outcome.CONNECT_FAILED, null));
        }

        private void reuse() {
            if (ended) {
                return;
            }
            if (connection.open()) {
                counters.count(Counter.CONNECTIONS_REUSED);
                call(true);
            } else {
                begin();
            }
        }

        private void opened() {
            if (!ended) {
                connecting.cancel();
                queue.after(FRESH, () -> {
                    if (!ended && connection.open()) {
                        call(false);
                    } else {
                        end(Outcome.CONNECT_FAILED, null);
                    }
                });
            }
        }

        private void call(boolean reused) {
            if (server.unwanted || server.gone) {
                // Guards against a call that waited for its connection while its server was taken out or left the list.
                counters.count(Counter.DISPATCHES_HELD_BACK);
                end(Outcome.MOOT, null);
                return;
            }
            called = true;
            calledAt = queue.now();
            connection.stream(request, body, window, new CallListener() {
                @Override
                public void written() {
                    course.written();
                    queue.post(Errand.this::wrote);
                }

                @Override
                public void begun(HttpResponse head, Body.Streamed answer) {
                    queue.post(() -> began(head, answer));
                }

                @Override
                public void ended(Reply reply) {
                    queue.post(() -> replied(reply, reused));
                }
            });
        }

        private void replied(Reply reply, boolean reused) {
            if (ended) {
                return;
            }
            if (reused && !reply.begun() && reply.response() == null && answer == null) {
                // The server had closed the idle connection before a byte of this was written: nothing was sent.
                connection.close();
                called = false;
                begin();
                return;
            }
            if (reused && reply.response() == null && queue.now() < calledAt + AT_ONCE) {
                // It may have been ended before this call was written.
                endedEarly(server);
            }
            if (reply.reusable() && server.keeps(queue.now())) {
                server.pool.give(connection, queue.now());
                connection = null;
            }
            end(outcome(reply), reply);
        }

        void end(Outcome outcome, Reply reply) {
            if (ended) {
                return;
            }
            ended = true;
            if (timeout != null) {
                timeout.cancel();
            }
            if (connecting != null) {
                connecting.cancel();
            }
            if (connection != null) {
                connection.close();
            }
            course.ended(outcome, reply);
        }
    }
}
