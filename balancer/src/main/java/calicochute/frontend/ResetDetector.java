package calicochute.frontend;

import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Log;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects resets on connections that are not being read. The JDK selector that serves them removes a channel without
 * interest operations from the system's poll set. This one registers its channels for OP_CONNECT: their connect is
 * complete, so they become ready only on an error or hang-up. It is polled at intervals and never blocks, because the
 * system itself would report the channels as writable.
 *
 * <p>This avoids dispatches for clients that are gone. A close without a reset is not detected here: it is seen only
 * after all input before it was read.
 */
final class ResetDetector implements AutoCloseable {
    /** Well below the 0.1 s within which a dispatch may still begin after its client disconnected. */
    private static final long POLL_INTERVAL_MICROS = 25_000;

    /** The party that is notified of a reset. */
    interface Watcher {
        /** Whether the connection is still to be watched. */
        boolean wantsWatching();

        /** The connection was reset. */
        void connectionReset();

        /** The connection was polled and is not reset. */
        void polledWithoutReset();
    }

    private final Selector selector;
    private final DecisionQueue queue;
    private boolean polling;

    ResetDetector(DecisionQueue queue) throws IOException {
        this.queue = queue;
        selector = Selector.open();
    }

    /**
     * Watches a connection as long as its watcher wants; any thread may call. Only the latest watcher of a connection
     * is notified.
     */
    synchronized void watch(SocketChannel channel, Watcher watcher) {
        try {
            SelectionKey key = channel.keyFor(selector);
            if (key != null && !key.isValid()) {
                // The cancelled key stays registered until the next select.
                selector.selectNow();
            }
            channel.register(selector, SelectionKey.OP_CONNECT, watcher);
        } catch (IOException | IllegalStateException e) {
            // The channel or the selector is closed already; the session learns of that in other ways.
            Log.info("reset-not-watched", String.valueOf(e.getMessage()));
            return;
        }
        if (!polling) {
            polling = true;
            queue.post(() -> queue.schedule(POLL_INTERVAL_MICROS, this::poll));
        }
    }

    private void poll() {
        List<Watcher> reset = new ArrayList<>();
        List<Watcher> alive = new ArrayList<>();
        synchronized (this) {
            try {
                selector.selectNow(key -> reset.add((Watcher) key.attachment()));
                for (SelectionKey key : selector.keys()) {
                    Watcher watcher = (Watcher) key.attachment();
                    if (!watcher.wantsWatching() || reset.contains(watcher)) {
                        key.cancel();
                    } else {
                        alive.add(watcher);
                    }
                }
                // A cancelled key holds its descriptor until the next select.
                polling = !selector.keys().isEmpty();
            } catch (IOException | IllegalStateException e) {
                Log.info("reset-not-watched", String.valueOf(e.getMessage()));
                polling = false;
            }
            if (polling) {
                queue.schedule(POLL_INTERVAL_MICROS, this::poll);
            }
        }
        // Called without the lock, because watchers take locks of their own.
        reset.stream().filter(Watcher::wantsWatching).forEach(Watcher::connectionReset);
        alive.forEach(Watcher::polledWithoutReset);
    }

    @Override
    public synchronized void close() {
        try {
            selector.close();
        } catch (IOException e) {
            Log.info("reset-not-watched", String.valueOf(e.getMessage()));
        }
    }
}
