package calicochute.listening;

import calicochute.listening.ConnectionEnd.Step;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * HttpCore's session of an accepted connection, with a graceful close that is one: HttpCore's own closes the socket
 * right behind its shutdown. For its handler it is closed at once, and is told of a second disconnect when the socket
 * is.
 */
public final class LingeringSession implements IOSession {
    /** At one event so many buffers are dropped at most: other connections are served in between. */
    private static final int AT_ONCE = 16;

    private final IOSession session;
    private final ByteBuffer scratch;
    private final ConnectionEnd end = new ConnectionEnd();

    /** @param scratch of the one I/O thread, for what is dropped */
    LingeringSession(IOSession session, ByteBuffer scratch) {
        this.session = session;
        this.scratch = scratch;
    }

    public boolean lingers() {
        return end.lingers();
    }

    public boolean flooded() {
        return end.flooded();
    }

    /** Reads what has come and drops it; on the I/O thread. From here on nothing is read for a request. */
    public Step drop(boolean owed) throws IOException {
        end.deafen();
        Step step = Step.READ_ON;
        for (int i = 0; i < AT_ONCE && step == Step.READ_ON; i++) {
            scratch.clear();
            int bytes = session.read(scratch);
            if (bytes == 0) {
                return step;
            }
            step = bytes < 0 ? end.peerEnded(owed) : end.dropped(bytes, owed, System.nanoTime() / 1_000_000);
        }
        return step;
    }

    @Override
    public void close(CloseMode mode) {
        Step step = mode == CloseMode.IMMEDIATE ? end.closed() : end.end(System.nanoTime() / 1_000_000);
        if (step == Step.SHUT_DOWN) {
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
                IOEventHandler handler = session.getHandler();
                session.upgrade(new Lingering(handler));
                session.setSocketTimeout(Timeout.ofMilliseconds(ConnectionEnd.LINGER_MS));
                session.setEventMask(EventMask.READ);
                if (handler != null) {
                    handler.disconnected(this);
                }
                return;
            } catch (IOException e) {
                // The connection is gone already.
                step = end.closed();
            }
        }
        if (step == Step.CLOSE) {
            session.close(mode);
        }
    }

    /** Ends it without waiting for the peer: its descriptor is needed. */
    public void closeNow() {
        end.closed();
        session.close(CloseMode.GRACEFUL);
    }

    /** The I/O thread's part behind the shutdown. */
    private final class Lingering implements IOEventHandler {
        private final IOEventHandler before;

        Lingering(IOEventHandler before) {
            this.before = before;
        }

        private void after(Step step) {
            if (step == Step.CLOSE) {
                session.close(CloseMode.GRACEFUL);
            }
        }

        @Override
        public void connected(IOSession opened) {}

        @Override
        public void inputReady(IOSession from, ByteBuffer source) {
            try {
                after(drop(false));
            } catch (IOException e) {
                after(end.closed());
            }
        }

        @Override
        public void outputReady(IOSession to) {
            // Another thread asked for it just as the end began.
            session.clearEvent(EventMask.WRITE);
        }

        @Override
        public void timeout(IOSession from, Timeout timeout) {
            after(end.lingered(System.nanoTime() / 1_000_000));
        }

        @Override
        public void exception(IOSession from, Exception cause) {
            after(end.closed());
        }

        @Override
        public void disconnected(IOSession from) {
            end.closed();
            if (before != null) {
                before.disconnected(LingeringSession.this);
            }
        }
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (!end.takesRequests()) {
            return 0;
        }
        int bytes = session.read(to);
        if (bytes < 0) {
            end.peerEnded(false);
        }
        return bytes;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        return session.write(from);
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        if (lingers()) {
            command.cancel();
        } else {
            session.enqueue(command, priority);
        }
    }

    @Override
    public void setEventMask(int mask) {
        if (!lingers()) {
            session.setEventMask(mask);
        }
    }

    @Override
    public void setEvent(int event) {
        if (!lingers()) {
            session.setEvent(event);
        }
    }

    @Override
    public void clearEvent(int event) {
        if (!lingers()) {
            session.clearEvent(event);
        }
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        if (!lingers()) {
            session.setSocketTimeout(timeout);
        }
    }

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    @Override
    public Status getStatus() {
        return lingers() ? Status.CLOSED : session.getStatus();
    }

    @Override
    public boolean isOpen() {
        return !lingers() && session.isOpen();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        session.upgrade(handler);
    }

    @Override
    public IOEventHandler getHandler() {
        return session.getHandler();
    }

    @Override
    public String getId() {
        return session.getId();
    }

    @Override
    public Lock getLock() {
        return session.getLock();
    }

    @Override
    public boolean hasCommands() {
        return session.hasCommands();
    }

    @Override
    public Command poll() {
        return session.poll();
    }

    @Override
    public ByteChannel channel() {
        return session.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return session.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return session.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return session.getEventMask();
    }

    @Override
    public Timeout getSocketTimeout() {
        return session.getSocketTimeout();
    }

    @Override
    public long getLastReadTime() {
        return session.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return session.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return session.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        session.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        session.updateWriteTime();
    }
}
