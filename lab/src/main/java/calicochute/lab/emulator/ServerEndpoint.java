package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.ConnectionState;
import calicochute.lab.socket.Blackhole;
import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.socket.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.ListenerEndpoint;

/** The address of a server for callers of one zone, with its connections. */
final class ServerEndpoint implements Connection.Listener, Sockets.Acceptor {
    final String zone;
    /** The one-way delay between the callers and the server. */
    final long oneWayDelayMicros;

    final Set<Connection> connections = new LinkedHashSet<>();
    private final EmulatedServer server;
    private final EmulationContext context;
    private InetSocketAddress address;
    private ListenerEndpoint listener;
    private Blackhole blackhole;

    ServerEndpoint(EmulatedServer server, EmulationContext context, String zone) {
        this.server = server;
        this.context = context;
        this.zone = zone;
        oneWayDelayMicros =
                context.deployment.oneWayDelayMicros(zone, server.spec().zone());
    }

    InetSocketAddress address() {
        return address;
    }

    void open(InetSocketAddress requested) throws IOException {
        listener = context.sockets.listen(requested, this);
        address = (InetSocketAddress) listener.getAddress();
    }

    void reopen() throws IOException {
        if (listener == null && blackhole == null) {
            listener = context.sockets.listen(address, this);
        }
        updateReachability();
    }

    void close() {
        if (listener != null) {
            Closer.closeQuietly(listener);
            listener = null;
        }
        if (blackhole != null) {
            blackhole.close();
            blackhole = null;
        }
    }

    /** Cuts the endpoint off if the server or its zone is, or reconnects it, which resets connections from before. */
    void updateReachability() {
        boolean cutOff =
                server.unreachable() || context.isCut(zone, server.spec().zone());
        if (!server.up() || cutOff == (blackhole != null)) {
            return;
        }
        try {
            close();
            if (cutOff) {
                blackhole = new Blackhole(address);
                connections.forEach(connection -> ((ConnectionState) connection.attachment).unreachable = true);
            } else {
                for (Connection connection : connections) {
                    if (((ConnectionState) connection.attachment).job != null) {
                        context.ruleChecker.dispatchEnded(
                                context.eventLoop.now(), ((ConnectionState) connection.attachment).job.dispatch);
                    }
                    connection.reset();
                }
                server.openConnections.addAndGet(-connections.size());
                connections.clear();
                listener = context.sockets.listen(address, this);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Called on an I/O thread; a connection beyond the machine's limit is reset at once. */
    @Override
    public Connection.Listener apply(InetSocketAddress peer) {
        if (server.openConnections.incrementAndGet() > server.spec().kind().connections()) {
            server.openConnections.decrementAndGet();
            return null;
        }
        return this;
    }

    @Override
    public void accepted(Connection connection) {
        ConnectionState state = new ConnectionState();
        state.idleSince = context.eventLoop.now();
        connection.attachment = state;
        if (!server.up()) {
            connection.reset();
        } else {
            state.unreachable = blackhole != null;
            connections.add(connection);
        }
    }

    @Override
    public void message(Connection connection, HttpMessage message) {
        if (server.up()) {
            server.requestHandler().requestReceived(this, connection, message);
        }
    }

    @Override
    public void malformed(Connection connection, String reason) {
        // Balancers must not forward malformed requests; the response is that of a usual server.
        connection.write(HttpMessage.response(400, "Connection: close\r\n", new byte[0]));
        connection.close();
        closed(connection, false, true);
    }

    @Override
    public void closed(Connection connection, boolean reset, boolean midMessage) {
        if (connections.remove(connection)) {
            server.openConnections.decrementAndGet();
        }
        server.requestHandler().callerDisconnected(connection);
    }
}
