package calicochute.connection;

import calicochute.framing.CompleteLineBuffer;
import calicochute.framing.ParserLimits;
import calicochute.lifecycle.ServingThreads;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
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

/** Opens connections to backend servers and other servers; one I/O thread serves all of them. */
public final class Connector implements AutoCloseable {
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create().build();
    /**
     * If file descriptors are exhausted, the shortage handler frees some and the connect is retried, as nothing was
     * sent yet.
     */
    private static final int MAX_CONNECT_RETRIES = 3;

    /** Delays a retry by 20 ms. */
    private static final Executor RETRY_EXECUTOR =
            CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS, Runnable::run);

    private final ServingThreads threads;
    private final DefaultConnectingIOReactor reactor;
    private volatile BooleanSupplier descriptorShortage = () -> false;

    public Connector() {
        threads = new ServingThreads("backend-io", true);
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setSelectInterval(TimeValue.ofMilliseconds(50))
                .build();
        reactor = new DefaultConnectingIOReactor(this::createHandler, config, threads, null, null, null, null);
    }

    public void start() {
        reactor.start();
    }

    /**
     * Opens a connection. The callbacks run on an I/O thread: {@code opened} with a usable connection, {@code failed}
     * with the cause, {@code closed} when an opened connection ends.
     */
    public Connection open(
            InetSocketAddress address,
            long timeoutMicros,
            Consumer<Connection> opened,
            Consumer<Exception> failed,
            Consumer<Connection> closed) {
        Connection connection = new Connection(closed);
        // The host name is set explicitly: HttpHost would otherwise do a reverse lookup, which can take seconds.
        HttpHost host = new HttpHost(null, address.getAddress(), address.getHostString(), address.getPort());
        connect(connection, host, address, opened, failed, 0);
        // The reactor measures its own timeout by the wall clock, which may step.
        CompletableFuture.delayedExecutor(Math.max(1000, timeoutMicros), TimeUnit.MICROSECONDS, Runnable::run)
                .execute(connection::cancelUnlessConnected);
        return connection;
    }

    private void connect(
            Connection connection,
            HttpHost host,
            InetSocketAddress address,
            Consumer<Connection> opened,
            Consumer<Exception> failed,
            int retries) {
        connection.setConnectFuture(reactor.connect(
                host, address, null, Timeout.DISABLED, connection, new FutureCallback<IOSession>() {
                    @Override
                    public void completed(IOSession session) {
                        connection.connected(session);
                        opened.accept(connection);
                    }

                    @Override
                    public void failed(Exception cause) {
                        if (retries < MAX_CONNECT_RETRIES && descriptorShortage.getAsBoolean()) {
                            RETRY_EXECUTOR.execute(() -> {
                                if (connection.closed()) {
                                    failed.accept(cause);
                                } else {
                                    connect(connection, host, address, opened, failed, retries + 1);
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

    /**
     * Sets the handler that is asked when a connect fails: it returns true if the cause was a shortage of file
     * descriptors and one may soon be free.
     */
    public void onDescriptorShortage(BooleanSupplier listener) {
        descriptorShortage = listener;
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        session.setSocketTimeout(Timeout.DISABLED);
        Connection connection = (Connection) attachment;
        return new ClientHttp1IOEventHandler(
                new ClientHttp1StreamDuplexer(
                        session,
                        PROCESSOR,
                        ParserLimits.HTTP_CONFIG,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        new ResponseHeadParser(connection),
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
                        return super.createContentDecoder(length, from, new CompleteLineBuffer(buffer), metrics);
                    }
                }) {
            @Override
            public void outputReady(IOSession readySession) throws IOException {
                super.outputReady(readySession);
                connection.outputWritten();
            }

            @Override
            public void disconnected(IOSession endedSession) {
                super.disconnected(endedSession);
                connection.disconnected();
            }
        };
    }

    @Override
    public void close() {
        threads.expectEnd();
        reactor.close(CloseMode.IMMEDIATE);
    }
}
