package calicochute.connection;

import calicochute.exchange.Body;
import calicochute.exchange.ByteBudget;
import calicochute.exchange.Pipe;
import calicochute.exchange.ReadWindow;
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
 * One request and its response on one connection; a call is never sent again. Bodies go through pipes in both
 * directions: a short response is buffered until it is complete, a long one is streamed. The end of the call is
 * reported once, on an I/O thread.
 */
final class Call implements AsyncClientExchangeHandler {
    /** Number of 1xx responses accepted before the final one. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final HttpRequest request;
    private final Body body;
    private final Limits limits;
    private final CallListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicBoolean requestWrittenNotified = new AtomicBoolean();
    private final Pipe responseBody = new Pipe();
    private final ReadWindow responseWindow;
    private CapacityChannel capacity;
    /** Bytes that may be read, but could not be granted yet because HttpCore had given no capacity channel. */
    private int ungrantedBytes;

    private ByteBuffer remainingBody;
    private boolean readyListenerSet;
    /** The last byte of the request body was passed to HttpCore. */
    private volatile boolean requestBodyProduced;
    /**
     * Whether the request body's length is known before its end: its last byte may then be sent before the end of the
     * body is reported.
     */
    private final boolean bodyLengthKnown;

    /** Length of the request body; -1 while it is unknown. */
    private volatile long requestBodyBytes;

    private EndpointDetails endpoint;
    private Runnable beforeSendingListener = () -> {};
    private Runnable endListener = () -> {};
    private long sentBytesBefore;
    private HttpResponse response;
    private long responseLength = -1;
    private int interimResponses;
    private volatile boolean responseStreaming;
    private volatile boolean responseComplete;
    private boolean connectionReusable;

    /**
     * Limits of the response.
     *
     * @param maxBodyBytes longest body that is accepted
     * @param windowBytes how many bytes of a streamed response are read ahead; 0 if the response is never streamed
     * @param share reserves the memory of a response that may be streamed; else null
     */
    record Limits(long maxBodyBytes, int windowBytes, ByteBudget.Share share) {
        /** A response that is always buffered whole. */
        static Limits buffered(int maxBodyBytes) {
            return new Limits(maxBodyBytes, 0, null);
        }

        /** A response that is streamed if it is long, or if there is no memory to buffer it. */
        static Limits streamed(int windowBytes, ByteBudget.Share share) {
            return new Limits(Bounds.MAX_BODY_BYTES, windowBytes, share);
        }

        private boolean mayStream() {
            return windowBytes > 0;
        }
    }

    Call(HttpRequest request, Body body, Limits limits, CallListener listener) {
        this.request = request;
        this.body = body;
        this.limits = limits;
        this.listener = listener;
        responseWindow = limits.mayStream() ? new ReadWindow(responseBody, limits.share, limits.windowBytes) : null;
        remainingBody =
                body instanceof Body.Buffered buffered ? ByteBuffer.wrap(buffered.bytes()) : ByteBuffer.allocate(0);
        requestBodyProduced = body instanceof Body.Buffered && !remainingBody.hasRemaining();
        bodyLengthKnown = !(body instanceof Body.Streamed streamed) || streamed.length() >= 0;
        requestBodyBytes = body instanceof Body.Streamed streamed ? streamed.length() : remainingBody.remaining();
    }

    /** Sets the listener called on the I/O thread just before the first byte of the request is sent. */
    void beforeSending(Runnable listener) {
        beforeSendingListener = listener;
    }

    /** Sets the listener called on an I/O thread when the call has ended and its result was reported. */
    void onEnd(Runnable listener) {
        endListener = listener;
    }

    /** Sets the connection whose sent bytes are counted, and records how many were sent before this call. */
    void attach(EndpointDetails connection) {
        endpoint = connection;
        sentBytesBefore = connection.getSentBytesCount();
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        beforeSendingListener.run();
        channel.sendRequest(
                request,
                body instanceof Body.Streamed streamed
                        ? new BasicEntityDetails(streamed.length(), null)
                        : remainingBody.hasRemaining() ? new BasicEntityDetails(remainingBody.remaining(), null) : null,
                context);
    }

    @Override
    public int available() {
        return body instanceof Body.Streamed streamed
                ? requestBodyProduced
                        ? 0
                        : streamed.pipe().drained() ? 1 : streamed.pipe().bufferedBytes()
                : remainingBody.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (body instanceof Body.Streamed streamed) {
            Pipe pipe = streamed.pipe();
            if (!readyListenerSet) {
                readyListenerSet = true;
                pipe.setReadyListener(channel::requestOutput);
            }
            pipe.writeTo(channel::write);
            if (!requestBodyProduced && pipe.drained()) {
                requestBodyBytes = pipe.totalBytes();
                requestBodyProduced = true;
                channel.endStream();
            }
            return;
        }
        channel.write(remainingBody);
        if (!remainingBody.hasRemaining()) {
            requestBodyProduced = true;
            channel.endStream();
        }
    }

    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) throws HttpException {
        // Interim (1xx) responses are ignored. The limit stops a server that sends nothing else.
        if (++interimResponses > MAX_INTERIM_RESPONSES) {
            throw new ProtocolException("over " + MAX_INTERIM_RESPONSES + " interim responses");
        }
    }

    @Override
    public void consumeResponse(HttpResponse head, EntityDetails entity, HttpContext context) throws HttpException {
        responseLength = entity == null ? 0 : entity.getContentLength();
        if (responseLength > maxBodyBytes(head)) {
            throw new ProtocolException("response body over " + maxBodyBytes(head) + " bytes");
        }
        response = head;
        connectionReusable = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, head, context);
        responseComplete = entity == null;
        if (limits.mayStream() && !mayStream(head)) {
            // Nobody needs the body of such a response.
            responseBody.cancel();
        }
    }

    /** The longest body accepted for this response: one that is not a 200 is discarded, so it has to be short. */
    private long maxBodyBytes(HttpResponse head) {
        return !limits.mayStream() || mayStream(head) ? limits.maxBodyBytes : Bounds.MAX_BUFFERED_BODY_BYTES;
    }

    private boolean mayStream(HttpResponse head) {
        return limits.mayStream() && head.getCode() == HttpStatus.SC_OK;
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        if (!limits.mayStream()) {
            channel.update(Integer.MAX_VALUE);
            return;
        }
        capacity = channel;
        grant(channel, ungrantedBytes);
        ungrantedBytes = 0;
        responseBody.setCreditListener(bytes -> {
            responseWindow.bytesTaken();
            grant(channel, bytes);
        });
        if (!mayStream(response) || responseStreaming) {
            return;
        }
        int bytes = responseWindow.extendToBuffer(responseLength);
        if (bytes > 0) {
            grant(channel, bytes);
        } else {
            startStreaming();
        }
    }

    /** Passes the response on before its end was received. */
    private void startStreaming() {
        responseStreaming = true;
        int bytes = responseWindow.beginStreaming();
        if (capacity == null) {
            ungrantedBytes = bytes;
        } else {
            grant(capacity, bytes);
        }
        listener.responseStarted(response, new Body.Streamed(responseBody, responseLength));
    }

    private static void grant(CapacityChannel channel, int bytes) {
        try {
            channel.update(bytes);
        } catch (IOException e) {
            // The connection has ended; nothing more is read from it.
        }
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        long total = responseBody.totalBytes() + data.remaining();
        // Bounds the memory that an endless response takes; all sessions share it.
        if (total > maxBodyBytes(response)) {
            throw new IOException("response body over " + maxBodyBytes(response) + " bytes");
        }
        responseBody.put(data);
        if (!responseStreaming
                && mayStream(response)
                && (responseLength > Bounds.MAX_BUFFERED_BODY_BYTES
                        || responseLength < 0 && total > Bounds.MAX_BUFFERED_UNKNOWN_LENGTH_BYTES
                        || total > Bounds.MAX_BUFFERED_BODY_BYTES)) {
            startStreaming();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException {
        if (response == null) {
            throw new ProtocolException("body without a response head");
        }
        responseComplete = true;
        responseBody.complete();
    }

    @Override
    public void failed(Exception cause) {
        finish();
    }

    @Override
    public void cancel() {
        finish();
    }

    @Override
    public void releaseResources() {
        finish();
    }

    private void finish() {
        if (ended.compareAndSet(false, true)) {
            outputWritten();
            // Bytes taken from a streamed body are lost even if none were sent, so a repeated call would lack them.
            boolean bodyConsumed =
                    body instanceof Body.Streamed streamed && streamed.pipe().readStarted();
            boolean requestStarted = bodyConsumed || endpoint.getSentBytesCount() > sentBytesBefore;
            listener.ended(new CallResult(
                    responseComplete ? response : null,
                    responseStreaming || !responseComplete ? new byte[0] : responseBody.takeAll(),
                    requestStarted,
                    requestWrittenNotified.get(),
                    responseComplete && connectionReusable && requestBodyProduced));
            if (!responseComplete) {
                // The body is aborted only after the result: whoever forwards the response must already know that the
                // server ended it.
                responseBody.abort();
            }
            endListener.run();
        }
    }

    /** Called after output was written: notifies the listener once if the last byte of this request was sent. */
    void outputWritten() {
        if (!requestWrittenNotified.get()
                && (requestBodyProduced || bodyLengthKnown)
                && endpoint.getSentBytesCount() - sentBytesBefore >= headLength() + requestBodyBytes
                && requestWrittenNotified.compareAndSet(false, true)) {
            listener.requestWritten();
        }
    }

    /** The length in bytes of the request head as HttpCore writes it. */
    private long headLength() {
        long length = request.getMethod().length() + request.getPath().length() + " HTTP/1.1\r\n".length() + 1;
        for (Header header : request.getHeaders()) {
            length += header.getName().length() + header.getValue().length() + ": \r\n".length();
        }
        return length + 2;
    }
}
