package calicochute.lab.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * One TCP connection. Its listener is called on the event loop's thread, and {@link #write} is called from there too.
 */
public final class Connection {
    /** Receives the events of a connection, on the event loop's thread and in the order in which they happened. */
    public interface Listener {
        /** The connection has been accepted. */
        default void accepted(Connection connection) {}

        /** A complete message has been read. */
        void message(Connection connection, HttpMessage message);

        /** The bytes read are no valid message; nothing more is read from the connection. */
        void malformed(Connection connection, String reason);

        /**
         * The peer closed the connection: {@code reset} without an orderly close, {@code midMessage} within a message.
         */
        void closed(Connection connection, boolean reset, boolean midMessage);
    }

    /** State that the listener keeps with the connection. */
    public Object attachment;

    private final Deque<ByteBuffer> outgoing = new ArrayDeque<>();
    private final Listener listener;
    private final IOSession session;
    private volatile boolean closed;

    Connection(Listener listener, IOSession session) {
        this.listener = listener;
        this.session = session;
    }

    Listener listener() {
        return listener;
    }

    /** False once this side has closed the connection or has noticed that the peer has. */
    public boolean isOpen() {
        return !closed;
    }

    /** Marks the connection closed by the peer; true if it was open until then. */
    boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    /** Queues bytes to send; those that the socket does not accept at once are sent as soon as it is writable. */
    public synchronized void write(byte[] bytes) {
        if (closed) {
            return;
        }
        outgoing.add(ByteBuffer.wrap(bytes));
        flush();
    }

    synchronized void flush() {
        try {
            while (!outgoing.isEmpty()) {
                session.write(outgoing.peek());
                if (outgoing.peek().hasRemaining()) {
                    session.setEvent(SelectionKey.OP_WRITE);
                    return;
                }
                outgoing.poll();
            }
            session.clearEvent(SelectionKey.OP_WRITE);
        } catch (IOException exception) {
            // The peer has closed the connection; the I/O thread reports that as well.
            outgoing.clear();
        }
    }

    /** Closes the connection in an orderly way. */
    public void close() {
        closed = true;
        session.close(CloseMode.GRACEFUL);
    }

    /** Resets the connection, as the operating system does for a process that has died. */
    public void reset() {
        closed = true;
        session.close(CloseMode.IMMEDIATE);
    }
}
