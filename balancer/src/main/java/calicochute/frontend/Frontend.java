package calicochute.frontend;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.SessionListener;
import calicochute.listening.ConnectionAcceptor;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.presence.Presence;
import calicochute.settings.Bounds;
import calicochute.settings.Configuration;
import calicochute.settings.Succession;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;

/** The clients' side: an HTTP server whose requests become exchanges. One I/O thread carries all connections. */
public final class Frontend implements AutoCloseable {
    private static final String READY = "/ready";
    private static final String COUNTERS = "/counters";
    private static final int BACKLOG = 1024;
    private final SessionReader reader;
    private final DecisionQueue clock;
    private final SessionListener sessions;
    private final Counters counters;
    private final BooleanSupplier ready;
    private final Callback<Exception> onFault = e -> Log.info("client-connection", String.valueOf(e.getMessage()));
    private final InetSocketAddress address;
    private final ServerSocketChannel inherited;
    private volatile ConnectionAcceptor listening;
    private final int most;
    private final Room room;
    private final int window;
    private final ReadAhead readAhead;
    private final ResetWatch resets;
    /** Clients' connections, the oldest first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private volatile int connected;
    private final Supplier<Presence> presence;

    /**
     * @param inherited the socket that listens for clients already, or null to listen at the configuration's address
     */
    public Frontend(
            Configuration configuration,
            ServerSocketChannel inherited,
            DecisionQueue clock,
            SessionListener sessions,
            Counters counters,
            BooleanSupplier ready,
            Supplier<Presence> presence,
            Supplier<Succession> settings)
            throws IOException {
        reader = new SessionReader(settings);
        this.clock = clock;
        this.sessions = sessions;
        this.counters = counters;
        this.ready = ready;
        this.presence = presence;
        most = configuration.bounds().clientConnections();
        room = new Room(most);
        window = configuration.bounds().window();
        readAhead = new ReadAhead(configuration.bounds().ahead());
        resets = new ResetWatch(clock);
        address = configuration.listen();
        this.inherited = inherited;
    }

    /** Starts to listen and returns the address in use. */
    public InetSocketAddress start() throws IOException {
        IOEventHandlerFactory handlers = (session, attachment) -> ClientConnection.on(session, this, onFault);
        listening = inherited == null
                ? ConnectionAcceptor.bind(
                        address, BACKLOG, most + Bounds.AHEAD, "frontend", handlers, onFault, counters)
                : ConnectionAcceptor.adopt(inherited, most + Bounds.AHEAD, "frontend", handlers, onFault, counters);
        listening.onDescriptorShortage(this::lacking);
        return listening.start();
    }

    /** Takes no more connections; what is being answered goes on to its end. */
    public void stopAccepting() throws InterruptedException {
        listening.stopAccepting();
    }

    /**
     * Has each connection looked at on which nothing is asked or owed: its I/O thread ends it if nothing has come in.
     */
    public synchronized void endIdle() {
        connections.forEach(ClientConnection::endIfIdle);
    }

    /** Ends each answer in pieces that its client has not taken yet, unfinished, where the client can tell. */
    public synchronized void cutAnswers() {
        connections.forEach(ClientConnection::cutAnswer);
    }

    @Override
    public void close() {
        listening.close();
        resets.close();
    }

    boolean answersItself(String path) {
        return path.equals(READY) || path.equals(COUNTERS);
    }

    /** The text of a page of our own; null while not ready. */
    String page(String path) {
        return path.equals(COUNTERS)
                ? counters.text()
                : ready.getAsBoolean() && presence.get().ready() ? "ready\n" : null;
    }

    /** How far ahead of its server a long request is read. */
    int window() {
        return window;
    }

    /** What may be read beyond that while no server has been given anything. */
    ReadAhead readAhead() {
        return readAhead;
    }

    /** Sees resets where nothing is read. */
    ResetWatch resets() {
        return resets;
    }

    SessionReader reader() {
        return reader;
    }

    long now() {
        return clock.now();
    }

    SessionListener sessions() {
        return sessions;
    }

    Counters counters() {
        return counters;
    }

    /**
     * Counts a client's connection in, and ends another one if there are too many; the newcomer itself only above what
     * was promised: where descriptors are fewer it has its own already.
     */
    synchronized void opened(ClientConnection connection) {
        counters.count(Counter.CLIENTS_ACCEPTED);
        connections.add(connection);
        connected = connections.size();
        if (connected > room.at(now())) {
            ClientConnection least = leastNeeded(Set.of(connection));
            if (least != null) {
                least.makeRoom();
            } else if (connected > most) {
                connection.makeRoom();
            }
        }
    }

    /**
     * Something could not be opened or accepted; any thread may say so. If it is for lack of descriptors the clients
     * that are least needed end; true if one may soon be had.
     */
    public boolean lacking() {
        return outOfDescriptors() && makeRoom();
    }

    /** The exception's own text depends on the language of the system. */
    private static boolean outOfDescriptors() {
        try {
            SocketChannel.open().close();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Descriptors lack: true if some will soon be free. */
    synchronized boolean makeRoom() {
        if (!room.lacks(now(), connected)) {
            return true;
        }
        Set<ClientConnection> ended = new HashSet<>();
        for (int over = connected - room.at(now()); over > 0; over--) {
            ClientConnection least = leastNeeded(ended);
            if (least == null) {
                break;
            }
            least.makeRoom();
            ended.add(least);
        }
        Log.warn("descriptors-lacking", "clients=" + connected + " ended=" + ended.size());
        return !ended.isEmpty();
    }

    synchronized void closed(ClientConnection connection) {
        connections.remove(connection);
        connected = connections.size();
    }

    /**
     * Guards against descriptors running out: the one least needed, of equal ones the one that has been so the longest;
     * never one that is owed an answer, nor one of those. Null if there is none.
     */
    private ClientConnection leastNeeded(Set<ClientConnection> but) {
        ClientConnection least = null;
        ClientConnection.Need need = ClientConnection.Need.OWED;
        for (ClientConnection connection : connections) {
            ClientConnection.Need other = but.contains(connection) ? ClientConnection.Need.OWED : connection.need();
            // Bytes that wait are half a request as well: looked for only where it matters.
            boolean less =
                    other == need ? least != null && connection.idleMs() > least.idleMs() : other.compareTo(need) < 0;
            if (less && (other == ClientConnection.Need.SHUT || !connection.bytesWait())) {
                least = connection;
                need = other;
            }
        }
        return least;
    }

    public int connected() {
        return connected;
    }

    boolean endsIdle() {
        return presence.get().endsIdle(now());
    }

    /** Whether an answer is to be its connection's last: at the end, and when room is getting short. */
    boolean closing() {
        return presence.get().lastAnswers() || connected > room.at(now()) * 3 / 4;
    }
}
