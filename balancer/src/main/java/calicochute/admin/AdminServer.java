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

/** The second address: operators' calls over HTTP/1.1, on a listener and an I/O thread of their own. */
public final class AdminServer {
    private static final int BACKLOG = 256;
    private final Operations operations;
    private final Counters counters;
    private final BooleanSupplier lacking;
    /** Callers' connections, the oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    /** @param lacking asked when nothing could be accepted */
    public AdminServer(Operations operations, Counters counters, BooleanSupplier lacking) {
        this.lacking = lacking;
        this.operations = operations;
        this.counters = counters;
    }

    /** Starts to listen and returns the address in use. */
    public InetSocketAddress start(InetSocketAddress address) throws IOException {
        Callback<Exception> onFault = e -> Log.info("admin-connection", String.valueOf(e.getMessage()));
        ConnectionAcceptor listening = ConnectionAcceptor.bind(
                address,
                BACKLOG,
                Bounds.ADMIN_CONNECTIONS + Bounds.EXTRA_ACCEPTED_CONNECTIONS,
                "admin",
                (session, attachment) -> AdminConnection.on(session, this, onFault),
                onFault,
                counters);
        listening.onDescriptorShortage(lacking);
        return listening.start();
    }

    Operations operations() {
        return operations;
    }

    Counters counters() {
        return counters;
    }

    /**
     * Guards against callers who sit on connections: one too many costs the one that is oldest without a whole call,
     * else the newcomer.
     */
    synchronized void opened(AdminConnection connection) {
        connections.add(connection);
        if (connections.size() > Bounds.ADMIN_CONNECTIONS) {
            connections.stream()
                    .filter(c -> !c.isWhole())
                    .findFirst()
                    .orElse(connection)
                    .close();
        }
    }

    synchronized void closed(AdminConnection connection) {
        connections.remove(connection);
    }
}
