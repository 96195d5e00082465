package calicochute.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** One request and its answer on one connection; never sent again. Its end is told once, from an I/O thread. */
final class Call implements AsyncClientExchangeHandler {
    private static final int INTERIM_LIMIT = 16;
    private final HttpRequest request;
    private final ByteBuffer body;
    private final int bodyLimit;
    private final Runnable written;
    private final Consumer<Reply> end;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
    private final AtomicBoolean writtenTold = new AtomicBoolean();
    private EndpointDetails endpoint;
    private long sentBefore;
    private HttpResponse response;
    private int interim;
    private boolean whole;
    private boolean reusable;

    Call(HttpRequest request, byte[] body, int bodyLimit, Runnable written, Consumer<Reply> end) {
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.bodyLimit = bodyLimit;
        this.written = written;
        this.end = end;
    }

    /** Whose bytes are counted, and how many had been sent before this call. */
    void on(EndpointDetails connection) {
        endpoint = connection;
        sentBefore = connection.getSentBytesCount();
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        channel.sendRequest(request, body.hasRemaining() ? new BasicEntityDetails(body.remaining(), null) : null,
            context);
    }

    @Override
    public int available() {
        return body.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        channel.write(body);
        if (!body.hasRemaining()) {
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
        if (entity != null && entity.getContentLength() > bodyLimit) {
            throw new ProtocolException("answer over " + bodyLimit + " bytes");
        }
        response = head;
        reusable = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, head, context);
        whole = entity == null;
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        // Guards against an answer that would not end: memory is small and shared by all sessions.
        if (answer.size() + data.remaining() > bodyLimit) {
            throw new IOException("answer over " + bodyLimit + " bytes");
        }
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        answer.write(bytes, 0, bytes.length);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException {
        if (response == null) {
            throw new ProtocolException("body without a head");
        }
        whole = true;
    }

    @Override
    public void failed(Exception cause) {
        whole = false;
        end();
    }

    @Override
    public void cancel() {
        whole = false;
        end();
    }

    @Override
    public void releaseResources() {
        end();
    }

    private void end() {
        if (ended.compareAndSet(false, true)) {
            wrote();
            long sent = endpoint.getSentBytesCount() - sentBefore;
            end.accept(new Reply(whole ? response : null, answer.toByteArray(), sent > 0, writtenTold.get(),
                whole && reusable && !body.hasRemaining()));
        }
    }

    /** Some output has been written: tells once if the last byte of this was among it. */
    void wrote() {
        if (!writtenTold.get() && endpoint.getSentBytesCount() - sentBefore >= headLength() + body.capacity()
            && writtenTold.compareAndSet(false, true)) {
            written.run();
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
