package calicochute.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestValidateHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** One client's connection: HttpCore's own, which besides notices a client that closes while it is owed an answer. */
final class ClientConnection extends ServerHttp1IOEventHandler {
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().add(new RequestValidateHost()).build();
    private final AtomicReference<SessionHandler> latest;
    private final Frontend frontend;
    private boolean ended;

    private ClientConnection(ProtocolIOSession session, AtomicReference<SessionHandler> latest, Frontend frontend,
                             Callback<Exception> onFault) {
        super(new ServerHttp1StreamDuplexerFactory(PROCESSOR, (request, context) -> {
            SessionHandler handler = new SessionHandler(frontend);
            latest.set(handler);
            return new BasicAsyncServerExpectationDecorator(handler, onFault);
        }, Http1Config.DEFAULT, CharCodingConfig.DEFAULT, null, onFault).create("http", session));
        this.latest = latest;
        this.frontend = frontend;
        frontend.connection(true);
    }

    static ClientConnection on(ProtocolIOSession session, Frontend frontend, Callback<Exception> onFault) {
        return new ClientConnection(session, new AtomicReference<>(), frontend, onFault);
    }

    /**
     * Guards against work for a client that has gone: HttpCore takes the end of its input for a half-closed
     * connection and waits for the answer to be written. Ending the connection tells the session's handler.
     */
    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        super.inputReady(session, source);
        SessionHandler handler = latest.get();
        if (!isOpen() && handler != null && handler.owesAnswer()) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        if (!ended) {
            ended = true;
            frontend.connection(false);
        }
        super.disconnected(session);
    }
}
