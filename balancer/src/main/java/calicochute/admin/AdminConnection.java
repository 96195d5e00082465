package calicochute.admin;

import calicochute.framing.CompleteHeadParser;
import calicochute.framing.ParserLimits;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/** A connection to the admin address, for one call. Used by that address's I/O thread. */
final class AdminConnection {
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().build();
    /** Time from the start of the connection to the last byte of the call. */
    private static final long CALL_TIMEOUT_MS = 2000;
    /** Idle timeout from the last byte of the call on. */
    private static final long ANSWER_TIMEOUT_MS = 5000;

    private final AdminServer server;
    private final ProtocolIOSession session;
    private final long openedAtNanos = System.nanoTime();
    private volatile boolean callComplete;

    private AdminConnection(AdminServer server, ProtocolIOSession session) {
        this.server = server;
        this.session = session;
    }

    /** Creates the event handler of a new connection. */
    static ServerHttp1IOEventHandler handler(
            ProtocolIOSession session, AdminServer server, Callback<Exception> onException) {
        AdminConnection connection = new AdminConnection(server, session);
        session.setSocketTimeout(Timeout.ofMilliseconds(CALL_TIMEOUT_MS));
        return new ServerHttp1IOEventHandler(new ServerHttp1StreamDuplexerFactory(
                        PROCESSOR,
                        (request, context) ->
                                new BasicAsyncServerExpectationDecorator(new CallHandler(connection), onException),
                        ParserLimits.HTTP_CONFIG,
                        CharCodingConfig.DEFAULT,
                        null,
                        () -> new CompleteHeadParser<>(
                                new DefaultHttpRequestParserFactory(ParserLimits.HTTP_CONFIG).create()),
                        null,
                        null,
                        onException)
                .create("http", session)) {
            @Override
            public void connected(IOSession opened) throws IOException {
                super.connected(opened);
                server.opened(connection);
            }

            @Override
            public void inputReady(IOSession from, ByteBuffer source) throws IOException {
                super.inputReady(from, source);
                connection.enforceCallTimeout();
            }

            @Override
            public void timeout(IOSession from, Timeout timeout) {
                connection.close();
            }

            @Override
            public void disconnected(IOSession from) {
                server.closed(connection);
                super.disconnected(from);
            }
        };
    }

    /**
     * Guards against a caller that sends its call slowly, byte by byte: HttpCore's timeout starts again with each byte
     * received.
     */
    private void enforceCallTimeout() {
        if (!callComplete) {
            long remainingMs = CALL_TIMEOUT_MS - (System.nanoTime() - openedAtNanos) / 1_000_000;
            if (remainingMs <= 0) {
                close();
            } else {
                session.setSocketTimeout(Timeout.ofMilliseconds(remainingMs));
            }
        }
    }

    /** Marks the call as received; from here on the timeout is that of the answer. */
    void markCallComplete() {
        callComplete = true;
        session.setSocketTimeout(Timeout.ofMilliseconds(ANSWER_TIMEOUT_MS));
    }

    boolean callComplete() {
        return callComplete;
    }

    void close() {
        if (!callComplete) {
            counters().count(Counter.ADMIN_CALLERS_CLOSED);
        }
        session.close(CloseMode.IMMEDIATE);
    }

    Operations operations() {
        return server.operations();
    }

    Counters counters() {
        return server.counters();
    }
}
