package calicochute.connection;

import calicochute.exchange.Body;
import calicochute.settings.Bounds;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

/** One connection to a server. Calls go one at a time; closing it gives up the call that is out. */
public final class Connection {
    /** Told on an I/O thread when the connection has ended, by whichever side. */
    private final Consumer<Connection> onClosed;

    private volatile Future<IOSession> opening;
    private volatile IOSession session;
    private volatile boolean closed;
    private volatile boolean awaitsAnswer;
    private volatile boolean spoilt;
    private volatile Call latest;

    Connection(Consumer<Connection> onClosed) {
        this.onClosed = onClosed;
    }

    void opening(Future<IOSession> request) {
        opening = request;
        if (closed) {
            // Given up between two tries.
            request.cancel(true);
        }
    }

    boolean closed() {
        return closed;
    }

    void opened(IOSession opened) {
        session = opened;
        if (closed) {
            opened.close(CloseMode.IMMEDIATE);
        }
    }

    void disconnected() {
        closed = true;
        onClosed.accept(this);
    }

    public boolean open() {
        return !closed && session != null && session.isOpen();
    }

    /** Sends one request whose answer is kept until it is whole; {@code end} hears on an I/O thread how it ended. */
    public void call(HttpRequest request, byte[] body, int bodyLimit, Consumer<Reply> end) {
        call(request, new Body.Whole(body), new Call.Limits(bodyLimit, 0), end::accept);
    }

    /** Sends one request whose answer may be long: past a point it is handed on in pieces, so many bytes ahead. */
    public void stream(HttpRequest request, Body body, int window, CallListener listener) {
        call(request, body, new Call.Limits(Bounds.LONGEST_BODY, window), listener);
    }

    private void call(HttpRequest request, Body body, Call.Limits limits, CallListener listener) {
        Call call = new Call(request, body, limits, listener);
        // Only then: what has come until then belongs to no call, also if it is read after this one was asked for.
        call.beforeSending(() -> awaitsAnswer = true);
        latest = call;
        call.on(((HttpConnection) session.getHandler()).getEndpointDetails());
        session.enqueue(new RequestExecutionCommand(call, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /** Output has been written; on the I/O thread. */
    void wrote() {
        Call call = latest;
        if (call != null) {
            call.wrote();
        }
    }

    /** Whether a call was ever made on it. */
    public boolean used() {
        return latest != null;
    }

    /** True from a call's first byte until the head of its final answer. */
    boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    void answerBegun() {
        awaitsAnswer = false;
    }

    /** Something came on it that belongs to no call: this side ends it. */
    void spoil() {
        spoilt = true;
    }

    /** True if it ended because of what came on it, and not because its server ended it. */
    public boolean spoilt() {
        return spoilt;
    }

    /** Stops waiting for it to come up, which is told as a failure. */
    public void giveUp() {
        close();
        opening.cancel(true);
    }

    public void close() {
        closed = true;
        IOSession open = session;
        if (open != null) {
            open.close(CloseMode.IMMEDIATE);
        }
    }
}
