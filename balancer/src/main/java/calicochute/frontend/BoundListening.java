package calicochute.frontend;

import calicochute.metrics.Counter;
import calicochute.metrics.Counters;
import calicochute.metrics.Log;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;

/** Listens by itself, with HttpCore's acceptor. */
final class BoundListening implements Listening {
    private static final long PAUSE_MS = 50;
    private static final long LISTEN_MS = 2000;
    private final InetSocketAddress address;
    private final IOEventHandlerFactory handlers;
    private final IOReactorConfig config;
    private final Callback<Exception> onFault;
    private final Counters counters;
    private DefaultListeningIOReactor reactor;
    private Thread acceptor;
    private volatile ListenerEndpoint listener;
    private volatile boolean stopped;

    BoundListening(InetSocketAddress address, IOEventHandlerFactory handlers, IOReactorConfig config,
                   Callback<Exception> onFault, Counters counters) {
        this.address = address;
        this.handlers = handlers;
        this.config = config;
        this.onFault = onFault;
        this.counters = counters;
    }

    @Override
    public InetSocketAddress start() throws IOException, InterruptedException {
        listen();
        return (InetSocketAddress) listener.getAddress();
    }

    private synchronized void listen() throws IOException, InterruptedException {
        if (stopped) {
            return;
        }
        Thread[] accepting = new Thread[1];
        DefaultListeningIOReactor next = new DefaultListeningIOReactor(handlers, config,
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
                Log.warn("acceptor-restarted", "address=" + address);
                return;
            } catch (IOException | IllegalStateException e) {
                Log.info("acceptor-waits", String.valueOf(e.getMessage()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void stopAccepting() {
        stopped = true;
        Closer.closeQuietly(listener);
    }

    private synchronized DefaultListeningIOReactor last() {
        return reactor;
    }

    @Override
    public void close() {
        last().close(CloseMode.GRACEFUL);
    }
}
