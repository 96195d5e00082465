package calicochute.connection;

import calicochute.exchange.Body;
import calicochute.exchange.Pipe;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request and its answer on one connection; never sent again. Bodies go through pipes both ways: a short answer is
 * kept until it is whole, a long one is handed on from its first pieces. Its end is told once, from an I/O thread.
 */
final class Call implements AsyncClientExchangeHandler {
    private static final int INTERIM_LIMIT = 16;
    private final HttpRequest request;
    private final Body body;
    private final Limits limits;
    private final CallListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean writtenTold = new AtomicBoolean();
    private final Pipe answer = new Pipe();
    private ByteBuffer left;
    private boolean hooked;
    /** The last byte of the body has been handed to HttpCore. */
    private volatile boolean produced;
    /** The body's bytes, and whether they are known before its end: then the last may leave before its end is told. */
    private final boolean told;

    private volatile long payload;
    private EndpointDetails endpoint;
    private Runnable sending = () -> {};
    private long sentBefore;
    private HttpResponse response;
    private long length = -1;
    private int interim;
    private volatile boolean begun;
    private volatile boolean whole;
    private boolean reusable;

    /**
     * What an answer may be.
     *
     * @param body no longer body is taken
     * @param window from this many bytes on an answer is handed on in pieces; 0 if it never is
     */
    record Limits(long body, int window) {}

    Call(HttpRequest request, Body body, Limits limits, CallListener listener) {
        this.request = request;
        this.body = body;
        this.limits = limits;
        this.listener = listener;
        left = body instanceof Body.Whole bytes ? ByteBuffer.wrap(bytes.bytes()) : ByteBuffer.allocate(0);
        produced = body instanceof Body.Whole && !left.hasRemaining();
        told = !(body instanceof Body.Streamed streamed) || streamed.length() >= 0;
        payload = body instanceof Body.Streamed streamed ? streamed.length() : left.remaining();
    }

    /** Told on the I/O thread just before the first byte of the request. */
    void beforeSending(Runnable listener) {
        sending = listener;
    }

    /** Whose bytes are counted, and how many had been sent before this call. */
    void on(EndpointDetails connection) {
        endpoint = connection;
        sentBefore = connection.getSentBytesCount();
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        sending.run();
        channel.sendRequest(
                request,
                body instanceof Body.Streamed streamed
                        ? new BasicEntityDetails(streamed.length(), null)
                        : left.hasRemaining() ? new BasicEntityDetails(left.remaining(), null) : null,
                context);
    }

    @Override
    public int available() {
        return body instanceof Body.Streamed streamed
                ? produced ? 0 : streamed.pipe().drained() ? 1 : streamed.pipe().held()
                : left.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (body instanceof Body.Streamed streamed) {
            Pipe pipe = streamed.pipe();
            if (!hooked) {
                hooked = true;
                pipe.whenReady(channel::requestOutput);
            }
            pipe.take(channel::write);
            if (!produced && pipe.drained()) {
                payload = pipe.put();
                produced = true;
                channel.endStream();
            }
            return;
        }
        channel.write(left);
        if (!left.hasRemaining()) {
            produced = true;
            channel.endStream();
        }
    }

    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) throws HttpException {
        // An interim answer says nothing that the decisions need. Guards against a server that sends no other.
        if (++interim > INTERIM_LIMIT) {
            throw new ProtocolException("over " + INTERIM_LIMIT + " interim answers");
        }
    }

    @Override
    public void consumeResponse(HttpResponse head, EntityDetails entity, HttpContext context) throws HttpException {
        length = entity == null ? 0 : entity.getContentLength();
        if (length > most(head)) {
            throw new ProtocolException("answer over " + most(head) + " bytes");
        }
        response = head;
        reusable = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, head, context);
        whole = entity == null;
    }

    /** How long the answer's body may be: what is kept whole because it is no 200 is short. */
    private long most(HttpResponse head) {
        return limits.window == 0 || streams(head) ? limits.body : Bounds.BODY;
    }

    private boolean streams(HttpResponse head) {
        return limits.window > 0 && head.getCode() == HttpStatus.SC_OK;
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        if (limits.window == 0) {
            channel.update(Integer.MAX_VALUE);
        } else {
            answer.creditTo(bytes -> grant(channel, bytes));
        }
    }

    private static void grant(CapacityChannel channel, int bytes) {
        try {
            channel.update(bytes);
        } catch (IOException e) {
            // The connection has ended: nothing more is read on it.
        }
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        long total = answer.put() + data.remaining();
        // Guards against an answer that would not end: memory is small and shared by all sessions.
        if (total > most(response)) {
            throw new IOException("answer over " + most(response) + " bytes");
        }
        answer.put(data);
        if (!begun
                && streams(response)
                && (length > Bounds.BODY || length < 0 && total > Bounds.UNTOLD || total > Bounds.BODY)) {
            begun = true;
            answer.shrink(Bounds.WINDOW - limits.window);
            listener.begun(response, new Body.Streamed(answer, length));
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException {
        if (response == null) {
            throw new ProtocolException("body without a head");
        }
        whole = true;
        answer.end();
    }

    @Override
    public void failed(Exception cause) {
        end();
    }

    @Override
    public void cancel() {
        end();
    }

    @Override
    public void releaseResources() {
        end();
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            wrote();
            // Pieces that were taken are gone even if none of their bytes went out: a call made again would lack them.
            boolean gone =
                    body instanceof Body.Streamed streamed && streamed.pipe().taken();
            boolean sent = gone || endpoint.getSentBytesCount() > sentBefore;
            listener.ended(new Reply(
                    whole ? response : null,
                    begun || !whole ? new byte[0] : answer.all(),
                    sent,
                    writtenTold.get(),
                    whole && reusable && produced));
            if (!whole) {
                // Only now: whoever passes the answer on hears of the cut after it is known that the server made it.
                answer.breakOff();
            }
        }
    }

    /** Some output has been written: tells once if the last byte of this was among it. */
    void wrote() {
        if (!writtenTold.get()
                && (produced || told)
                && endpoint.getSentBytesCount() - sentBefore >= headLength() + payload
                && writtenTold.compareAndSet(false, true)) {
            listener.written();
        }
    }

    /** The bytes of the request's head as HttpCore writes it. */
    private long headLength() {
        long length = request.getMethod().length() + request.getPath().length() + " HTTP/1.1\r\n".length() + 1;
        for (Header header : request.getHeaders()) {
            length += header.getName().length() + header.getValue().length() + ": \r\n".length();
        }
        return length + 2;
    }
}
