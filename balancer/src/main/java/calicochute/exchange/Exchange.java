package calicochute.exchange;

import calicochute.decision.Balancer.Limits;
import java.util.ArrayList;
import java.util.List;

/**
 * One session: the request, its deadline, its dispatches and whether it has been answered. It is the only object that
 * the frontend and the backend side share. Its mutable state belongs to the decision thread unless a method says
 * otherwise.
 */
public final class Exchange {
    /**
     * How long nothing may be known of a client when a dispatch for it begins: well below the 0.1 s within which a
     * dispatch may still begin after its client disconnected.
     */
    private static final long MAX_UNOBSERVED_MICROS = 50_000;

    /** Session number, unique within this process. */
    public final long id;
    /** The client's ID for the session. */
    public final String clientId;

    /** How long the client waits for the response. */
    public final long clientTimeoutMicros;

    private Message message;
    private final SessionMemory memory;
    /** Index of the request class in the settings. */
    public final int classIndex;
    /** Index of the tenant in the settings, or -1 if no tenants are configured. */
    public final int tenantIndex;
    /** The limits of the settings in force when the session began; they apply until it ends. */
    public final Limits limits;

    /** Whether the client marked the request as a retry. */
    public final boolean clientRetry;
    /** When the session began, in microseconds of the decision queue. */
    private final long startedAt;

    private final RequestProgress progress;
    private boolean requestComplete;
    private boolean streamingResponse;
    private boolean responseAborted;
    private final SessionClient client;
    private final List<Dispatch> dispatches = new ArrayList<>(3);
    private volatile boolean closed;
    /** Set by the I/O thread, because the decision thread may process the event late. */
    private volatile boolean clientGone;

    public Exchange(
            long id,
            String clientId,
            Message message,
            int classIndex,
            int tenantIndex,
            Limits limits,
            boolean clientRetry,
            long startedAt,
            long clientTimeoutMicros,
            RequestProgress progress,
            SessionMemory memory,
            SessionClient client) {
        this.id = id;
        this.clientId = clientId;
        this.message = message;
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.limits = limits;
        this.clientRetry = clientRetry;
        this.startedAt = startedAt;
        this.progress = progress;
        this.clientTimeoutMicros = clientTimeoutMicros;
        this.memory = memory;
        requestComplete = message.body() instanceof Body.Buffered;
        this.client = client;
    }

    /** The request; without its body once the session has ended. */
    public Message message() {
        return message;
    }

    /** The memory reserved for the bodies of this session; any thread may call. */
    public SessionMemory memory() {
        return memory;
    }

    /** Called when the session is closed and has no pending dispatch: frees the request body. */
    public void end() {
        message = message.withoutBody();
        memory.endSession();
    }

    /** Whether the last byte of the request was received. */
    public boolean requestComplete() {
        return requestComplete;
    }

    /** Records that the last byte of the request was received. */
    public void completeRequest() {
        requestComplete = true;
    }

    /** When the client may have written the last request byte; until it was received, when the session began. */
    public long receivedAt() {
        return requestComplete ? progress.possibleEnd(startedAt) : startedAt;
    }

    /**
     * The earliest time at which the client may stop waiting. While its request is incomplete the time moves on as more
     * becomes known.
     */
    public long deadline(long now) {
        return progress.possibleEnd(now) + clientTimeoutMicros;
    }

    /** When the session must have its final response: the time to write it before {@link #deadline}. */
    public long responseDue(long now) {
        return deadline(now) - Margins.responseMicros(clientTimeoutMicros);
    }

    /** Takes into account what waits unread on the client's connection. */
    public void observeUnread(long now) {
        if (!requestComplete) {
            client.observeUnread(now);
        }
    }

    /**
     * Whether a client that has closed its connection would have been noticed, but for the last moments. Its close is
     * behind all that it has sent, so it is not seen while input waits unread.
     */
    public boolean clientObserved(long now) {
        return progress.isComplete() || now - progress.possibleEnd(now) <= MAX_UNOBSERVED_MICROS;
    }

    /** Whether the client has still to send a part of its request, as far as is known. */
    public boolean awaitsClient() {
        return progress.awaitsClient();
    }

    /** Whether part of a streamed request body was already sent to a server, so that no other dispatch is possible. */
    public boolean requestBodyConsumed() {
        return message.body() instanceof Body.Streamed body && body.pipe().readStarted();
    }

    /** Whether a streamed response is being sent to the client. */
    public boolean streamingResponse() {
        return streamingResponse;
    }

    /** Whether the balancer itself aborted the streamed response. */
    public boolean responseAborted() {
        return responseAborted;
    }

    public void setResponseAborted(boolean aborted) {
        responseAborted = aborted;
    }

    /** Records that a streamed response has begun or ended. */
    public void setStreamingResponse(boolean streaming) {
        streamingResponse = streaming;
    }

    /** Adds the next dispatch, which must be sent before {@code notAfter}. Dispatches are numbered from 0. */
    public Dispatch addDispatch(String server, long nowMicros, long notAfter) {
        Dispatch dispatch = new Dispatch(this, dispatches.size(), server, nowMicros, notAfter);
        dispatches.add(dispatch);
        return dispatch;
    }

    /** The dispatch with that number, or null. */
    public Dispatch dispatch(int number) {
        return number >= 0 && number < dispatches.size() ? dispatches.get(number) : null;
    }

    /** The most recent dispatch, or null. */
    public Dispatch latestDispatch() {
        return dispatch(dispatches.size() - 1);
    }

    public int dispatchCount() {
        return dispatches.size();
    }

    /** Whether any dispatch has no outcome yet. */
    public boolean anyPending() {
        return dispatches.stream().anyMatch(Dispatch::pending);
    }

    /** Whether any server may have executed the session. */
    public boolean mayHaveExecuted() {
        return firstPossiblyExecuted() != null;
    }

    /** The first dispatch that the server may have executed, or null. */
    public Dispatch firstPossiblyExecuted() {
        return dispatches.stream().filter(Dispatch::mayHaveExecuted).findFirst().orElse(null);
    }

    /** The dispatches without an outcome. */
    public List<Dispatch> pendingDispatches() {
        return dispatches.stream().filter(Dispatch::pending).toList();
    }

    /** Sends the final response unless one was sent already or the client is gone; returns whether it was sent. */
    public boolean respond(Response response) {
        if (closed) {
            return false;
        }
        closed = true;
        client.send(response);
        return true;
    }

    /** Marks the session as closed without a response, because the client is gone. */
    public void abandon() {
        closed = true;
    }

    /** Records that the client closed its connection; any thread may call. */
    public void markClientGone() {
        clientGone = true;
    }

    /**
     * Whether a client still waits for the response; if not, nothing new is started for the session. Any thread may
     * call.
     */
    public boolean awaitsResponse() {
        return !closed && !clientGone;
    }

    /** Whether the session was answered or needs no response. */
    public boolean closed() {
        return closed;
    }
}
