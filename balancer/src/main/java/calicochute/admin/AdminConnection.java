package calicochute.admin;

import calicochute.framing.CompleteHeadParser;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
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

/** One caller's connection to the second address, for one call. All on that address's I/O thread. */
final class AdminConnection {
    private static final Http1Config LIMITS = Http1Config.custom()
            .setBufferSize(Bounds.READ_BUFFER_BYTES)
            .setMaxLineLength(Bounds.MAX_LINE_BYTES)
            .setMaxHeaderCount(Bounds.MAX_HEADERS)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().build();
    /** From the connection's start to the call's last byte, and from there to the end. */
    private static final long CALL_MS = 2000;

    private static final long ANSWER_MS = 5000;
    private final AdminServer server;
    private final ProtocolIOSession session;
    private final long openedAt = System.nanoTime();
    private volatile boolean whole;

    private AdminConnection(AdminServer server, ProtocolIOSession session) {
        this.server = server;
        this.session = session;
    }

    static ServerHttp1IOEventHandler on(ProtocolIOSession session, AdminServer server, Callback<Exception> onFault) {
        AdminConnection connection = new AdminConnection(server, session);
        session.setSocketTimeout(Timeout.ofMilliseconds(CALL_MS));
        return new ServerHttp1IOEventHandler(new ServerHttp1StreamDuplexerFactory(
                        PROCESSOR,
                        (request, context) ->
                                new BasicAsyncServerExpectationDecorator(new CallHandler(connection), onFault),
                        LIMITS,
                        CharCodingConfig.DEFAULT,
                        null,
                        () -> new CompleteHeadParser<>(new DefaultHttpRequestParserFactory(LIMITS).create()),
                        null,
                        null,
                        onFault)
                .create("http", session)) {
            @Override
            public void connected(IOSession opened) throws IOException {
                super.connected(opened);
                server.opened(connection);
            }

            @Override
            public void inputReady(IOSession from, ByteBuffer source) throws IOException {
                super.inputReady(from, source);
                connection.bound();
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

    /** Guards against a caller that sends a byte now and then: HttpCore's own time-out starts anew with each. */
    private void bound() {
        if (!whole) {
            long left = CALL_MS - (System.nanoTime() - openedAt) / 1_000_000;
            if (left <= 0) {
                close();
            } else {
                session.setSocketTimeout(Timeout.ofMilliseconds(left));
            }
        }
    }

    /** The call has come whole: from here on the caller waits for us. */
    void whole() {
        whole = true;
        session.setSocketTimeout(Timeout.ofMilliseconds(ANSWER_MS));
    }

    boolean isWhole() {
        return whole;
    }

    void close() {
        if (!whole) {
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
