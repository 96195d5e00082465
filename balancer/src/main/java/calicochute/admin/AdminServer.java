package calicochute.admin;

import calicochute.listening.ConnectionAcceptor;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.function.Callback;

/** The HTTP/1.1 server of the admin address, with a listener and an I/O thread of its own. */
public final class AdminServer {
    /** Length of the listening socket's queue of connections that wait to be accepted. */
    private static final int BACKLOG = 256;

    private final Operations operations;
    private final Counters counters;
    private ConnectionAcceptor acceptor;
    private final BooleanSupplier descriptorShortage;
    /** Open connections, the oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    /** @param descriptorShortage called when accepting fails, see {@link ConnectionAcceptor#onDescriptorShortage} */
    public AdminServer(Operations operations, Counters counters, BooleanSupplier descriptorShortage) {
        this.descriptorShortage = descriptorShortage;
        this.operations = operations;
        this.counters = counters;
    }

    /** Starts to listen and returns the bound address. */
    public InetSocketAddress start(InetSocketAddress address) throws IOException {
        Callback<Exception> onException = e -> Log.info("admin-connection", String.valueOf(e.getMessage()));
        acceptor = ConnectionAcceptor.bind(
                address,
                BACKLOG,
                Bounds.ADMIN_CONNECTIONS + Bounds.EXTRA_ACCEPTED_CONNECTIONS,
                "admin",
                (session, attachment) -> AdminConnection.handler(session, this, onException),
                onException,
                counters);
        acceptor.onDescriptorShortage(descriptorShortage);
        return acceptor.start();
    }

    /** Has the timeouts of all connections checked, whatever the wall clock does; called after the start. */
    public void checkTimeouts() {
        acceptor.checkTimeouts();
    }

    Operations operations() {
        return operations;
    }

    Counters counters() {
        return counters;
    }

    /**
     * Guards against callers that hold connections without using them. Above the maximum, the oldest connection without
     * a complete call is closed; if all calls are complete, the new connection is.
     */
    synchronized void opened(AdminConnection connection) {
        connections.add(connection);
        if (connections.size() > Bounds.ADMIN_CONNECTIONS) {
            connections.stream()
                    .filter(c -> !c.callComplete())
                    .findFirst()
                    .orElse(connection)
                    .close();
        }
    }

    synchronized void closed(AdminConnection connection) {
        connections.remove(connection);
    }
}
