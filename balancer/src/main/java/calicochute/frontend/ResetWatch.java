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
 * Sees resets on connections that are not read: on the selector that carries them the virtual machine takes a channel
 * without an interest out of the system's poll. Asked for its connect, which is long over, a channel of this one is
 * ready only when the system tells of an error or a hang-up. So it is looked at now and then and never waited at, as
 * the system's own answer would be that it can be written.
 *
 * <p>Guards against a dispatch for a client that has gone. A peer's end without a reset is not seen here: it comes
 * behind its bytes.
 */
final class ResetWatch implements AutoCloseable {
    /** A dispatch may begin for 0.1 s after its client's end. */
    private static final long EVERY = 25_000;

    /** Whoever has to know. */
    interface Watched {
        /** Whether it still wants to be watched. */
        boolean waits();

        /** Its connection was reset. */
        void reset();

        /** Time has passed without a reset. */
        void again();
    }

    private final Selector selector;
    private final DecisionQueue queue;
    private boolean looking;

    ResetWatch(DecisionQueue queue) throws IOException {
        this.queue = queue;
        selector = Selector.open();
    }

    /** From now on, and as long as it wants; any thread may call. A connection has one that is watched, the latest. */
    synchronized void add(SocketChannel channel, Watched watched) {
        try {
            SelectionKey known = channel.keyFor(selector);
            if (known != null && !known.isValid()) {
                // Its key was given up, but is still there until the selector is asked next.
                selector.selectNow();
            }
            channel.register(selector, SelectionKey.OP_CONNECT, watched);
        } catch (IOException | IllegalStateException e) {
            // It is closed already, or this is: its session hears of that in other ways.
            Log.info("reset-not-watched", String.valueOf(e.getMessage()));
            return;
        }
        if (!looking) {
            looking = true;
            queue.post(() -> queue.schedule(EVERY, this::look));
        }
    }

    private void look() {
        List<Watched> gone = new ArrayList<>();
        List<Watched> there = new ArrayList<>();
        synchronized (this) {
            try {
                selector.selectNow(key -> gone.add((Watched) key.attachment()));
                for (SelectionKey key : selector.keys()) {
                    Watched watched = (Watched) key.attachment();
                    if (!watched.waits() || gone.contains(watched)) {
                        key.cancel();
                    } else {
                        there.add(watched);
                    }
                }
                // A cancelled key holds its descriptor until the next look.
                looking = !selector.keys().isEmpty();
            } catch (IOException | IllegalStateException e) {
                Log.info("reset-not-watched", String.valueOf(e.getMessage()));
                looking = false;
            }
            if (looking) {
                queue.schedule(EVERY, this::look);
            }
        }
        // Without the lock: they have locks of their own.
        gone.stream().filter(Watched::waits).forEach(Watched::reset);
        there.forEach(Watched::again);
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
