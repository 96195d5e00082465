package calicochute.backend;

import calicochute.connection.CallListener;
import calicochute.connection.Connection;
import calicochute.connection.Reply;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Pipe;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.pool.Pool;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;

/** One request on its way to a server: takes or opens a connection, calls, and returns the connection. */
final class Errand {
    /** How long a new connection rests before its call: a server that resets it at once has then run nothing. */
    static final long FRESH = 2_000;
    /** A call on an ended connection fails within a round trip; a later failure is one of the answer. */
    private static final long AT_ONCE = 20_000;
    /** Bodies in pieces: how often they are looked at, and how long a server may leave one unread or an answer unfinished. */
    private static final long WATCH = 500_000;
    private static final long UPLOAD_STILL = 10_000_000;
    private static final long ANSWER_STILL = 5_000_000;
    private final Connections connections;
    private final DecisionQueue queue;
    private final Counters counters;
    private final int window;
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

    Errand(Connections connections, int window, BackendServer server, HttpRequest request, Body body, Course course) {
        this.connections = connections;
        this.queue = connections.queue;
        this.counters = connections.counters;
        this.window = window;
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
                connections.openSpare(server);
            } else {
                reuse();
            }
            return;
        }
        if (!connections.makeRoom()) {
            // Guards against descriptors running out: nothing was sent, as if the server could not be reached.
            end(Outcome.CONNECT_FAILED, null);
            return;
        }
        // A connection that never comes up is never answered by the network: only this alarm ends the wait.
        connecting = queue.after(connections.connectTimeout(), () -> end(Outcome.CONNECT_FAILED, null));
        connection = connections.open(server, c -> opened(), () -> end(Outcome.CONNECT_FAILED, null));
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
            connections.endedEarly(server);
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

    /** Told how an errand goes; all but the first on the decision thread. */
    interface Course {
        /** The last byte has been written; on an I/O thread. */
        default void written() {
        }

        /** The answer has begun and goes on in pieces. */
        default void begun(HttpResponse head, Body.Streamed answer) {
        }

        /** {@code reply} is null where none was waited for. */
        void ended(Outcome outcome, Reply reply);
    }
}
