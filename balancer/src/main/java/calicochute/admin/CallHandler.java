package calicochute.admin;

import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

/** Receives a call on an admin connection, carries it out and writes the answer. */
final class CallHandler implements AsyncServerExchangeHandler {
    private static final int MAX_BODY_BYTES = 4096;
    private final AdminConnection connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private HttpRequest request;
    private ResponseChannel channel;
    private HttpContext context;
    /** The part of the answer's body that is still to be written. */
    private volatile ByteBuffer answer = ByteBuffer.allocate(0);
    /** Set with the first answer. A call whose body was rejected as too long must not be carried out when it ends. */
    private boolean answered;

    CallHandler(AdminConnection connection) {
        this.connection = connection;
    }

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel out, HttpContext httpContext)
            throws HttpException, IOException {
        request = head;
        channel = out;
        context = httpContext;
        if (entity == null) {
            execute();
        } else if (entity.getContentLength() > MAX_BODY_BYTES) {
            respond(413, "body over " + MAX_BODY_BYTES + " bytes");
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        if (body.size() + data.remaining() > MAX_BODY_BYTES) {
            throw new IOException("body over " + MAX_BODY_BYTES + " bytes");
        }
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        execute();
    }

    private void execute() {
        if (answered) {
            return;
        }
        Operations operations = connection.operations();
        Call call = Call.parse(request.getMethod(), request.getPath(), body.toString(StandardCharsets.UTF_8));
        connection.markCallComplete();
        connection.counters().count(call instanceof Call.Invalid ? Counter.ADMIN_CALLS_WRONG : Counter.ADMIN_CALLS);
        if (call instanceof Call.Health) {
            respond(operations.ready() ? 200 : 503, operations.ready() ? "serving" : "not yet");
        } else if (call instanceof Call.Stats) {
            respond(200, operations.stats());
        } else if (call instanceof Call.Experiments) {
            respond(200, operations.experiments());
        } else if (call instanceof Call.Fleet) {
            respond(200, operations.fleet());
        } else if (call instanceof Call.Cordon cordon) {
            operations.cordon(cordon.host(), result -> finish("cordon " + cordon.host(), result));
        } else if (call instanceof Call.Uncordon uncordon) {
            operations.uncordon(uncordon.host(), result -> finish("uncordon " + uncordon.host(), result));
        } else if (call instanceof Call.Quiesce) {
            operations.quiesce(result -> finish("quiesce", result));
        } else if (call instanceof Call.Resume) {
            operations.resume(result -> finish("resume", result));
        } else if (call instanceof Call.Invalid invalid) {
            respond(invalid.status(), invalid.reason());
        }
    }

    private void finish(String call, Operations.Result result) {
        Log.info("admin", call + " " + result);
        switch (result) {
            case DONE -> respond(200, "done");
            case NO_SUCH_SERVER -> respond(404, "never listed");
            default -> respond(503, "not done; the log says why");
        }
    }

    private void respond(int status, String text) {
        answered = true;
        byte[] bytes = (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8);
        HttpResponse response = new BasicHttpResponse(status);
        response.addHeader("Content-Type", "text/plain; charset=utf-8");
        response.addHeader("Connection", "close");
        response.addHeader("Content-Length", Integer.toString(bytes.length));
        answer = ByteBuffer.wrap(bytes);
        try {
            channel.sendResponse(response, new BasicEntityDetails(bytes.length, null), context);
        } catch (HttpException | IOException | IllegalStateException e) {
            Log.info("admin-answer-not-sent", String.valueOf(e.getMessage()));
        }
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

    @Override
    public void failed(Exception cause) {
        // The caller has disconnected; a call that has begun is carried out nevertheless.
    }

    @Override
    public void releaseResources() {
        // No resources are held.
    }
}
