package calicochute.frontend;

import calicochute.exchange.DecisionQueue;
import calicochute.exchange.Sessions;
import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import calicochute.settings.Configuration;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;

/** The clients' side: an HTTP server whose requests become exchanges. One I/O thread carries all connections. */
public final class Frontend implements AutoCloseable {
    private static final String READY = "/ready";
    private static final String COUNTERS = "/counters";
    /** A client that has connected speaks at once; one that has had its answer may pause for a while. */
    private static final long SILENT_MS = 250;
    private static final long IDLE_MS = 2000;
    private static final long PAUSE_MS = 50;
    private static final long LISTEN_MS = 2000;
    private static final IOReactorConfig REACTOR = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true)
        .setBacklogSize(1024).setSoReuseAddress(true).setSelectInterval(TimeValue.ofMilliseconds(100)).build();
    private final SessionReader reader;
    private final DecisionQueue clock;
    private final Sessions sessions;
    private final Counters counters;
    private final BooleanSupplier ready;
    private final Callback<Exception> onFault = e -> Log.info("client-connection", String.valueOf(e.getMessage()));
    private InetSocketAddress address;
    private DefaultListeningIOReactor reactor;
    private Thread acceptor;
    private volatile ListenerEndpoint listener;
    private final int room;
    /** Clients' connections, the oldest first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private volatile int connected;
    private volatile boolean closing;
    private volatile boolean stopped;

    public Frontend(Configuration configuration, DecisionQueue clock, Sessions sessions, Counters counters,
                    BooleanSupplier ready) {
        reader = new SessionReader(configuration.settings());
        this.clock = clock;
        this.sessions = sessions;
        this.counters = counters;
        this.ready = ready;
        room = configuration.bounds().clientConnections();
    }

    /** Starts to listen and returns the address in use. */
    public InetSocketAddress start(InetSocketAddress at) throws IOException, InterruptedException {
        address = at;
        listen();
        return (InetSocketAddress) listener.getAddress();
    }

    private synchronized void listen() throws IOException, InterruptedException {
        if (stopped) {
            return;
        }
        Thread[] accepting = new Thread[1];
        DefaultListeningIOReactor next = new DefaultListeningIOReactor(
            (session, attachment) -> ClientConnection.on(session, this, onFault), REACTOR,
            task -> new Thread(task, "frontend-io"),
            task -> accepting[0] = new Thread(() -> {
                task.run();
                listenAgain();
            }, "frontend-accept"), null, onFault, null, ShutdownCommand.GRACEFUL_NORMAL_CALLBACK);
        next.start();
        try {
            // HttpCore never completes this if there is no descriptor for the listening socket.
            listener = next.listen(address, null).get(LISTEN_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            next.close(CloseMode.IMMEDIATE);
            throw new IOException("cannot listen at " + address + ": "
                + (e.getCause() == null ? "no answer" : e.getCause().getMessage()), e);
        }
        if (reactor != null) {
            // Its connections go on to the ends of their answers.
            reactor.initiateShutdown();
        }
        reactor = next;
        acceptor = accepting[0];
    }

    private synchronized boolean acceptorEnded() {
        return !stopped && acceptor == Thread.currentThread();
    }

    /**
     * Guards against HttpCore's acceptor, which ends at the first connection that there is no descriptor for: clients
     * by the hundred in one moment can use them up before the first is closed.
     */
    private void listenAgain() {
        while (acceptorEnded()) {
            try {
                Thread.sleep(PAUSE_MS);
                listen();
                counters.count(Counter.ACCEPTOR_RESTARTS);
                Log.warn("acceptor-restarted", "connections=" + connected);
                return;
            } catch (IOException | IllegalStateException e) {
                Log.info("acceptor-waits", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** From now on each answer is the last on its connection. */
    public void closeAfterAnswers() {
        closing = true;
    }

    /** Takes no more connections and closes the idle ones; what is being answered goes on to its end. */
    public void stopListening() {
        stopped = true;
        DefaultListeningIOReactor last = last();
        Closer.closeQuietly(listener);
        last.initiateShutdown();
    }

    private synchronized DefaultListeningIOReactor last() {
        return reactor;
    }

    @Override
    public void close() {
        last().close(CloseMode.GRACEFUL);
    }

    boolean answersItself(String path) {
        return path.equals(READY) || path.equals(COUNTERS);
    }

    /** The text of a page of our own; null while not ready. */
    String page(String path) {
        return path.equals(COUNTERS) ? counters.text() : ready.getAsBoolean() && !closing ? "ready\n" : null;
    }

    SessionReader reader() {
        return reader;
    }

    long now() {
        return clock.now();
    }

    Sessions sessions() {
        return sessions;
    }

    Counters counters() {
        return counters;
    }

    /** Counts a client's connection in, and ends another one if there are too many. */
    synchronized void opened(ClientConnection connection) {
        counters.count(Counter.CLIENTS_ACCEPTED);
        connections.add(connection);
        connected = connections.size();
        if (connected > room) {
            leastNeeded(connection).close(Counter.CLIENTS_CLOSED_FOR_ROOM);
        }
    }

    synchronized void closed(ClientConnection connection) {
        connections.remove(connection);
        connected = connections.size();
    }

    /**
     * Guards against descriptors running out, with which accepting would end for good: the client that has said
     * nothing for the longest time, else the one idle longest, else the newcomer; never one that is owed an answer.
     */
    private ClientConnection leastNeeded(ClientConnection newcomer) {
        ClientConnection idle = null;
        for (ClientConnection connection : connections) {
            if (connection.silentMs() >= SILENT_MS) {
                return connection;
            }
            if (connection.idleMs() >= IDLE_MS && (idle == null || connection.idleMs() > idle.idleMs())) {
                idle = connection;
            }
        }
        return idle == null ? newcomer : idle;
    }

    /** Whether an answer is to be its connection's last: at the end, and when room is getting short. */
    boolean closing() {
        return closing || connected > room * 3 / 4;
    }
}
