package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.Held;
import calicochute.lab.socket.Blackhole;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.socket.Link;
import calicochute.lab.socket.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.ListenerEndpoint;

/** A server's address for callers of one zone. */
final class ServerDoor implements Link.Owner, Sockets.Acceptor {
    final String zone;
    /** One way from its callers, in microseconds. */
    final long delay;

    final Set<Link> links = new LinkedHashSet<>();
    private final ServerHost server;
    private final Site site;
    private InetSocketAddress address;
    private ListenerEndpoint listener;
    private Blackhole blackhole;

    ServerDoor(ServerHost server, Site site, String zone) {
        this.server = server;
        this.site = site;
        this.zone = zone;
        delay = site.deployment.oneWayDelayMicros(zone, server.spec().zone());
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
                links.forEach(l -> ((Held) l.mark).dead = true);
            } else {
                for (Link link : links) {
                    if (((Held) link.mark).job != null) {
                        site.referee.ended(site.world.now(), ((Held) link.mark).job.dispatch);
                    }
                    link.reset();
                }
                server.connections.addAndGet(-links.size());
                links.clear();
                listener = site.sockets.listen(address, this);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** On an I/O thread: a connection too many is ended as it comes up. */
    @Override
    public Link.Owner apply(InetSocketAddress from) {
        if (server.connections.incrementAndGet() > server.spec().kind().connections()) {
            server.connections.decrementAndGet();
            return null;
        }
        return this;
    }

    @Override
    public void accepted(Link link) {
        Held held = new Held();
        held.idleSince = site.world.now();
        link.mark = held;
        if (!server.up()) {
            link.reset();
        } else {
            held.dead = blackhole != null;
            links.add(link);
        }
    }

    @Override
    public void message(Link link, HttpMessage message) {
        if (server.up()) {
            server.work().arrived(this, link, message);
        }
    }

    @Override
    public void unreadable(Link link, String why) {
        // Balancers must not send this on; whoever did is answered as a server would.
        link.write(HttpMessage.answer(400, "Connection: close\r\n", new byte[0]));
        link.close();
        closed(link, false, true);
    }

    @Override
    public void closed(Link link, boolean reset, boolean midway) {
        if (links.remove(link)) {
            server.connections.decrementAndGet();
        }
        server.work().gaveUp(link);
    }
}
