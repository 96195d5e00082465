package calicochute.listening;

import calicochute.listening.CloseState.Step;
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
 * An accepted connection with a lingering close: HttpCore's own graceful close closes the socket right after its
 * shutdown. To its handler the connection counts as closed at the shutdown; the handler's {@code disconnected} is
 * called then, and a second time when the socket is closed.
 */
public final class LingeringSession implements IOSession {
    /** How many buffers are discarded per event, so that other connections are served in between. */
    private static final int MAX_BUFFERS_PER_EVENT = 16;

    private final IOSession session;
    private final ByteBuffer scratch;
    private final CloseState closeState = new CloseState();
    private final MonotonicTimeout timeout;
    /** The last read returned fewer bytes than it had room for. */
    private boolean lastReadShort;

    /**
     * Wraps a session.
     *
     * @param scratch buffer for discarded input, shared by all connections of the single I/O thread
     */
    LingeringSession(IOSession session, ByteBuffer scratch) {
        this.session = session;
        this.scratch = scratch;
        timeout = new MonotonicTimeout(session.getLastEventTime(), System.nanoTime());
    }

    /** Whether the connection is shut down for writing and still open for reading. */
    public boolean lingering() {
        return closeState.lingering();
    }

    /** Whether the last read returned fewer bytes than it had room for, mostly all there were; on the I/O thread. */
    public boolean lastReadShort() {
        return lastReadShort;
    }

    /** Whether the client sent too much unwanted input. */
    public boolean discardLimitExceeded() {
        return closeState.discardLimitExceeded();
    }

    /** Reads and discards pending input, on the I/O thread. No requests are read from now on. */
    public Step discardInput(boolean responseOwed) throws IOException {
        closeState.stopReadingRequests();
        Step step = Step.CONTINUE_READING;
        for (int i = 0; i < MAX_BUFFERS_PER_EVENT && step == Step.CONTINUE_READING; i++) {
            scratch.clear();
            int bytes = session.read(scratch);
            if (bytes == 0) {
                return step;
            }
            step = bytes < 0
                    ? closeState.peerClosed(responseOwed)
                    : closeState.inputDiscarded(bytes, responseOwed, System.nanoTime() / 1_000_000);
        }
        return step;
    }

    @Override
    public void close(CloseMode mode) {
        Step step = mode == CloseMode.IMMEDIATE
                ? closeState.closeImmediately()
                : closeState.closeGracefully(System.nanoTime() / 1_000_000);
        if (step == Step.SHUT_DOWN) {
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
                IOEventHandler handler = session.getHandler();
                session.upgrade(new LingerHandler(handler));
                session.setSocketTimeout(Timeout.ofMilliseconds(CloseState.LINGER_MS));
                session.setEventMask(EventMask.READ);
                if (handler != null) {
                    handler.disconnected(this);
                }
                return;
            } catch (IOException e) {
                // The connection is closed already.
                step = closeState.closeImmediately();
            }
        }
        if (step == Step.CLOSE) {
            session.close(mode);
        }
    }

    /** Closes without waiting for the peer, because the file descriptor is needed. */
    public void closeNow() {
        closeState.closeImmediately();
        session.close(CloseMode.GRACEFUL);
    }

    /** Handles the events on the I/O thread after the shutdown. */
    private final class LingerHandler implements IOEventHandler {
        private final IOEventHandler originalHandler;

        LingerHandler(IOEventHandler originalHandler) {
            this.originalHandler = originalHandler;
        }

        private void apply(Step step) {
            if (step == Step.CLOSE) {
                session.close(CloseMode.GRACEFUL);
            }
        }

        @Override
        public void connected(IOSession ioSession) {}

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer source) {
            try {
                apply(discardInput(false));
            } catch (IOException e) {
                apply(closeState.closeImmediately());
            }
        }

        @Override
        public void outputReady(IOSession ioSession) {
            // Another thread requested output just as the close began.
            session.clearEvent(EventMask.WRITE);
        }

        @Override
        public void timeout(IOSession ioSession, Timeout timeout) {
            apply(closeState.checkLinger(System.nanoTime() / 1_000_000));
        }

        @Override
        public void exception(IOSession ioSession, Exception cause) {
            apply(closeState.closeImmediately());
        }

        @Override
        public void disconnected(IOSession ioSession) {
            closeState.closeImmediately();
            if (originalHandler != null) {
                originalHandler.disconnected(LingeringSession.this);
            }
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (!closeState.acceptsRequests()) {
            return 0;
        }
        int bytes = session.read(target);
        lastReadShort = bytes >= 0 && target.hasRemaining();
        if (bytes < 0) {
            closeState.peerClosed(false);
        }
        return bytes;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return session.write(source);
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        if (lingering()) {
            command.cancel();
        } else {
            session.enqueue(command, priority);
        }
    }

    @Override
    public void setEventMask(int mask) {
        if (!lingering()) {
            session.setEventMask(mask);
        }
    }

    @Override
    public void setEvent(int event) {
        if (!lingering()) {
            session.setEvent(event);
        }
    }

    @Override
    public void clearEvent(int event) {
        if (!lingering()) {
            session.clearEvent(event);
        }
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        if (!lingering()) {
            session.setSocketTimeout(timeout);
        }
    }

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    @Override
    public Status getStatus() {
        return lingering() ? Status.CLOSED : session.getStatus();
    }

    @Override
    public boolean isOpen() {
        return !lingering() && session.isOpen();
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

    /**
     * The timeout as the reactor's check needs it, which compares times of the wall clock: disabled until the time is
     * over, and then short.
     */
    @Override
    public Timeout getSocketTimeout() {
        Timeout configured = session.getSocketTimeout();
        if (configured.isDisabled()) {
            return configured;
        }
        long nowMs = System.currentTimeMillis();
        boolean expired =
                timeout.expired(session.getLastEventTime(), nowMs, System.nanoTime(), configured.toMilliseconds());
        if (session.getLastEventTime() > nowMs) {
            // The wall clock was set back: the reactor would wait until it has caught up.
            session.updateReadTime();
            timeout.rebase(session.getLastEventTime());
        }
        return expired ? Timeout.ONE_MILLISECOND : Timeout.DISABLED;
    }

    /** Time since bytes were last read or written or the timeout was set, in milliseconds; any thread may call. */
    public long idleMs() {
        return timeout.idleMs(session.getLastEventTime(), System.currentTimeMillis(), System.nanoTime());
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
