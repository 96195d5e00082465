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
import calicochute.metrics.Log;
import calicochute.pool.ConnectionPool;
import calicochute.settings.Bounds;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;

/** Executes one dispatch: leases or opens a connection, makes the call and returns the connection. */
final class DispatchExecution {
    /**
     * Delay before the first call on a new connection: if the server resets the connection within it, nothing has been
     * executed.
     */
    static final long NEW_CONNECTION_DELAY_MICROS = 2_000;
    /**
     * A call that fails on a reused connection within this time was written to a connection that the server had closed:
     * such a failure arrives within a round trip, a later one concerns the response.
     */
    private static final long CLOSED_CONNECTION_FAILURE_MICROS = 20_000;
    /** Interval between two checks of streamed bodies. */
    private static final long STREAM_CHECK_INTERVAL_MICROS = 500_000;
    /** While it is not known whether the client is connected, a dispatch waits for that, this often and this long. */
    private static final int MAX_OBSERVATIONS = 20;

    private static final long OBSERVATION_INTERVAL_MICROS = 5_000;
    /** How long a server may leave a streamed request body unread. */
    private static final long MAX_UPLOAD_STALL_MICROS = 10_000_000;

    private final ConnectionManager connections;
    private final DecisionQueue queue;
    private final Counters counters;
    private final int windowBytes;
    private final BackendServer server;
    /** Start of the server when it was picked, in microseconds. */
    private final long serverStartedAtMicros;

    private final HttpRequest request;
    private final Dispatch dispatch;
    private final Body body;
    private final Listener listener;
    private final DispatchState state;
    /** The body of the response once it is streamed. */
    private Pipe response;

    private StallMonitor stallMonitor;
    private boolean stallReported;
    private boolean requestWritten;
    private Connection connection;
    /** Whether the connection was leased from the pool rather than opened for this execution. */
    private boolean leased;
    /** How long the leased connection had been idle. */
    private long idleMicros;
    /** The leased connection has carried no call yet. */
    private boolean spare;

    /** A call was started on the current connection. */
    private boolean callStarted;

    private DecisionQueue.Timer timeoutTimer;
    private DecisionQueue.Timer connectTimer;
    /** In microseconds of the decision queue. */
    private long callStartedAt;
    /** Time limit of the dispatch, in microseconds. */
    private final long timeoutMicros;
    /** How often the dispatch still waits for the client to be observed. */
    private int observationsLeft = MAX_OBSERVATIONS;
    /** {@link #start} is running. */
    private boolean starting;

    /**
     * Creates an execution. The time limit counts from the creation of the dispatch: time spent to prepare it must not
     * move the timeout past the end of the session.
     */
    DispatchExecution(
            ConnectionManager connections,
            int windowBytes,
            BackendServer server,
            HttpRequest request,
            Dispatch dispatch,
            long timeoutMicros,
            Listener listener) {
        this.connections = connections;
        this.queue = connections.queue;
        this.counters = connections.counters;
        this.windowBytes = windowBytes;
        this.server = server;
        serverStartedAtMicros = server.startedAtMicros;
        this.request = request;
        this.dispatch = dispatch;
        body = dispatch.exchange.message().body();
        this.timeoutMicros = timeoutMicros;
        this.listener = listener;
        state = new DispatchState(
                body instanceof Body.Streamed ? dispatch.notAfter : Math.min(dispatch.notAfter, deadline()));
    }

    void start() {
        starting = true;
        if (body instanceof Body.Streamed) {
            // The time limit counts from the last byte of the request: until then only a stall ends the dispatch.
            checkStreams();
        } else {
            scheduleTimeout(deadline());
        }
        obtainConnection();
        starting = false;
    }

    private long deadline() {
        return dispatch.sentAt + timeoutMicros;
    }

    private void scheduleTimeout(long deadline) {
        // Created before the delay is computed: the first use of a lambda took 49 ms of a busy core in a new
        // process and delayed the timer by as much.
        Runnable onTimeout = () -> finish(state.timedOut(), null);
        timeoutTimer = queue.schedule(deadline - queue.now(), onTimeout);
    }

    /**
     * Ends the dispatch if a streamed body has stalled although this side has bytes to send or waits for the server.
     */
    private void checkStreams() {
        if (state.ended()) {
            return;
        }
        if (response == null && body instanceof Body.Streamed streamed && !requestWritten) {
            // An empty buffer means that the client is the slow side, which the frontend checks.
            if (streamed.pipe().bufferedBytes() > 0
                    && streamed.pipe().idleMicros() >= (state.waiting() ? timeoutMicros : MAX_UPLOAD_STALL_MICROS)) {
                if (state.waiting()) {
                    finish(state.connectFailed(), null);
                    return;
                }
                // The end of the connection tells whether the last byte was sent just before.
                connection.close();
            }
        } else if (response != null && !stallReported) {
            reportStall();
        }
        queue.schedule(STREAM_CHECK_INTERVAL_MICROS, this::checkStreams);
    }

    /**
     * Counts and logs a server that has stopped sending a streamed response. The response goes on as long as its client
     * stays: a server that hangs may go on, and no silence tells that it never will.
     */
    private void reportStall() {
        stallReported = stallMonitor.hasStalled(queue.now(), response.totalBytes(), response.bufferedBytes() == 0);
        if (stallReported) {
            counters.count(Counter.ANSWERS_STALLED);
            Log.info(
                    "response-stalled",
                    "id=" + dispatch.exchange.clientId + " server=" + dispatch.server + " bytes="
                            + response.totalBytes());
        }
    }

    private void onRequestWritten() {
        if (!state.ended() && !requestWritten) {
            requestWritten = true;
            if (body instanceof Body.Streamed && response == null) {
                long now = queue.now();
                scheduleTimeout(Math.min(now + timeoutMicros, dispatch.exchange.responseDue(now)));
            }
        }
    }

    private void onResponseStarted(HttpResponse head, Body.Streamed streamed) {
        if (state.ended()) {
            return;
        }
        state.responseStarted();
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        response = streamed.pipe();
        stallMonitor = new StallMonitor(queue.now(), response.totalBytes());
        requestWritten = true;
        if (streamed.length() >= 0 && streamed.length() <= Bounds.MAX_BUFFERED_BODY_BYTES) {
            // Streamed only for want of memory. All of a short response is due in the client's time, not its begin.
            Runnable onDue = () -> finish(state.abort(Outcome.RESET), null);
            timeoutTimer = queue.schedule(dispatch.exchange.responseDue(queue.now()) - queue.now(), onDue);
        }
        listener.responseStarted(head, streamed);
        if (!(body instanceof Body.Streamed)) {
            // For a streamed request the checks are already scheduled.
            checkStreams();
        }
    }

    private void obtainConnection() {
        ConnectionPool.Lease<Connection> lease = connections.lease(server);
        if (lease != null) {
            connectionLeased(lease);
            return;
        }
        server.waitingExecutions.add(this);
        if (!connections.openForWaiting(server)) {
            // The connection limit protects the file descriptors; nothing was sent, as if the server were
            // unreachable.
            connectFailed();
            return;
        }
        // If the network never responds, only this timer ends the wait.
        long connectTimeoutMicros = connections.connectTimeoutMicros();
        connectTimer = queue.schedule(connectTimeoutMicros / 2, () -> {
            connections.openSecond(server);
            connectTimer = queue.schedule(connectTimeoutMicros - connectTimeoutMicros / 2, this::connectFailed);
        });
    }

    /** Handles a connection that was closed before a byte was sent. */
    private void obtainAnotherConnection() {
        if (spare) {
            // This may run before the close event: without it, another spare could be opened and rejected in the
            // same way.
            spare = false;
            counters.count(Counter.SPARES_FAILED);
            server.pool.blockSpares(queue.now());
        }
        obtainConnection();
    }

    /** Handles a leased connection, which may require a delay before the call. */
    void connectionLeased(ConnectionPool.Lease<Connection> lease) {
        stopWaiting();
        connection = lease.connection();
        idleMicros = lease.idleMicros();
        spare = !connection.used();
        leased = true;
        if (lease.delayMicros() > 0) {
            counters.count(Counter.CONNECTIONS_WAITED_FOR);
            queue.schedule(lease.delayMicros(), () -> connectionReady(true));
            connections.openSpare(server);
        } else {
            connectionReady(true);
        }
    }

    /** Handles a new connection. */
    void connectionOpened(Connection newConnection) {
        stopWaiting();
        connection = newConnection;
        leased = false;
        spare = false;
        queue.schedule(NEW_CONNECTION_DELAY_MICROS, () -> connectionReady(false));
    }

    void connectFailed() {
        finish(state.connectFailed(), null);
    }

    private void stopWaiting() {
        server.waitingExecutions.remove(this);
        if (connectTimer != null) {
            connectTimer.cancel();
        }
    }

    private void connectionReady(boolean reused) {
        long now = queue.now();
        boolean open = connection != null && connection.isOpen();
        boolean observed = dispatch.exchange.clientObserved(now);
        if (!observed && open && state.waiting() && observationsLeft > 0) {
            // The request is being read ahead meanwhile.
            observationsLeft--;
            queue.schedule(OBSERVATION_INTERVAL_MICROS, () -> connectionReady(reused));
            return;
        }
        boolean awaited = dispatch.exchange.awaitsResponse() && (observed || !open);
        switch (state.connectionReady(now, awaited, isServerEligible(), open, !reused)) {
            case CALL -> call(now, reused);
            case FIND_CONNECTION -> obtainAnotherConnection();
            case END -> {
                if (state.outcome() == Outcome.MOOT) {
                    counters.count(Counter.DISPATCHES_HELD_BACK);
                }
                finish(DispatchState.Step.END, null);
            }
            default -> {}
        }
    }

    /** Whether the server is unchanged since it was picked: not excluded, removed, moved or restarted. */
    private boolean isServerEligible() {
        return !server.excluded && !server.removed && server.startedAtMicros == serverStartedAtMicros;
    }

    private void call(long now, boolean reused) {
        if (reused) {
            counters.count(Counter.CONNECTIONS_REUSED);
        }
        callStartedAt = now;
        callStarted = true;
        // The wait for the connection has reduced the remaining time, unless the client is sending still.
        request.setHeader(
                BackendServers.REMAINING_TIME_HEADER, Long.toString(Math.max(1, remainingMicros(now) / 1000)));
        connection.stream(request, body, windowBytes, dispatch.exchange.memory().newResponse(), new CallListener() {
            @Override
            public void requestWritten() {
                listener.requestWritten();
                queue.post(DispatchExecution.this::onRequestWritten);
            }

            @Override
            public void responseStarted(HttpResponse head, Body.Streamed streamed) {
                queue.post(() -> onResponseStarted(head, streamed));
            }

            @Override
            public void ended(CallResult result) {
                queue.post(() -> onCallEnded(result, reused));
            }
        });
    }

    private long remainingMicros(long now) {
        return body instanceof Body.Buffered
                ? deadline() - now
                : Math.min(timeoutMicros, dispatch.exchange.responseDue(now) - now);
    }

    private void onCallEnded(CallResult result, boolean reused) {
        if (state.ended()) {
            return;
        }
        // The server had closed the idle connection before a byte of this request was written.
        boolean nothingSent = reused && !result.requestStarted() && result.response() == null;
        if (!nothingSent
                && reused
                && result.response() == null
                && queue.now() < callStartedAt + CLOSED_CONNECTION_FAILURE_MICROS) {
            // The connection may have been closed before this call was written.
            connections.recordEarlyClose(server, idleMicros);
        }
        if (result.connectionReusable() && server.reusesConnections(queue.now())) {
            connections.release(server, connection);
            connection = null;
        }
        DispatchState.Step step = state.callEnded(outcome(result), nothingSent);
        if (step == DispatchState.Step.FIND_CONNECTION) {
            connection.close();
            connection = null;
            callStarted = false;
            obtainAnotherConnection();
        } else {
            finish(step, result);
        }
    }

    /** Cancels the dispatch on behalf of the decision module. */
    void cancel() {
        finish(state.cancelled(), null);
    }

    /**
     * Handles the end of the session: a dispatch that was not sent is never sent, and a call whose request body will
     * not be completed is cancelled.
     */
    void sessionEnded() {
        boolean waiting = state.waiting();
        finish(state.sessionEnded(body instanceof Body.Streamed && !requestWritten), null);
        if (waiting) {
            counters.count(Counter.DISPATCHES_HELD_BACK);
        }
    }

    private void finish(DispatchState.Step step, CallResult result) {
        if (step != DispatchState.Step.END) {
            return;
        }
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        stopWaiting();
        if (connection != null
                && !callStarted
                && connection.isOpen()
                && server.reusesConnections(queue.now())
                && !server.excluded) {
            connections.releaseUnused(server, connection, leased);
        } else if (connection != null) {
            connection.close();
        }
        if (starting) {
            // The decision module receives the end as a separate event, not within the event that started the
            // dispatch.
            queue.post(() -> listener.ended(state.outcome(), result));
        } else {
            listener.ended(state.outcome(), result);
        }
    }

    private static Outcome outcome(CallResult result) {
        if (result.response() == null) {
            return result.requestWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
        boolean rejectedUnexecuted = result.status() == 503 || result.status() == 504;
        if (rejectedUnexecuted && "1".equals(result.header("X-Turned-Away"))) {
            return Outcome.FULL;
        }
        // A 4xx status blames the request, not the server, and holds for every server; it must not count against
        // this one. The exception is 429: it is a deny, whoever sent it, and the request may have been executed.
        if (result.status() >= 400 && result.status() < 500 && result.status() != 429) {
            return Outcome.CANCELLED;
        }
        return result.status() == 200 ? Outcome.OK : Outcome.ERROR;
    }

    /** Receives the events of an execution; all but the first on the decision thread. */
    interface Listener {
        /** The last byte of the request was written; called on an I/O thread. */
        default void requestWritten() {}

        /** The response has begun and is streamed. */
        default void responseStarted(HttpResponse head, Body.Streamed response) {}

        /** The dispatch ended; {@code result} is null if there was no call to wait for. */
        void ended(Outcome outcome, CallResult result);
    }
}
