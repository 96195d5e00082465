package calicochute.lab.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * One connection, as the world sees it. Its owner hears of it on the world's thread; writing is done from there too.
 */
public final class Link {
    /** Whose connection it is. All calls come on the world's thread, in the order of what happened. */
    public interface Owner {
        /** It has just been accepted. */
        default void accepted(Link link) {}

        /** A whole message came. */
        void message(Link link, HttpMessage message);

        /** What came is no message; nothing more will be read. */
        void unreadable(Link link, String why);

        /** The other side ended it: {@code reset} if not by an orderly end, {@code midway} within a message. */
        void closed(Link link, boolean reset, boolean midway);
    }

    /** What the owner keeps with the connection. */
    public Object mark;

    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private final Owner owner;
    private final IOSession session;
    private volatile boolean closed;

    Link(Owner owner, IOSession session) {
        this.owner = owner;
        this.session = session;
    }

    Owner owner() {
        return owner;
    }

    /** False once either side has ended it, as far as this side knows. */
    public boolean open() {
        return !closed;
    }

    /** Marks it ended from the other side; true the first time. */
    boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    /** Sends bytes; what the socket does not take at once follows by itself. */
    public synchronized void write(byte[] bytes) {
        if (closed) {
            return;
        }
        pending.add(ByteBuffer.wrap(bytes));
        flush();
    }

    synchronized void flush() {
        try {
            while (!pending.isEmpty()) {
                session.write(pending.peek());
                if (pending.peek().hasRemaining()) {
                    session.setEvent(SelectionKey.OP_WRITE);
                    return;
                }
                pending.poll();
            }
            session.clearEvent(SelectionKey.OP_WRITE);
        } catch (IOException e) {
            // The other side has gone; the I/O thread hears of it as well.
            pending.clear();
        }
    }

    /** Ends it in order. */
    public void close() {
        closed = true;
        session.close(CloseMode.GRACEFUL);
    }

    /** Ends it with a reset, as the system does for a process that died. */
    public void reset() {
        closed = true;
        session.close(CloseMode.IMMEDIATE);
    }
}
