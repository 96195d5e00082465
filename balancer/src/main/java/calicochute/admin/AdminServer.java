package calicochute.admin;

import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;

/** The second address: operators' calls over HTTP/1.1, on a listener and an I/O thread of their own. */
public final class AdminServer {
    private static final long LISTEN_MS = 2000;
    private static final IOReactorConfig REACTOR = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true)
        .setBacklogSize(256).setSoReuseAddress(true).setSelectInterval(TimeValue.ofMilliseconds(100)).build();
    private final Operations operations;
    private final Counters counters;
    private final DefaultListeningIOReactor reactor;
    /** Callers' connections, the oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    public AdminServer(Operations operations, Counters counters) {
        this.operations = operations;
        this.counters = counters;
        Callback<Exception> onFault = e -> Log.info("admin-connection", String.valueOf(e.getMessage()));
        reactor = new DefaultListeningIOReactor((session, attachment) -> AdminConnection.on(session, this, onFault),
            REACTOR, new DefaultThreadFactory("admin-io", true), new DefaultThreadFactory("admin-accept", true), null,
            onFault, null,
            ShutdownCommand.GRACEFUL_NORMAL_CALLBACK);
    }

    /** Starts to listen and returns the address in use. */
    public InetSocketAddress start(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        try {
            ListenerEndpoint endpoint = reactor.listen(address, null).get(LISTEN_MS, TimeUnit.MILLISECONDS);
            return (InetSocketAddress) endpoint.getAddress();
        } catch (ExecutionException | TimeoutException e) {
            reactor.close(CloseMode.IMMEDIATE);
            throw new IOException("cannot listen at the second address " + address + ": "
                + (e.getCause() == null ? "no answer" : e.getCause().getMessage()), e);
        }
    }

    Operations operations() {
        return operations;
    }

    Counters counters() {
        return counters;
    }

    /**
     * Guards against callers who sit on connections: one too many costs the one that is oldest without a whole call, else
     * the newcomer.
     */
    synchronized void opened(AdminConnection connection) {
        connections.add(connection);
        if (connections.size() > Bounds.ADMIN_CONNECTIONS) {
            connections.stream().filter(c -> !c.isWhole()).findFirst().orElse(connection).close();
        }
    }

    synchronized void closed(AdminConnection connection) {
        connections.remove(connection);
    }
}
