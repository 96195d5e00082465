package calicochute.connection;

import calicochute.framing.UncutLines;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Opens connections to servers of any sort; one I/O thread carries them all. */
public final class Connector implements AutoCloseable {
    static final Http1Config LIMITS = Http1Config.custom()
            .setBufferSize(Bounds.BUFFER)
            .setMaxLineLength(Bounds.LINE)
            .setMaxHeaderCount(Bounds.FIELDS)
            .setInitialWindowSize(Bounds.WINDOW)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().build();
    /** Where descriptors are lacking, room is made for the connection, and it is tried again: nothing was sent yet. */
    private static final int RETRIES = 3;

    private static final Executor LATER = CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS, Runnable::run);
    private final DefaultConnectingIOReactor reactor;
    private volatile BooleanSupplier lacking = () -> false;

    public Connector() {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setSelectInterval(TimeValue.ofMilliseconds(50))
                .build();
        reactor = new DefaultConnectingIOReactor(
                this::handler, config, new DefaultThreadFactory("backend-io", true), null, null, null, null);
    }

    public void start() {
        reactor.start();
    }

    /**
     * Opens a connection. Each callback runs on an I/O thread: {@code opened} with a usable connection, {@code failed}
     * with the reason, {@code closed} when an opened one ends.
     */
    public Connection open(
            InetSocketAddress address,
            long timeoutMicros,
            Consumer<Connection> opened,
            Consumer<Exception> failed,
            Consumer<Connection> closed) {
        Connection connection = new Connection(closed);
        Timeout timeout = Timeout.ofMilliseconds(Math.max(1, timeoutMicros / 1000));
        // With its text for a name: HttpHost would ask the system for the address's name, which can take seconds.
        HttpHost host = new HttpHost(null, address.getAddress(), address.getHostString(), address.getPort());
        connect(connection, host, address, timeout, opened, failed, 0);
        return connection;
    }

    private void connect(
            Connection connection,
            HttpHost host,
            InetSocketAddress address,
            Timeout timeout,
            Consumer<Connection> opened,
            Consumer<Exception> failed,
            int tried) {
        connection.opening(reactor.connect(host, address, null, timeout, connection, new FutureCallback<IOSession>() {
            @Override
            public void completed(IOSession session) {
                connection.opened(session);
                opened.accept(connection);
            }

            @Override
            public void failed(Exception cause) {
                if (tried < RETRIES && lacking.getAsBoolean()) {
                    LATER.execute(() -> {
                        if (connection.closed()) {
                            failed.accept(cause);
                        } else {
                            connect(connection, host, address, timeout, opened, failed, tried + 1);
                        }
                    });
                } else {
                    failed.accept(cause);
                }
            }

            @Override
            public void cancelled() {
                failed.accept(new IOException("cancelled"));
            }
        }));
    }

    /** Asked when a connection could not be opened: true if it was for lack of descriptors, and one may soon be had. */
    public void whenLacking(BooleanSupplier listener) {
        lacking = listener;
    }

    private IOEventHandler handler(ProtocolIOSession session, Object attachment) {
        session.setSocketTimeout(Timeout.DISABLED);
        Connection connection = (Connection) attachment;
        return new ClientHttp1IOEventHandler(
                new ClientHttp1StreamDuplexer(
                        session,
                        PROCESSOR,
                        LIMITS,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        new AnswerGuard(connection),
                        DefaultHttpRequestWriterFactory.INSTANCE.create(),
                        DefaultContentLengthStrategy.INSTANCE,
                        DefaultContentLengthStrategy.INSTANCE,
                        null) {
                    @Override
                    protected ContentDecoder createContentDecoder(
                            long length,
                            ReadableByteChannel from,
                            SessionInputBuffer buffer,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return super.createContentDecoder(length, from, new UncutLines(buffer), metrics);
                    }
                }) {
            @Override
            public void outputReady(IOSession ready) throws IOException {
                super.outputReady(ready);
                connection.wrote();
            }

            @Override
            public void disconnected(IOSession ended) {
                super.disconnected(ended);
                connection.disconnected();
            }
        };
    }

    @Override
    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }
}
