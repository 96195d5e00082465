package calicochute.frontend;

import calicochute.exchange.RequestProgress;
import calicochute.framing.CompleteLineBuffer;
import calicochute.framing.ParserLimits;
import calicochute.listening.LingeringSession;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.IllegalBlockingModeException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SocketChannel;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * One client connection. On top of HttpCore's handling it notices a client that disconnects while a response is owed,
 * bounds the time a request may take to arrive, and accepts no further request before the response. Runs on the
 * frontend's I/O thread unless a method says otherwise.
 */
final class ClientConnection extends ServerHttp1IOEventHandler {
    /** Time for a request head, from the start of the connection or from the first byte of a later request. */
    private static final long HEAD_TIMEOUT_MS = 2400;
    /** How long a request body may stall, and the grace before its average rate is checked. */
    private static final long BODY_STALL_MS = 2000;

    /** Average rate that a request body has to reach, in bytes per millisecond. */
    private static final long MIN_BODY_BYTES_PER_MS = 16;
    /** How long a client may stop reading a streamed response. */
    private static final long RESPONSE_STALL_MS = 15_000;
    /** How long a connection without an open request is kept. */
    private static final long IDLE_TIMEOUT_MS = 10_000;
    /** How long a connection without input counts as new; a client usually sends its request right after connecting. */
    private static final long NEW_CONNECTION_MS = 250;

    /** From this idle time on a connection has the priority {@link Priority#LONG_IDLE}. */
    private static final long LONG_IDLE_MS = 2000;
    /** How long after a response the connection still counts as busy: the response may still be in transit. */
    private static final long RESPONSE_SETTLE_MS = 50;
    /** How long after its last response the connection is closed if the client has not closed it. */
    private static final long FINAL_RESPONSE_LINGER_MS = 250;

    /**
     * Responses of a connection that may wait to be written. A client with one request at a time causes one, and a
     * second for the moment in which the first is being given up.
     */
    private static final int MAX_UNWRITTEN_RESPONSES = 4;

    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().build();

    /** State that a connection shares with its request handlers and its head parser, which are created before it. */
    static final class State {
        final Frontend frontend;
        final ProtocolIOSession session;
        volatile SessionHandler latestHandler;
        /** Of the request that is arriving or was the last to arrive. */
        private RequestProgress progress = new RequestProgress();
        /** Whether a request is expected or arriving; false from its end until the next request's first byte. */
        volatile boolean receivingRequest = true;
        /** Requests whose responses HttpCore has not written yet. */
        private final AtomicInteger unwrittenResponses = new AtomicInteger();
        /** Whether any input was received on this connection. */
        private volatile boolean inputReceived;
        /**
         * Whether further input is discarded, because a request was rejected, sent before an earlier response, or the
         * response said {@code Connection: close}.
         */
        volatile boolean noMoreRequests;
        /** Whether the streamed response is to be aborted. */
        private volatile boolean abortResponse;
        /** When the last response of the connection was given, in {@link System#nanoTime}; 0 before that. */
        private volatile long lastResponseNanos;

        /** When the connection or its current request started, in {@link System#nanoTime}. */
        long requestStartNanos = System.nanoTime();
        /** When the head of the current request was complete; 0 while there is no body. */
        private long bodyStartNanos;

        /** When bytes of the body last arrived, or reading was resumed. */
        private long bodyProgressNanos;

        private long bodyBytes;
        /** How long this side has not read the body in total. */
        private long pausedNanos;
        /** Since when this side has not been reading the body; 0 while it reads. */
        private volatile long pausedSinceNanos;

        State(Frontend frontend, ProtocolIOSession session) {
            this.frontend = frontend;
            this.session = session;
        }

        /**
         * Whether a session of this connection is being processed and its response has not begun, or is being streamed.
         */
        boolean owesResponse() {
            SessionHandler handler = latestHandler;
            return handler != null && handler.owesResponse();
        }

        /**
         * Whether a complete request still waits for the last byte of its response. Without this check, closing idle
         * connections could lose a response that was given but has not reached the I/O thread.
         */
        boolean busy() {
            SessionHandler handler = latestHandler;
            return owesResponse() || !receivingRequest && handler != null && handler.responseUnwritten();
        }

        /** Whether a further request may be read, or the client sends without waiting for responses. */
        boolean mayReadRequest() {
            return !owesResponse() && unwrittenResponses.get() < MAX_UNWRITTEN_RESPONSES;
        }

        /** The head of a request is complete. */
        void requestBegun() {
            unwrittenResponses.incrementAndGet();
        }

        /** HttpCore has written the response of a request, or given it up. */
        void responseWritten() {
            unwrittenResponses.decrementAndGet();
        }

        /** The progress of the request whose head is complete now; on the I/O thread. */
        RequestProgress progressOfRequest() {
            if (progress.isComplete()) {
                // The request was read together with the end of the one before.
                progress = new RequestProgress();
                progress.inputArrived(frontend.nowMicros());
            }
            return progress;
        }

        /** Number of bytes in the system's receive buffer; any thread may call. */
        long unreadBytes() {
            try {
                return ((SocketChannel) session.channel())
                        .socket()
                        .getInputStream()
                        .available();
            } catch (IOException | IllegalBlockingModeException e) {
                return 0;
            }
        }

        /** The head of a request is complete; the pace of its body is measured from here. */
        void headReceived() {
            bodyStartNanos = System.nanoTime();
            bodyProgressNanos = bodyStartNanos;
            bodyBytes = 0;
            pausedNanos = 0;
            pausedSinceNanos = 0;
        }

        void bodyReceived(int bytes) {
            bodyBytes += bytes;
            bodyProgressNanos = System.nanoTime();
        }

        /**
         * Updates whether this side has stopped reading because earlier bytes were not forwarded yet; any thread may
         * call. The condition is evaluated under the lock: otherwise, of two threads, the later one could store the
         * older result.
         */
        synchronized void updatePaused(BooleanSupplier windowExhausted) {
            boolean exhausted = windowExhausted.getAsBoolean();
            if (exhausted && pausedSinceNanos == 0) {
                pausedSinceNanos = System.nanoTime();
            } else if (!exhausted && pausedSinceNanos != 0) {
                bodyProgressNanos = System.nanoTime();
                pausedNanos += bodyProgressNanos - pausedSinceNanos;
                pausedSinceNanos = 0;
            }
        }

        /** How long the client may stay silent, in milliseconds; not positive if it is too slow. */
        private synchronized long remainingMs() {
            if (bodyStartNanos == 0) {
                return HEAD_TIMEOUT_MS - requestAgeMs();
            }
            if (pausedSinceNanos != 0) {
                return IDLE_TIMEOUT_MS;
            }
            long elapsedMs = (System.nanoTime() - bodyStartNanos - pausedNanos) / 1_000_000;
            return Math.min(BODY_STALL_MS, BODY_STALL_MS + bodyBytes / MIN_BODY_BYTES_PER_MS - elapsedMs);
        }

        /**
         * Remaining time for a partly received head, in milliseconds; not positive if there is none or its time is
         * over.
         */
        private synchronized long remainingHeadMs() {
            return receivingRequest && inputReceived && bodyStartNanos == 0 ? HEAD_TIMEOUT_MS - requestAgeMs() : 0;
        }

        /**
         * How long an arriving body may still stall, in milliseconds; not positive if there is none or it is too slow.
         */
        synchronized long remainingBodyMs() {
            return !receivingRequest || bodyStartNanos == 0 || pausedSinceNanos != 0
                    ? 0
                    : Math.min(remainingMs(), BODY_STALL_MS - (System.nanoTime() - bodyProgressNanos) / 1_000_000);
        }

        /** A streamed response has begun: the client has to read it in time. */
        void streamingStarted() {
            session.setSocketTimeout(Timeout.ofMilliseconds(RESPONSE_STALL_MS));
        }

        /** The last byte of a response was passed to HttpCore. */
        void responseProduced() {
            if (noMoreRequests) {
                startFinalLinger();
            } else if (!receivingRequest) {
                session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
            }
        }

        /**
         * Closes the connection if its streamed response is to be aborted, so that the client can tell; on the I/O
         * thread.
         */
        boolean closeIfAborting() {
            SessionHandler handler = latestHandler;
            if (!abortResponse || handler == null || !handler.streamingResponse()) {
                return false;
            }
            session.close(CloseMode.GRACEFUL);
            return true;
        }

        long requestAgeMs() {
            return (System.nanoTime() - requestStartNanos) / 1_000_000;
        }

        /** Closes the connection after the pending response; further input is discarded. */
        void closeAfterResponse() {
            noMoreRequests = true;
            startFinalLinger();
        }

        private void startFinalLinger() {
            lastResponseNanos = System.nanoTime();
            session.setSocketTimeout(Timeout.ofMilliseconds(FINAL_RESPONSE_LINGER_MS));
        }

        /** The request is complete: from here on the balancer, not the client, has to act. */
        void requestReceived() {
            receivingRequest = false;
            bodyStartNanos = 0;
            session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
        }
    }

    /** Priority of keeping a connection when file descriptors are short, lowest first. */
    enum Priority {
        /** Shut down, kept open only to discard what the client still sends. */
        LINGERING,
        /** No input was received for a while after connecting. */
        SILENT,
        /** Idle for a long time after its last response. */
        LONG_IDLE,
        /** Idle since its last response. */
        IDLE,
        /** Accepted a moment ago, without input yet. */
        NEW,
        /** A partial head was received and did not complete for a while. */
        PARTIAL_HEAD,
        /** A request is arriving or its response is owed. */
        BUSY
    }

    private final State state;
    private LingeringSession lingeringSession;
    private boolean badInputCounted;

    private ClientConnection(State state, Callback<Exception> onException) {
        super(
                new ServerHttp1StreamDuplexer(
                        state.session,
                        PROCESSOR,
                        (request, context) -> {
                            SessionHandler handler = new SessionHandler(state);
                            state.latestHandler = handler;
                            return new BasicAsyncServerExpectationDecorator(handler, onException);
                        },
                        "http",
                        ParserLimits.HTTP_CONFIG,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        new RequestHeadParser(state),
                        DefaultHttpResponseWriterFactory.INSTANCE.create(),
                        DefaultContentLengthStrategy.INSTANCE,
                        DefaultContentLengthStrategy.INSTANCE,
                        null,
                        onException) {
                    @Override
                    protected ContentDecoder createContentDecoder(
                            long length,
                            ReadableByteChannel from,
                            SessionInputBuffer buffer,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return super.createContentDecoder(length, from, new CompleteLineBuffer(buffer), metrics);
                    }
                });
        this.state = state;
        state.session.setSocketTimeout(Timeout.ofMilliseconds(HEAD_TIMEOUT_MS));
    }

    static ClientConnection create(ProtocolIOSession session, Frontend frontend, Callback<Exception> onException) {
        return new ClientConnection(new State(frontend, session), onException);
    }

    @Override
    public void connected(IOSession session) throws IOException {
        lingeringSession = (LingeringSession) session;
        super.connected(session);
        state.frontend.opened(this);
    }

    /**
     * Detects a client that disconnected, so that no work is done for it: HttpCore treats the end of input as a
     * half-closed connection and waits until the response is written. Closing the connection notifies the session
     * handler.
     */
    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (state.noMoreRequests) {
            discardInput((LingeringSession) session);
            return;
        }
        if (!state.receivingRequest && !state.owesResponse()) {
            state.receivingRequest = true;
            state.requestStartNanos = System.nanoTime();
            state.bodyStartNanos = 0;
            state.progress = new RequestProgress();
        }
        state.inputReceived = true;
        state.progress.inputArrived(state.frontend.nowMicros());
        super.inputReady(session, source);
        if (state.receivingRequest) {
            // Checked in this order, because the last condition needs a system call.
            if (state.pausedSinceNanos == 0
                    && ((LingeringSession) session).lastReadShort()
                    && state.unreadBytes() == 0) {
                state.progress.inputDrained();
            }
            // HttpCore's own timeout restarts with every byte, so a client that sends a byte now and then would never
            // time out.
            long remainingMs = state.remainingMs();
            if (remainingMs <= 0) {
                close(Counter.CLIENTS_CLOSED_SLOW);
            } else {
                session.setSocketTimeout(Timeout.ofMilliseconds(remainingMs));
            }
        }
        if (!isOpen() && state.owesResponse()) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Keeps reading to notice when the client closes, which is not seen on a connection that is not read; otherwise its
     * session would still be dispatched. The input is discarded.
     */
    private void discardInput(LingeringSession session) throws IOException {
        switch (session.discardInput(state.owesResponse())) {
            case RESET -> {
                if (session.discardLimitExceeded()) {
                    state.frontend.counters().count(Counter.CLIENTS_CLOSED_FLOODING);
                }
                session.close(CloseMode.IMMEDIATE);
            }
            case NONE -> session.clearEvent(EventMask.READ);
            default -> {
                // HttpCore's own timeout restarts with every byte, so a client that keeps sending would never time
                // out.
                if (state.lastResponseNanos != 0
                        && (System.nanoTime() - state.lastResponseNanos) / 1_000_000 >= FINAL_RESPONSE_LINGER_MS) {
                    session.close(CloseMode.GRACEFUL);
                }
            }
        }
    }

    /**
     * A malformed body cannot be answered: the connection is closed and the error counted. A disconnected client is not
     * an error.
     */
    @Override
    public void exception(IOSession session, Exception cause) {
        if (state.receivingRequest
                && !badInputCounted
                && !(cause instanceof SocketException
                        || cause instanceof ClosedChannelException
                        || cause instanceof ConnectionClosedException)) {
            badInputCounted = true;
            state.frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        }
        super.exception(session, cause);
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) throws IOException {
        if (state.closeIfAborting()) {
            return;
        }
        if (!state.noMoreRequests && !state.owesResponse() && hasUnreadInput()) {
            // The pending input is read next and the request answered.
            state.session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
            return;
        }
        long remainingMs = Math.max(state.remainingHeadMs(), state.remainingBodyMs());
        if (remainingMs > 0) {
            // A partly received request keeps its own timeout, even if the connection is asked to close as idle at
            // the same time.
            session.setSocketTimeout(Timeout.ofMilliseconds(remainingMs));
            return;
        }
        SessionHandler handler = state.latestHandler;
        if (state.receivingRequest && state.pausedSinceNanos != 0) {
            return;
        }
        if (handler != null && handler.clientStalled(TimeUnit.MILLISECONDS.toMicros(RESPONSE_STALL_MS))
                || state.receivingRequest && state.owesResponse()) {
            // The client does not read its response or stopped sending its body; closing the connection notifies the
            // session.
            state.frontend.counters().count(Counter.CLIENTS_CLOSED_SLOW);
            session.close(CloseMode.IMMEDIATE);
        } else if (!state.busy()) {
            close(state.receivingRequest ? Counter.CLIENTS_CLOSED_SLOW : Counter.CLIENTS_CLOSED_IDLE);
        }
    }

    /**
     * Whether input was received that is not read yet. Checked before closing, so that a request that arrives at the
     * same time is not lost.
     */
    boolean hasUnreadInput() {
        return state.unreadBytes() > 0;
    }

    /** Whether a request body is arriving in time. */
    boolean receivingBody() {
        return state.remainingBodyMs() > 0;
    }

    /** Asks the I/O thread to close the connection if no request is open on it; any thread may call. */
    void closeIfIdle() {
        Priority priority = priority();
        if (priority != Priority.LINGERING && priority.compareTo(Priority.NEW) < 0) {
            state.session.setSocketTimeout(Timeout.ONE_MILLISECOND);
        }
    }

    /**
     * Asks the I/O thread to abort a streamed response that is not finished, by closing the connection; any thread may
     * call.
     */
    void abortStreamedResponse() {
        SessionHandler handler = state.latestHandler;
        if (handler != null && handler.streamingResponse()) {
            state.abortResponse = true;
            state.session.setSocketTimeout(Timeout.ONE_MILLISECOND);
        }
    }

    /** The current priority of keeping this connection; any thread may call. */
    Priority priority() {
        if (lingeringSession.lingering()) {
            return Priority.LINGERING;
        }
        if (state.receivingRequest
                && !state.owesResponse()
                && (state.latestHandler == null || state.remainingHeadMs() > 0)) {
            boolean recent = state.requestAgeMs() < NEW_CONNECTION_MS;
            return state.inputReceived
                    ? recent ? Priority.BUSY : Priority.PARTIAL_HEAD
                    : recent ? Priority.NEW : Priority.SILENT;
        }
        long idleMs = idleMs();
        return idleMs >= LONG_IDLE_MS
                ? Priority.LONG_IDLE
                : idleMs >= RESPONSE_SETTLE_MS ? Priority.IDLE : Priority.BUSY;
    }

    /** Closes the connection to free its file descriptor for another one. */
    void closeForDescriptor() {
        state.frontend.counters().count(Counter.CLIENTS_CLOSED_FOR_ROOM);
        lingeringSession.closeNow();
    }

    /** How long no request was open on the connection; negative while one is. */
    long idleMs() {
        return state.receivingRequest || state.busy() ? -1 : lingeringSession.idleMs();
    }

    void close(Counter counter) {
        state.frontend.counters().count(counter);
        Log.info("client-closed", "reason=" + counter.name().toLowerCase(Locale.ROOT));
        state.session.close(CloseMode.GRACEFUL);
    }

    @Override
    public void disconnected(IOSession session) {
        // A lingering connection holds its descriptor until it is closed, so it counts until then.
        if (!(session instanceof LingeringSession lingering && lingering.lingering())) {
            state.frontend.closed(this);
        }
        super.disconnected(session);
    }
}
