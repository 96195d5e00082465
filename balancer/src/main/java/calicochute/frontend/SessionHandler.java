package calicochute.frontend;

import calicochute.exchange.Answer;
import calicochute.exchange.Exchange;
import calicochute.exchange.Field;
import calicochute.exchange.Respondent;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
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

/** One request on a client's connection: collects it, hands it over as an exchange, writes the answer. */
final class SessionHandler implements AsyncServerExchangeHandler, Respondent {
    /** Beyond this much of a body that is too long the connection is ended instead of read on. */
    private static final int DISCARD_LIMIT = 4 * Bounds.BODY;
    private final ClientConnection.State connection;
    private final Frontend frontend;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private long received;
    private HttpRequest request;
    private ResponseChannel channel;
    private HttpContext context;
    private Exchange exchange;
    private volatile ByteBuffer answer = ByteBuffer.allocate(0);
    private volatile boolean answering;

    SessionHandler(ClientConnection.State connection) {
        this.connection = connection;
        frontend = connection.frontend;
    }

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel out, HttpContext ctx)
            throws HttpException, IOException {
        request = head;
        channel = out;
        context = ctx;
        if (entity == null) {
            begin();
        } else if (entity.getContentLength() > Bounds.BODY) {
            // At the head: a client that says it will send too much need not do so first.
            refuse(tooLong());
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        received += data.remaining();
        if (received > DISCARD_LIMIT) {
            throw new IOException("body over " + DISCARD_LIMIT + " bytes");
        }
        if (received <= Bounds.BODY) {
            byte[] bytes = new byte[data.remaining()];
            data.get(bytes);
            body.write(bytes, 0, bytes.length);
        } else {
            data.position(data.limit());
            if (!answering) {
                try {
                    refuse(tooLong());
                } catch (HttpException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        begin();
    }

    private static SessionReader.BadInput tooLong() {
        return new SessionReader.BadInput(413, "body over " + Bounds.BODY + " bytes");
    }

    private void refuse(SessionReader.BadInput e) throws HttpException, IOException {
        frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        Log.warn("bad-input", "status=" + e.status + " " + e.getMessage());
        // Guards against floods: whoever sends what can't be used starts again on a new connection.
        connection.refuse();
        respond(e.status, List.of(), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void begin() throws HttpException, IOException {
        if (answering) {
            return;
        }
        connection.received();
        if (frontend.answersItself(request.getPath())) {
            String text = frontend.page(request.getPath());
            respond(text == null ? 503 : 200, List.of(), (text == null ? "not ready\n" : text)
                .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        try {
            exchange = frontend.reader().read(request, body.toByteArray(), frontend.now(), this);
        } catch (SessionReader.BadInput e) {
            refuse(e);
            return;
        }
        frontend.sessions().taken(exchange);
    }

    @Override
    public void answer(Answer given) {
        try {
            if (given instanceof Answer.Served served) {
                respond(200, served.fields(), served.body());
            } else if (given instanceof Answer.Denied denied) {
                respond(503, denied.retryAfter() <= 0 ? List.of() : List.of(new Field("Retry-After",
                    String.format(Locale.ROOT, "%.3f", denied.retryAfter() / 1e6))), new byte[0]);
            } else if (given instanceof Answer.Failed failed) {
                respond(failed.late() ? 504 : 502, List.of(), new byte[0]);
            } else if (given instanceof Answer.Rejected rejected) {
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
        HttpResponse response = new BasicHttpResponse(status);
        for (Field field : fields) {
            response.addHeader(field.name(), field.value());
        }
        if (connection.last || frontend.closing()) {
            response.addHeader("Connection", "close");
        }
        answer = ByteBuffer.wrap(bytes);
        answering = true;
        response.addHeader("Content-Length", Integer.toString(bytes.length));
        channel.sendResponse(response, bytes.length == 0 ? null : new BasicEntityDetails(bytes.length, null),
            context);
    }

    @Override
    public int available() {
        return answer.remaining();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (answer.hasRemaining()) {
            out.write(answer);
            if (!answer.hasRemaining()) {
                out.endStream();
            }
        }
    }

    /** True from the hand-over of a session until its answer is begun. */
    boolean owesAnswer() {
        return exchange != null && !answering;
    }

    @Override
    public void failed(Exception cause) {
        if (owesAnswer()) {
            frontend.sessions().clientGone(exchange);
        }
    }

    @Override
    public void releaseResources() {
        // Nothing is held beyond the exchange itself.
    }
}
