package calicochute.frontend;

import calicochute.exchange.Body;
import calicochute.exchange.Exchange;
import calicochute.exchange.Field;
import calicochute.exchange.Pipe;
import calicochute.exchange.Response;
import calicochute.exchange.ResponseSender;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;

/**
 * One request on a client's connection: hands it over as an exchange, whole if it is short and in pieces if not, and
 * writes the answer likewise.
 */
final class SessionHandler implements AsyncServerExchangeHandler, ResponseSender, ResetWatch.Watched {
    /** In seconds, as precise as it is written: rounded to 0 it would say to come back at once. */
    private static final double LEAST_AWAY = 0.001;

    private final ClientConnection.State connection;
    private final Frontend frontend;
    private final Pipe body = new Pipe();
    private final AtomicLong granted = new AtomicLong();
    private final ReadAhead.Part beyond;
    private volatile CapacityChannel capacity;
    private long declared = -1;
    private HttpRequest request;
    private ResponseChannel channel;
    private HttpContext context;
    private volatile Exchange exchange;
    private volatile boolean answering;
    private volatile Pipe answer = new Pipe();
    private boolean hooked;
    /** An answer in pieces has begun and its end has not been told. */
    private volatile boolean passing;

    private volatile boolean produced;
    private volatile boolean released;
    private int cutRounds;

    SessionHandler(ClientConnection.State connection) {
        this.connection = connection;
        frontend = connection.frontend;
        beyond = frontend.readAhead().part();
    }

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel out, HttpContext ctx)
            throws HttpException, IOException {
        request = head;
        channel = out;
        context = ctx;
        connection.headRead();
        if (entity == null) {
            arrived();
        } else if (entity.getContentLength() > Bounds.LONGEST_BODY) {
            // At the head: a client that says it will send too much need not do so first.
            refuse(tooLong());
        } else {
            declared = entity.getContentLength();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel to) throws IOException {
        body.setCreditListener(bytes -> {
            beyond.keep(body.withheldCredit());
            grant(to, bytes);
        });
        capacity = to;
        if (!waits()) {
            connection.paused(this::windowUsedUp);
        } else if (!readAhead()) {
            connection.paused(this::windowUsedUp);
            frontend.resets().add((SocketChannel) connection.session.channel(), this);
        }
    }

    /** Nothing of a long body has been handed on yet, and someone waits for its answer. */
    @Override
    public boolean waits() {
        return exchange != null && exchange.awaitsResponse() && !body.readStarted() && !released;
    }

    /**
     * Guards against a dispatch for a client that has gone: as long as none has begun its end has to be seen, and it
     * comes behind what it had sent before. False if there is no room for more.
     */
    private boolean readAhead() {
        int more = beyond.more(body::grantAhead);
        if (more > 0) {
            grant(capacity, more);
        }
        return more > 0;
    }

    @Override
    public void again() {
        if (windowUsedUp()) {
            readAhead();
        }
    }

    @Override
    public void reset() {
        connection.session.close(CloseMode.IMMEDIATE);
    }

    private void grant(CapacityChannel to, int bytes) {
        granted.addAndGet(bytes);
        connection.paused(this::windowUsedUp);
        try {
            to.update(bytes);
        } catch (IOException e) {
            Log.info("client-connection", String.valueOf(e.getMessage()));
        }
    }

    private boolean windowUsedUp() {
        return body.totalBytes() - granted.get() >= Bounds.WINDOW;
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        connection.bodyRead(data.remaining());
        try {
            if (body.totalBytes() + data.remaining() > Bounds.LONGEST_BODY) {
                data.position(data.limit());
                if (answering) {
                    throw new IOException("body over " + Bounds.LONGEST_BODY + " bytes");
                }
                refuse(tooLong());
            } else {
                body.put(data);
                if (exchange == null && !answering && body.totalBytes() > Bounds.BODY) {
                    body.shrinkWindow(Bounds.WINDOW - frontend.window());
                    begin(new Body.Streamed(body, declared));
                }
            }
        } catch (HttpException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        arrived();
    }

    private static SessionReader.BadInput tooLong() {
        return new SessionReader.BadInput(413, "body over " + Bounds.LONGEST_BODY + " bytes");
    }

    private void refuse(SessionReader.BadInput e) throws HttpException, IOException {
        frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        Log.warn("bad-input", "status=" + e.status + " " + e.getMessage());
        // Guards against floods: whoever sends what can't be used starts again on a new connection.
        connection.refuse();
        respond(e.status, List.of(), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The last byte of the request has come. */
    private void arrived() throws HttpException, IOException {
        connection.received();
        body.complete();
        if (exchange != null) {
            frontend.sessions().requestCompleted(exchange);
        } else if (!answering) {
            begin(new Body.Buffered(body.toByteArray()));
        }
    }

    private void begin(Body from) throws HttpException, IOException {
        if (frontend.answersItself(request.getPath())) {
            String text = frontend.page(request.getPath());
            respond(
                    text == null ? 503 : 200,
                    List.of(),
                    (text == null ? "not ready\n" : text).getBytes(StandardCharsets.US_ASCII));
            return;
        }
        try {
            exchange = frontend.reader().read(request, from, frontend.now(), this);
        } catch (SessionReader.BadInput e) {
            refuse(e);
            return;
        }
        frontend.sessions().sessionStarted(exchange);
    }

    @Override
    public void send(Response given) {
        try {
            if (given instanceof Response.Served served) {
                respond(200, served.fields(), served.body());
            } else if (given instanceof Response.Denied denied) {
                respond(
                        503,
                        denied.retryAfterMicros() <= 0
                                ? List.of()
                                : List.of(new Field(
                                        "Retry-After",
                                        String.format(
                                                Locale.ROOT,
                                                "%.3f",
                                                Math.max(LEAST_AWAY, denied.retryAfterMicros() / 1e6)))),
                        new byte[0]);
            } else if (given instanceof Response.Failed failed) {
                respond(failed.deadlineExceeded() ? 504 : 502, List.of(), new byte[0]);
            } else if (given instanceof Response.Rejected rejected) {
                respond(rejected.status(), List.of(), new byte[0]);
            } else {
                connection.refuse();
                respond(409, List.of(), "X-Txn is still being worked on\n".getBytes(StandardCharsets.US_ASCII));
            }
        } catch (HttpException | IOException | IllegalStateException e) {
            // The client's connection has ended meanwhile; its handler is told by failed().
            Log.info("answer-not-sent", String.valueOf(e.getMessage()));
        }
    }

    private void respond(int status, List<Field> fields, byte[] bytes) throws HttpException, IOException {
        respond(status, fields, new Body.Buffered(bytes));
    }

    private void respond(int status, List<Field> fields, Body from) throws HttpException, IOException {
        HttpResponse response = new BasicHttpResponse(status);
        for (Field field : fields) {
            response.addHeader(field.name(), field.value());
        }
        if (connection.last || frontend.closing() && !connection.receiving) {
            response.addHeader("Connection", "close");
            // Before the answer begins: a request that is read behind it would be sent on and end with the connection.
            connection.last = true;
        }
        long length;
        if (from instanceof Body.Streamed streamed) {
            answer = streamed.pipe();
            length = streamed.length();
            passing = true;
        } else {
            byte[] bytes = ((Body.Buffered) from).bytes();
            Pipe own = new Pipe();
            own.put(ByteBuffer.wrap(bytes));
            own.complete();
            answer = own;
            length = bytes.length;
        }
        answering = true;
        // What is still held of a request that is answered before its end is not wanted any more; the rest is read and
        // dropped.
        body.cancel();
        if (length >= 0) {
            response.addHeader("Content-Length", Long.toString(length));
        } else {
            response.addHeader("Transfer-Encoding", "chunked");
        }
        channel.sendResponse(response, length == 0 ? null : new BasicEntityDetails(length, null), context);
    }

    @Override
    public int available() {
        return produced || !answering ? 0 : answer.drained() || answer.truncated() ? 1 : answer.bufferedBytes();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (produced || connection.endsCut()) {
            return;
        }
        if (!hooked) {
            hooked = true;
            answer.setReadyListener(out::requestOutput);
            if (passing) {
                connection.passing();
            }
        }
        answer.writeTo(out::write);
        if (answer.truncated()) {
            // Guards against a client that takes a part for the whole: the connection ends with the message unfinished,
            // but
            // only once what there was has left HttpCore's own buffer.
            if (++cutRounds > 2) {
                connection.session.close(CloseMode.GRACEFUL);
            }
        } else if (answer.drained()) {
            produced = true;
            out.endStream();
            passed(true);
            connection.answered();
        }
    }

    private void passed(boolean whole) {
        if (passing) {
            passing = false;
            frontend.sessions().responseEnded(exchange, whole);
        }
    }

    /** True from the hand-over of a session until its answer is begun, or over if it goes in pieces. */
    boolean owesAnswer() {
        return exchange != null && !answering || passing;
    }

    /** An answer in pieces has begun and its client has not taken all of it. */
    boolean passes() {
        return passing;
    }

    /** The client does not read an answer that there is. */
    boolean clientStalls() {
        return passing && answer.bufferedBytes() > 0;
    }

    @Override
    public void failed(Exception cause) {
        body.abort();
        if (passing) {
            answer.cancel();
            passed(false);
        } else if (owesAnswer()) {
            frontend.sessions().clientGone(exchange);
        }
    }

    /**
     * True from the hand-over of a session, or an answer of our own, until HttpCore has written the answer's last byte.
     */
    boolean unwritten() {
        return (exchange != null || answering) && !released;
    }

    @Override
    public void releaseResources() {
        released = true;
        beyond.close();
        // Guards against an end that HttpCore tells in no other way.
        passed(produced);
    }
}
