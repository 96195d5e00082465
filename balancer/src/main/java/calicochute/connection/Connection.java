package calicochute.connection;

import calicochute.exchange.Body;
import calicochute.exchange.ByteBudget;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

/** One connection to a server. Calls are made one at a time; closing the connection aborts the pending call. */
public final class Connection {
    /** Called on an I/O thread when the connection has ended, whichever side ended it. */
    private final Consumer<Connection> onClosed;

    private volatile Future<IOSession> connectFuture;
    private volatile IOSession session;
    private volatile boolean closed;
    private volatile boolean awaitsResponse;
    private volatile boolean receivedUnsolicitedData;
    /** The call in progress, or null. A call that has ended is not kept: it refers to the bodies of its session. */
    private final AtomicReference<Call> currentCall = new AtomicReference<>();

    private volatile boolean used;

    Connection(Consumer<Connection> onClosed) {
        this.onClosed = onClosed;
    }

    void setConnectFuture(Future<IOSession> future) {
        connectFuture = future;
        if (closed) {
            // The connect was cancelled between two tries.
            future.cancel(true);
        }
    }

    boolean closed() {
        return closed;
    }

    void connected(IOSession connectedSession) {
        session = connectedSession;
        if (closed) {
            connectedSession.close(CloseMode.IMMEDIATE);
        }
    }

    void disconnected() {
        closed = true;
        onClosed.accept(this);
    }

    /** Whether the connection is established and not closed. */
    public boolean isOpen() {
        return !closed && session != null && session.isOpen();
    }

    /**
     * Sends a request and buffers its complete response; the listener is called on an I/O thread when the call ends.
     */
    public void call(HttpRequest request, byte[] body, int maxBodyBytes, Consumer<CallResult> listener) {
        call(request, new Body.Buffered(body), Call.Limits.buffered(maxBodyBytes), listener::accept);
    }

    /**
     * Sends a request whose response may be long: beyond a threshold it is streamed, with at most {@code windowBytes}
     * read ahead. The memory for its body is reserved from {@code share}; of a response that is not a 200 the body is
     * discarded.
     */
    public void stream(HttpRequest request, Body body, int windowBytes, ByteBudget.Share share, CallListener listener) {
        call(request, body, Call.Limits.streamed(windowBytes, share), listener);
    }

    private void call(HttpRequest request, Body body, Call.Limits limits, CallListener listener) {
        Call call = new Call(request, body, limits, listener);
        call.onEnd(() -> currentCall.compareAndSet(call, null));
        // Set only when the first byte is sent: data received before that belongs to no call, even if it is read
        // after this call was enqueued.
        call.beforeSending(() -> awaitsResponse = true);
        used = true;
        currentCall.set(call);
        call.attach(((HttpConnection) session.getHandler()).getEndpointDetails());
        session.enqueue(new RequestExecutionCommand(call, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /** Called on the I/O thread after output was written. */
    void outputWritten() {
        Call call = currentCall.get();
        if (call != null) {
            call.outputWritten();
        }
    }

    /** Whether a call was ever made on this connection. */
    public boolean used() {
        return used;
    }

    /** Whether a call has sent its first byte and the head of its final response was not received yet. */
    boolean awaitsResponse() {
        return awaitsResponse;
    }

    void responseHeadReceived() {
        awaitsResponse = false;
    }

    /** Records that data was received that belongs to no call; this side then closes the connection. */
    void markUnsolicitedData() {
        receivedUnsolicitedData = true;
    }

    /** Whether the connection was closed because of unsolicited data, and not by its server. */
    public boolean receivedUnsolicitedData() {
        return receivedUnsolicitedData;
    }

    /** Cancels a connect that has not been completed; the failure callback is called. */
    void cancelUnlessConnected() {
        if (session == null && !closed) {
            cancelConnect();
        }
    }

    /** Cancels the connect; the failure callback is called. */
    public void cancelConnect() {
        close();
        connectFuture.cancel(true);
    }

    public void close() {
        closed = true;
        IOSession openSession = session;
        if (openSession != null) {
            openSession.close(CloseMode.IMMEDIATE);
        }
    }
}
