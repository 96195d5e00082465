package calicochute.frontend;

import calicochute.framing.CompleteLineBuffer;
import calicochute.listening.LingeringSession;
import calicochute.metrics.Counter;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.IllegalBlockingModeException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
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
import org.apache.hc.core5.http.protocol.RequestValidateHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * One client's connection: HttpCore's own, with what it does not guard. It notices a client that closes while it is
 * owed an answer, bounds the time a request may take to arrive, and reads nothing ahead of an answer. All on the
 * frontend's I/O thread.
 */
final class ClientConnection extends ServerHttp1IOEventHandler {
    static final Http1Config LIMITS = Http1Config.custom()
            .setBufferSize(Bounds.BUFFER)
            .setMaxLineLength(Bounds.LINE)
            .setMaxHeaderCount(Bounds.FIELDS)
            .setInitialWindowSize(Bounds.WINDOW)
            .build();
    /** From a connection's start, or a later request's first byte, to the end of the request's head. */
    private static final long REQUEST_MS = 2400;
    /** A body may stand still for so long, and comes at so many bytes in a millisecond from then on. */
    private static final long STILL_MS = 2000;

    private static final long RATE = 16;
    /** A client may leave a long answer unread for so long. */
    private static final long UNREAD_MS = 15_000;
    /** A connection with no request open is kept this long. */
    private static final long IDLE_MS = 10_000;
    /** A client that has connected speaks at once; one that has had its answer may pause for a while. */
    private static final long SILENT_MS = 250;

    private static final long RESTING_MS = 2000;
    /** An answer just given is still on its way out. */
    private static final long SETTLE_MS = 50;
    /** What has had its last answer is ended this much later, if the client has not done so. */
    private static final long LINGER_MS = 250;

    private static final HttpProcessor PROCESSOR =
            HttpProcessorBuilder.create().add(new RequestValidateHost()).build();

    /** What handlers and the guard of one connection share with it; they are made before it is. */
    static final class State {
        final Frontend frontend;
        final ProtocolIOSession session;
        volatile SessionHandler latest;
        /** A request is due or under way; false from its end until the next one's first byte. */
        volatile boolean receiving = true;
        /** Something has come on this connection. */
        private volatile boolean heard;
        /** Nothing more is a request: something here was refused, came before an earlier answer, or that says close. */
        volatile boolean last;
        /** What is still on its way out in pieces ends unfinished. */
        private volatile boolean cut;
        /** When the last answer was given, or 0. */
        private volatile long lastGiven;

        long since = System.nanoTime();
        /** The body under way: when its head had come, its bytes, how long we did not read it, and since when. */
        private long bodySince;

        private long bodyMoved;
        private long bodyBytes;
        private long pausedNanos;
        private volatile long pausedSince;

        State(Frontend frontend, ProtocolIOSession session) {
            this.frontend = frontend;
            this.session = session;
        }

        /** True while a session of this connection is worked on and its answer has not been begun. */
        boolean owesAnswer() {
            SessionHandler handler = latest;
            return handler != null && handler.owesAnswer();
        }

        /**
         * True while a request that has come whole has not had the last byte of its answer. Guards against the end of
         * idle connections that crosses an answer on its way to the I/O thread: it was given, and would be lost.
         */
        boolean busy() {
            SessionHandler handler = latest;
            return owesAnswer() || !receiving && handler != null && handler.unwritten();
        }

        /** The head of a request has come: from here on its body's pace counts. */
        void headRead() {
            bodySince = System.nanoTime();
            bodyMoved = bodySince;
            bodyBytes = 0;
            pausedNanos = 0;
            pausedSince = 0;
        }

        void bodyRead(int bytes) {
            bodyBytes += bytes;
            bodyMoved = System.nanoTime();
        }

        /**
         * Whether this side does not read, since what came before has nowhere to go; any thread may call. Asked under
         * the lock: of two threads the later one would else have the word with the older answer.
         */
        synchronized void paused(BooleanSupplier usedUp) {
            boolean now = usedUp.getAsBoolean();
            if (now && pausedSince == 0) {
                pausedSince = System.nanoTime();
            } else if (!now && pausedSince != 0) {
                bodyMoved = System.nanoTime();
                pausedNanos += bodyMoved - pausedSince;
                pausedSince = 0;
            }
        }

        /** How long the client may yet say nothing, in milliseconds; not positive if it is too slow. */
        private synchronized long patienceMs() {
            if (bodySince == 0) {
                return REQUEST_MS - ageMs();
            }
            if (pausedSince != 0) {
                return IDLE_MS;
            }
            long took = (System.nanoTime() - bodySince - pausedNanos) / 1_000_000;
            return Math.min(STILL_MS, STILL_MS + bodyBytes / RATE - took);
        }

        /**
         * How long a head that has begun to come may yet take, in milliseconds; not positive if none has or it took too
         * long.
         */
        private synchronized long headMs() {
            return receiving && heard && bodySince == 0 ? REQUEST_MS - ageMs() : 0;
        }

        /**
         * How long a body that comes may yet stand still, in milliseconds; not positive if none comes or it was too
         * slow.
         */
        synchronized long bodyMs() {
            return !receiving || bodySince == 0 || pausedSince != 0
                    ? 0
                    : Math.min(patienceMs(), STILL_MS - (System.nanoTime() - bodyMoved) / 1_000_000);
        }

        /** A long answer goes out: the client's reading is awaited. */
        void passing() {
            session.setSocketTimeout(Timeout.ofMilliseconds(UNREAD_MS));
        }

        /** An answer's last byte is on its way. */
        void answered() {
            if (last) {
                ending();
            } else if (!receiving) {
                session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_MS));
            }
        }

        /** Ends the connection if an answer in pieces is to be cut, where the client can tell; on the I/O thread. */
        boolean endsCut() {
            SessionHandler handler = latest;
            if (!cut || handler == null || !handler.passes()) {
                return false;
            }
            session.close(CloseMode.GRACEFUL);
            return true;
        }

        long ageMs() {
            return (System.nanoTime() - since) / 1_000_000;
        }

        /** Ends the connection after the answer that is due; what the client still sends is dropped. */
        void refuse() {
            last = true;
            ending();
        }

        private void ending() {
            lastGiven = System.nanoTime();
            session.setSocketTimeout(Timeout.ofMilliseconds(LINGER_MS));
        }

        /** A request has come whole: from here on the balancer, not the client, is awaited. */
        void received() {
            receiving = false;
            bodySince = 0;
            session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_MS));
        }
    }

    /** How much a connection is needed where room is short, the least first. */
    enum Need {
        /** Shut down, and held open for what its client may still send. */
        SHUT,
        /** Nothing came for a while. */
        SILENT,
        /** Its last answer is long over. */
        RESTING,
        /** Its last answer is over. */
        ANSWERED,
        /** Just accepted. */
        NEW,
        /** Half a head has come, and not its end for a while. */
        HALF,
        /** An answer, or what has begun to come is waited for. */
        OWED
    }

    private final State state;
    private LingeringSession ending;
    private boolean spoilt;

    private ClientConnection(State state, Callback<Exception> onFault) {
        super(
                new ServerHttp1StreamDuplexer(
                        state.session,
                        PROCESSOR,
                        (request, context) -> {
                            SessionHandler handler = new SessionHandler(state);
                            state.latest = handler;
                            return new BasicAsyncServerExpectationDecorator(handler, onFault);
                        },
                        "http",
                        LIMITS,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        new RequestGuard(state),
                        DefaultHttpResponseWriterFactory.INSTANCE.create(),
                        DefaultContentLengthStrategy.INSTANCE,
                        DefaultContentLengthStrategy.INSTANCE,
                        null,
                        onFault) {
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
        state.session.setSocketTimeout(Timeout.ofMilliseconds(REQUEST_MS));
    }

    static ClientConnection on(ProtocolIOSession session, Frontend frontend, Callback<Exception> onFault) {
        return new ClientConnection(new State(frontend, session), onFault);
    }

    @Override
    public void connected(IOSession session) throws IOException {
        ending = (LingeringSession) session;
        super.connected(session);
        state.frontend.opened(this);
    }

    /**
     * Guards against work for a client that has gone: HttpCore takes the end of its input for a half-closed connection
     * and waits for the answer to be written. Ending the connection tells the session's handler.
     */
    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (state.last) {
            drop((LingeringSession) session);
            return;
        }
        if (!state.receiving && !state.owesAnswer()) {
            state.receiving = true;
            state.since = System.nanoTime();
            state.bodySince = 0;
        }
        state.heard = true;
        super.inputReady(session, source);
        if (state.receiving) {
            // Guards against a client that sends a byte now and then: HttpCore's own time-out starts anew with each.
            long left = state.patienceMs();
            if (left <= 0) {
                close(Counter.CLIENTS_CLOSED_SLOW);
            } else {
                session.setSocketTimeout(Timeout.ofMilliseconds(left));
            }
        }
        if (!isOpen() && state.owesAnswer()) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Reads on for the client's end, which nobody sees on a connection that is not read: a session it leaves behind
     * would be sent on. What comes is no request and is dropped.
     */
    private void drop(LingeringSession session) throws IOException {
        switch (session.discardInput(state.owesAnswer())) {
            case RESET -> {
                if (session.discardLimitExceeded()) {
                    state.frontend.counters().count(Counter.CLIENTS_CLOSED_FLOODING);
                }
                session.close(CloseMode.IMMEDIATE);
            }
            case NONE -> session.clearEvent(EventMask.READ);
            default -> {
                // Guards against a client that sends on for ever: HttpCore's own time-out starts anew with each byte.
                if (state.lastGiven != 0 && (System.nanoTime() - state.lastGiven) / 1_000_000 >= LINGER_MS) {
                    session.close(CloseMode.GRACEFUL);
                }
            }
        }
    }

    /**
     * What can't be read behind a head has no answer to come in: the connection ends, with a count. A client that is
     * gone is none.
     */
    @Override
    public void exception(IOSession session, Exception cause) {
        if (state.receiving
                && !spoilt
                && !(cause instanceof SocketException
                        || cause instanceof ClosedChannelException
                        || cause instanceof ConnectionClosedException)) {
            spoilt = true;
            state.frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        }
        super.exception(session, cause);
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) throws IOException {
        if (state.endsCut()) {
            return;
        }
        if (!state.last && !state.owesAnswer() && bytesWait()) {
            // They are read next, and answered.
            state.session.setSocketTimeout(Timeout.ofMilliseconds(IDLE_MS));
            return;
        }
        long left = Math.max(state.headMs(), state.bodyMs());
        if (left > 0) {
            // Guards against the end of idle connections that crosses a request half of which has come: its own time
            // runs.
            session.setSocketTimeout(Timeout.ofMilliseconds(left));
            return;
        }
        SessionHandler handler = state.latest;
        if (state.receiving && state.pausedSince != 0) {
            return;
        }
        if (handler != null && handler.clientStalls() || state.receiving && state.owesAnswer()) {
            // It does not read its answer, or has stopped in the middle of its body; ending the connection tells the
            // session.
            state.frontend.counters().count(Counter.CLIENTS_CLOSED_SLOW);
            session.close(CloseMode.IMMEDIATE);
        } else if (!state.busy()) {
            close(state.receiving ? Counter.CLIENTS_CLOSED_SLOW : Counter.CLIENTS_CLOSED_IDLE);
        }
    }

    /** Guards against a request that crosses the connection's end: true if bytes have come that were not read yet. */
    boolean bytesWait() {
        try {
            return ((SocketChannel) state.session.channel())
                            .socket()
                            .getInputStream()
                            .available()
                    > 0;
        } catch (IOException | IllegalBlockingModeException e) {
            return false;
        }
    }

    /** A request's body comes, and in time. */
    boolean bodyComes() {
        return state.bodyMs() > 0;
    }

    /** Asks the I/O thread to end it if nothing is asked or owed on it; any thread may call. */
    void endIfIdle() {
        Need need = need();
        if (need != Need.SHUT && need.compareTo(Need.NEW) < 0) {
            state.session.setSocketTimeout(Timeout.ONE_MILLISECOND);
        }
    }

    /**
     * Asks the I/O thread to end an answer in pieces that is not out yet, and with it the connection; any thread may
     * call.
     */
    void cutAnswer() {
        SessionHandler handler = state.latest;
        if (handler != null && handler.passes()) {
            state.cut = true;
            state.session.setSocketTimeout(Timeout.ONE_MILLISECOND);
        }
    }

    Need need() {
        if (ending.lingering()) {
            return Need.SHUT;
        }
        if (state.receiving && !state.owesAnswer() && (state.latest == null || state.headMs() > 0)) {
            boolean young = state.ageMs() < SILENT_MS;
            return state.heard ? young ? Need.OWED : Need.HALF : young ? Need.NEW : Need.SILENT;
        }
        long idle = idleMs();
        return idle >= RESTING_MS ? Need.RESTING : idle >= SETTLE_MS ? Need.ANSWERED : Need.OWED;
    }

    /** Ends it for another one, which needs its descriptor now. */
    void makeRoom() {
        state.frontend.counters().count(Counter.CLIENTS_CLOSED_FOR_ROOM);
        ending.closeNow();
    }

    /** How long nothing was asked or owed on it; negative while something is. */
    long idleMs() {
        return state.receiving || state.busy() ? -1 : System.currentTimeMillis() - state.session.getLastEventTime();
    }

    void close(Counter why) {
        state.frontend.counters().count(why);
        state.session.close(CloseMode.GRACEFUL);
    }

    @Override
    public void disconnected(IOSession session) {
        // A connection that is shut holds its descriptor until it is closed, and is counted as long.
        if (!(session instanceof LingeringSession shut && shut.lingering())) {
            state.frontend.closed(this);
        }
        super.disconnected(session);
    }
}
