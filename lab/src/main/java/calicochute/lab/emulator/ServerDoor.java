package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.Held;
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

/** A server's address for callers of one zone. */
final class ServerDoor implements Connection.Listener, Sockets.Acceptor {
    final String zone;
    /** One way from its callers, in microseconds. */
    final long delay;

    final Set<Connection> connections = new LinkedHashSet<>();
    private final ServerHost server;
    private final Site site;
    private InetSocketAddress address;
    private ListenerEndpoint listener;
    private Blackhole blackhole;

    ServerDoor(ServerHost server, Site site, String zone) {
        this.server = server;
        this.site = site;
        this.zone = zone;
        delay = site.deployment.delay(zone, server.spec().zone());
    }

    InetSocketAddress address() {
        return address;
    }

    void open(InetSocketAddress at) throws IOException {
        listener = site.sockets.listen(at, this);
        address = (InetSocketAddress) listener.getAddress();
    }

    void reopen() throws IOException {
        if (listener == null && blackhole == null) {
            listener = site.sockets.listen(address, this);
        }
        reach();
    }

    void shut() {
        if (listener != null) {
            Closer.closeQuietly(listener);
            listener = null;
        }
        if (blackhole != null) {
            blackhole.close();
            blackhole = null;
        }
    }

    /** Falls silent, or comes back with its old connections reset. */
    void reach() {
        boolean away = server.silent() || site.cut(zone, server.spec().zone());
        if (!server.up() || away == (blackhole != null)) {
            return;
        }
        try {
            shut();
            if (away) {
                blackhole = new Blackhole(address);
                connections.forEach(connection -> ((Held) connection.attachment).dead = true);
            } else {
                for (Connection connection : connections) {
                    if (((Held) connection.attachment).job != null) {
                        site.ruleChecker.dispatchEnded(
                                site.eventLoop.now(), ((Held) connection.attachment).job.dispatch);
                    }
                    connection.reset();
                }
                server.openConnections.addAndGet(-connections.size());
                connections.clear();
                listener = site.sockets.listen(address, this);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** On an I/O thread: a connection too many is ended as it comes up. */
    @Override
    public Connection.Listener apply(InetSocketAddress from) {
        if (server.openConnections.incrementAndGet() > server.spec().kind().connections()) {
            server.openConnections.decrementAndGet();
            return null;
        }
        return this;
    }

    @Override
    public void accepted(Connection connection) {
        Held held = new Held();
        held.idleSince = site.eventLoop.now();
        connection.attachment = held;
        if (!server.up()) {
            connection.reset();
        } else {
            held.dead = blackhole != null;
            connections.add(connection);
        }
    }

    @Override
    public void message(Connection connection, HttpMessage message) {
        if (server.up()) {
            server.work().arrived(this, connection, message);
        }
    }

    @Override
    public void malformed(Connection connection, String reason) {
        // Balancers must not send this on; whoever did is answered as a server would.
        connection.write(HttpMessage.response(400, "Connection: close\r\n", new byte[0]));
        connection.close();
        closed(connection, false, true);
    }

    @Override
    public void closed(Connection connection, boolean reset, boolean midMessage) {
        if (connections.remove(connection)) {
            server.openConnections.decrementAndGet();
        }
        server.work().gaveUp(connection);
    }
}
