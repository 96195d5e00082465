package calicochute.frontend;

import calicochute.exchange.Body;
import calicochute.exchange.Exchange;
import calicochute.exchange.Field;
import calicochute.exchange.Pipe;
import calicochute.exchange.RequestProgress;
import calicochute.exchange.Response;
import calicochute.exchange.SessionClient;
import calicochute.exchange.SessionMemory;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
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
import org.apache.hc.core5.io.CloseMode;

/**
 * One request on a client connection: passes it on as an exchange, buffered if it is short and streamed if it is long,
 * and writes the response the same way.
 */
final class SessionHandler implements AsyncServerExchangeHandler, SessionClient, ResetDetector.Watcher {
    /** The smallest Retry-After that three decimals can express; 0 would ask for an immediate retry. */
    private static final double MIN_RETRY_AFTER_SECONDS = 0.001;

    private final ClientConnection.State connection;
    private final Frontend frontend;
    private final SessionMemory memory;
    private final RequestBody requestBody;
    private final RequestProgress progress;

    private HttpRequest request;
    private ResponseChannel responseChannel;
    private HttpContext context;
    private volatile Exchange exchange;
    private volatile boolean responding;
    private volatile Pipe responseBody = new Pipe();
    private boolean readyListenerSet;
    /** Whether a streamed response has begun and its end was not reported yet. */
    private volatile boolean streamingResponse;

    private volatile boolean responseProduced;
    private volatile boolean released;
    /**
     * How often output was requested after a truncated response body was written; on the third time the connection is
     * closed.
     */
    private int roundsAfterTruncation;

    SessionHandler(ClientConnection.State connection) {
        this.connection = connection;
        frontend = connection.frontend;
        memory = new SessionMemory(frontend.bodyBudget());
        requestBody = new RequestBody(connection, memory.request());
        progress = connection.progressOfRequest();
        connection.requestBegun();
    }

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext httpContext)
            throws HttpException, IOException {
        request = head;
        responseChannel = channel;
        context = httpContext;
        connection.headReceived();
        if (entity == null) {
            completeRequest();
        } else if (entity.getContentLength() > Bounds.MAX_BODY_BYTES) {
            // Rejected at the head, so that the client need not send the body first.
            reject(bodyTooLong());
        } else {
            requestBody.declareLength(entity.getContentLength());
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        requestBody.setCapacity(channel);
        if (exchange == null && !responding) {
            if (requestBody.readToBuffer()) {
                return;
            }
            frontend.counters().count(Counter.REQUESTS_STREAMED_FOR_ROOM);
            startStreaming();
        }
        if (!wantsWatching()) {
            requestBody.updatePaused();
        } else if (!requestBody.readAhead()) {
            requestBody.updatePaused();
            frontend.resetDetector().watch((SocketChannel) connection.session.channel(), this);
        }
    }

    /** Starts the session before the last byte of its request was received. */
    private void startStreaming() throws IOException {
        try {
            startSession(requestBody.stream());
        } catch (HttpException e) {
            throw new IOException(e);
        }
    }

    /** Whether a client waits for the response and no part of the body was passed on yet. */
    @Override
    public boolean wantsWatching() {
        return exchange != null && exchange.awaitsResponse() && !requestBody.readStarted() && !released;
    }

    @Override
    public void polledWithoutReset() {
        if (requestBody.windowUsedUp()) {
            requestBody.readAhead();
        }
    }

    @Override
    public void connectionReset() {
        connection.session.close(CloseMode.IMMEDIATE);
    }

    @Override
    public void consume(ByteBuffer data) throws IOException {
        connection.bodyReceived(data.remaining());
        try {
            if (requestBody.totalBytes() + data.remaining() > Bounds.MAX_BODY_BYTES) {
                data.position(data.limit());
                if (responding) {
                    throw new IOException("body over " + Bounds.MAX_BODY_BYTES + " bytes");
                }
                reject(bodyTooLong());
            } else {
                requestBody.put(data);
                if (exchange == null && !responding && requestBody.totalBytes() > Bounds.MAX_BUFFERED_BODY_BYTES) {
                    startStreaming();
                }
            }
        } catch (HttpException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
        completeRequest();
    }

    private static SessionParser.BadInputException bodyTooLong() {
        return new SessionParser.BadInputException(413, "body over " + Bounds.MAX_BODY_BYTES + " bytes");
    }

    private void reject(SessionParser.BadInputException badInput) throws HttpException, IOException {
        frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        Log.warn("bad-input", "status=" + badInput.status + " " + badInput.getMessage());
        // A client that sends unusable input has to open a new connection, which limits floods.
        connection.closeAfterResponse();
        respond(badInput.status, List.of(), (badInput.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The last byte of the request was received. */
    private void completeRequest() throws HttpException, IOException {
        progress.complete(frontend.nowMicros());
        connection.requestReceived();
        requestBody.complete();
        if (exchange != null) {
            frontend.sessions().requestCompleted(exchange);
        } else if (!responding) {
            startSession(requestBody.takeBuffered());
        }
    }

    private void startSession(Body body) throws HttpException, IOException {
        if (frontend.isOwnPath(request.getPath())) {
            String text = frontend.ownPage(request.getPath());
            respond(
                    text == null ? 503 : 200,
                    List.of(),
                    (text == null ? "not ready\n" : text).getBytes(StandardCharsets.US_ASCII));
            return;
        }
        try {
            exchange = frontend.parser().parse(request, body, progress, frontend.nowMicros(), memory, this);
        } catch (SessionParser.BadInputException e) {
            reject(e);
            return;
        }
        frontend.sessions().sessionStarted(exchange);
    }

    @Override
    public void observeUnread(long nowMicros) {
        requestBody.observeUnread(progress, nowMicros, connection.unreadBytes());
    }

    @Override
    public void send(Response response) {
        try {
            if (response instanceof Response.Served served) {
                respond(200, served.fields(), served.body());
            } else if (response instanceof Response.Denied denied) {
                respond(
                        503,
                        denied.retryAfterMicros() <= 0
                                ? List.of()
                                : List.of(new Field(
                                        "Retry-After",
                                        String.format(
                                                Locale.ROOT,
                                                "%.3f",
                                                Math.max(MIN_RETRY_AFTER_SECONDS, denied.retryAfterMicros() / 1e6)))),
                        new byte[0]);
            } else if (response instanceof Response.Failed failed) {
                respond(failed.deadlineExceeded() ? 504 : 502, List.of(), new byte[0]);
            } else if (response instanceof Response.Rejected rejected) {
                respond(rejected.status(), List.of(), new byte[0]);
            } else {
                connection.closeAfterResponse();
                respond(409, List.of(), "X-Txn was received before\n".getBytes(StandardCharsets.US_ASCII));
            }
        } catch (HttpException | IOException | IllegalStateException e) {
            // The client connection was closed meanwhile; failed() is called for that.
            Log.info("answer-not-sent", String.valueOf(e.getMessage()));
        }
    }

    private void respond(int status, List<Field> fields, byte[] bytes) throws HttpException, IOException {
        respond(status, fields, new Body.Buffered(bytes));
    }

    private void respond(int status, List<Field> fields, Body body) throws HttpException, IOException {
        HttpResponse httpResponse = new BasicHttpResponse(status);
        for (Field field : fields) {
            httpResponse.addHeader(field.name(), field.value());
        }
        if (connection.noMoreRequests || frontend.closesAfterResponse() && !connection.receivingRequest) {
            httpResponse.addHeader("Connection", "close");
            // Set before the response begins: a request read after it would be dispatched and then lost with the
            // connection.
            connection.noMoreRequests = true;
        }
        long length;
        if (body instanceof Body.Streamed streamed) {
            responseBody = streamed.pipe();
            length = streamed.length();
            streamingResponse = true;
        } else {
            byte[] bytes = ((Body.Buffered) body).bytes();
            responseBody = Pipe.complete(bytes);
            length = bytes.length;
        }
        responding = true;
        // If the response comes before the end of the request, the rest of the request is read and discarded.
        requestBody.discard();
        if (length >= 0) {
            httpResponse.addHeader("Content-Length", Long.toString(length));
        } else {
            httpResponse.addHeader("Transfer-Encoding", "chunked");
        }
        responseChannel.sendResponse(httpResponse, length == 0 ? null : new BasicEntityDetails(length, null), context);
    }

    @Override
    public int available() {
        return responseProduced || !responding
                ? 0
                : responseBody.drained() || responseBody.truncated() ? 1 : responseBody.bufferedBytes();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (responseProduced || connection.closeIfAborting()) {
            return;
        }
        if (!readyListenerSet) {
            readyListenerSet = true;
            responseBody.setReadyListener(channel::requestOutput);
            if (streamingResponse) {
                connection.streamingStarted();
            }
        }
        responseBody.writeTo(channel::write);
        if (responseBody.truncated()) {
            // Closes the connection with the message unfinished, so that the client does not take a part for the
            // whole, but only after all received bytes have left HttpCore's own buffer.
            if (++roundsAfterTruncation > 2) {
                connection.session.close(CloseMode.GRACEFUL);
            }
        } else if (responseBody.drained()) {
            responseProduced = true;
            channel.endStream();
            endStreaming(true);
            connection.responseProduced();
        }
    }

    private void endStreaming(boolean complete) {
        if (streamingResponse) {
            streamingResponse = false;
            frontend.sessions().responseEnded(exchange, complete);
        }
    }

    /** Whether a session was passed on and its response has not begun, or is being streamed. */
    boolean owesResponse() {
        return exchange != null && !responding || streamingResponse;
    }

    /** Whether a streamed response has begun and the client has not received all of it. */
    boolean streamingResponse() {
        return streamingResponse;
    }

    /** Whether bytes of a streamed response have been available for that long and the client has read none. */
    boolean clientStalled(long stallMicros) {
        return streamingResponse && responseBody.untakenMicros() >= stallMicros;
    }

    @Override
    public void failed(Exception cause) {
        requestBody.abort();
        if (streamingResponse) {
            responseBody.cancel();
            endStreaming(false);
        } else if (owesResponse()) {
            frontend.sessions().clientGone(exchange);
        }
    }

    /** Whether a session was passed on, or an own response begun, and HttpCore has not written its last byte. */
    boolean responseUnwritten() {
        return (exchange != null || responding) && !released;
    }

    @Override
    public void releaseResources() {
        if (!released) {
            connection.responseWritten();
        }
        released = true;
        requestBody.release();
        memory.releaseConnection();
        if (exchange == null) {
            memory.endSession();
        }
        // Covers ends that HttpCore reports in no other way.
        endStreaming(responseProduced);
    }
}
