package calicochute.backend;

import calicochute.connection.CallListener;
import calicochute.connection.CallResult;
import calicochute.connection.Connection;
import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Body;
import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Dispatch;
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
    /** Bodies in pieces: how often they are looked at, and how long a server may leave one unread. */
    private static final long WATCH = 500_000;

    private static final long UPLOAD_STILL = 10_000_000;
    private final Connections connections;
    private final DecisionQueue queue;
    private final Counters counters;
    private final int window;
    private final BackendServer server;
    /** The server's start when it was picked. */
    private final long startedAt;

    private final HttpRequest request;
    private final Dispatch dispatch;
    private final Body body;
    private final Course course;
    private final Progress progress;
    /** The answer, once it has begun. */
    private Pipe answer;

    private Pace pace;
    private boolean wrote;
    private Connection connection;
    /** Its connection has served before, or has been free; and for how long it had been. */
    private boolean served;

    private long idle;
    /** Its connection was opened ahead, and this would be the first call on it. */
    private boolean spare;

    private boolean called;
    private DecisionQueue.Timer timeout;
    private DecisionQueue.Timer connecting;
    private long calledAt;
    private final long patience;
    private boolean starting;

    /**
     * @param micros its time, which runs from the dispatch: preparing it must not push the time-out past the session's
     *     own end
     */
    Errand(
            Connections connections,
            int window,
            BackendServer server,
            HttpRequest request,
            Dispatch dispatch,
            long micros,
            Course course) {
        this.connections = connections;
        this.queue = connections.queue;
        this.counters = connections.counters;
        this.window = window;
        this.server = server;
        startedAt = server.startedAt;
        this.request = request;
        this.dispatch = dispatch;
        body = dispatch.exchange.message.body();
        patience = micros;
        this.course = course;
        progress = new Progress(body instanceof Body.Streamed ? dispatch.notAfter : Math.min(dispatch.notAfter, due()));
    }

    void start() {
        starting = true;
        if (body instanceof Body.Streamed) {
            // Its time runs from its last byte: until then only standing still ends it.
            watch();
        } else {
            await(due());
        }
        begin();
        starting = false;
    }

    private long due() {
        return dispatch.sentAt + patience;
    }

    private void await(long due) {
        // First: made at its first use, in a young process that took 49 ms of a busy core, by which the alarm was late.
        Runnable over = () -> end(progress.timedOut(), null);
        timeout = queue.schedule(due - queue.now(), over);
    }

    /** Ends it if a body in pieces has not moved, though this side has something to move or waits for it. */
    private void watch() {
        if (progress.ended()) {
            return;
        }
        if (answer == null && body instanceof Body.Streamed streamed && !wrote) {
            // Nothing held: it is the client's turn, which the frontend looks after.
            if (streamed.pipe().bufferedBytes() > 0
                    && streamed.pipe().idleMicros() >= (progress.waiting() ? patience : UPLOAD_STILL)) {
                if (progress.waiting()) {
                    end(progress.unconnected(), null);
                    return;
                }
                // The connection's end tells whether the last byte left just now.
                connection.close();
            }
        } else if (answer != null && !pace.holds(queue.now(), answer.totalBytes(), answer.bufferedBytes() == 0)) {
            counters.count(Counter.ANSWERS_CUT);
            end(progress.cut(Outcome.RESET), null);
            return;
        }
        queue.schedule(WATCH, this::watch);
    }

    private void wrote() {
        if (!progress.ended() && !wrote) {
            wrote = true;
            if (body instanceof Body.Streamed && answer == null) {
                await(queue.now() + patience);
            }
        }
    }

    private void began(HttpResponse head, Body.Streamed from) {
        if (progress.ended()) {
            return;
        }
        progress.begun();
        if (timeout != null) {
            timeout.cancel();
        }
        answer = from.pipe();
        pace = new Pace(queue.now(), answer.totalBytes());
        wrote = true;
        course.begun(head, from);
        if (!(body instanceof Body.Streamed)) {
            // Otherwise the watch of the request goes on as that of the answer.
            watch();
        }
    }

    private void begin() {
        Pool.Lent<Connection> lent = connections.lend(server);
        if (lent != null) {
            lent(lent);
            return;
        }
        server.waiting.add(this);
        if (!connections.openFor(server)) {
            // Guards against descriptors running out: nothing was sent, as if the server could not be reached.
            unconnected();
            return;
        }
        // A connection that never comes up is never answered by the network: only this alarm ends the wait.
        long time = connections.connectTimeout();
        connecting = queue.schedule(time / 2, () -> {
            connections.openSecond(server);
            connecting = queue.schedule(time - time / 2, this::unconnected);
        });
    }

    /** Its connection ended before a byte was sent. */
    private void another() {
        if (spare) {
            // Guards against a spare that follows another into the same refusal, where this is heard of before the end
            // itself.
            spare = false;
            counters.count(Counter.SPARES_FAILED);
            server.pool.spareEnded(queue.now());
        }
        begin();
    }

    /** A connection that has served is there for it, though it may have to rest a little. */
    void lent(Pool.Lent<Connection> lent) {
        waitsNoMore();
        connection = lent.connection();
        idle = lent.idle();
        spare = !connection.used();
        served = true;
        if (lent.rest() > 0) {
            counters.count(Counter.CONNECTIONS_WAITED_FOR);
            queue.schedule(lent.rest(), () -> connected(true));
            connections.openSpare(server);
        } else {
            connected(true);
        }
    }

    /** A new connection is there for it. */
    void opened(Connection fresh) {
        waitsNoMore();
        connection = fresh;
        served = false;
        spare = false;
        queue.schedule(FRESH, () -> connected(false));
    }

    void unconnected() {
        end(progress.unconnected(), null);
    }

    private void waitsNoMore() {
        server.waiting.remove(this);
        if (connecting != null) {
            connecting.cancel();
        }
    }

    private void connected(boolean reused) {
        long now = queue.now();
        boolean open = connection != null && connection.isOpen();
        switch (progress.connected(now, dispatch.exchange.awaitsResponse(), isIn(), open, !reused)) {
            case CALL -> call(now, reused);
            case FIND_CONNECTION -> another();
            case END -> {
                if (progress.outcome() == Outcome.MOOT) {
                    counters.count(Counter.DISPATCHES_HELD_BACK);
                }
                end(Progress.Step.END, null);
            }
            default -> {}
        }
    }

    /** The server is what was picked: not taken out, gone, moved or started anew since. */
    private boolean isIn() {
        return !server.unwanted && !server.gone && server.startedAt == startedAt;
    }

    private void call(long now, boolean reused) {
        if (reused) {
            counters.count(Counter.CONNECTIONS_REUSED);
        }
        calledAt = now;
        called = true;
        if (body instanceof Body.Buffered) {
            // The wait for the connection is over, and out of the time that is left.
            request.setHeader(BackendServers.TIME_LEFT, Long.toString(Math.max(1, (due() - now) / 1000)));
        }
        connection.stream(request, body, window, new CallListener() {
            @Override
            public void requestWritten() {
                course.written();
                queue.post(Errand.this::wrote);
            }

            @Override
            public void responseStarted(HttpResponse head, Body.Streamed answer) {
                queue.post(() -> began(head, answer));
            }

            @Override
            public void ended(CallResult reply) {
                queue.post(() -> replied(reply, reused));
            }
        });
    }

    private void replied(CallResult reply, boolean reused) {
        if (progress.ended()) {
            return;
        }
        // The server had closed the idle connection before a byte of this was written.
        boolean nothingSent = reused && !reply.requestStarted() && reply.response() == null;
        if (!nothingSent && reused && reply.response() == null && queue.now() < calledAt + AT_ONCE) {
            // It may have been ended before this call was written.
            connections.endedEarly(server, idle);
        }
        if (reply.connectionReusable() && server.keeps(queue.now())) {
            connections.give(server, connection);
            connection = null;
        }
        Progress.Step step = progress.replied(outcome(reply), nothingSent);
        if (step == Progress.Step.FIND_CONNECTION) {
            connection.close();
            connection = null;
            called = false;
            another();
        } else {
            end(step, reply);
        }
    }

    /** The module withdraws it. */
    void cancel() {
        end(progress.withdrawn(), null);
    }

    /**
     * The session is over: it is never sent if it was not yet, and not kept up if its body can't come to its end any
     * more.
     */
    void sessionOver() {
        boolean waits = progress.waiting();
        end(
                progress.sessionOver(body instanceof Body.Streamed streamed
                        && streamed.pipe().aborted()),
                null);
        if (waits) {
            counters.count(Counter.DISPATCHES_HELD_BACK);
        }
    }

    private void end(Progress.Step step, CallResult reply) {
        if (step != Progress.Step.END) {
            return;
        }
        if (timeout != null) {
            timeout.cancel();
        }
        waitsNoMore();
        if (connection != null && !called && connection.isOpen() && server.keeps(queue.now()) && !server.unwanted) {
            connections.unused(server, connection, served);
        } else if (connection != null) {
            connection.close();
        }
        if (starting) {
            // The module hears of it as an event of its own, not in the midst of the one that asked for this.
            queue.post(() -> course.ended(progress.outcome(), reply));
        } else {
            course.ended(progress.outcome(), reply);
        }
    }

    private static Outcome outcome(CallResult reply) {
        if (reply.response() == null) {
            return reply.requestWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
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
        default void written() {}

        /** The answer has begun and goes on in pieces. */
        default void begun(HttpResponse head, Body.Streamed answer) {}

        /** {@code reply} is null where none was waited for. */
        void ended(Outcome outcome, CallResult reply);
    }
}
