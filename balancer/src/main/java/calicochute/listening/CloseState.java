package calicochute.listening;

/**
 * State machine for closing an accepted connection gracefully: it decides what happens to further input. It does no
 * I/O; callers pass the time in milliseconds.
 *
 * <ul>
 *   <li>OPEN: requests are read.
 *   <li>DISCARDING: no more requests are read, but a response may still be owed.
 *   <li>LINGERING: shut down for writing, while the peer may still send.
 *   <li>CLOSED.
 * </ul>
 *
 * <p>It prevents three faults: closing a socket with unread input makes the kernel send a reset, which destroys
 * responses still in transit; a request could be read after the shutdown; and a client that disconnects would go
 * unnoticed while nothing is read.
 */
public final class CloseState {
    /** How many unwanted bytes are read and discarded; a client that sends more is disconnected. */
    static final int MAX_DISCARDED_BYTES = 1 << 20;
    /** How long the peer may take to close its side after the shutdown. */
    static final long LINGER_MS = 500;

    /** The action that the caller has to take. */
    public enum Step {
        CONTINUE_READING,
        NONE,
        RESET,
        SHUT_DOWN,
        CLOSE
    }

    private enum State {
        OPEN,
        DISCARDING,
        LINGERING,
        CLOSED
    }

    private State state = State.OPEN;
    private boolean peerClosed;
    private int discardedBytes;
    private long shutdownAtMs;

    /** Whether input may be parsed as a request. */
    synchronized boolean acceptsRequests() {
        return state == State.OPEN;
    }

    /** Whether the connection is shut down for writing and still open for reading. */
    synchronized boolean lingering() {
        return state == State.LINGERING;
    }

    /** Whether more input was discarded than {@link #MAX_DISCARDED_BYTES}. */
    synchronized boolean discardLimitExceeded() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** Input is discarded from now on. */
    synchronized void stopReadingRequests() {
        state = state == State.OPEN ? State.DISCARDING : state;
    }

    /** This side closes the connection gracefully. */
    synchronized Step closeGracefully(long nowMs) {
        if (state == State.LINGERING || state == State.CLOSED) {
            return Step.NONE;
        }
        if (peerClosed) {
            return closeImmediately();
        }
        state = State.LINGERING;
        shutdownAtMs = nowMs;
        return Step.SHUT_DOWN;
    }

    /** This many bytes were read and discarded. */
    synchronized Step inputDiscarded(int bytes, boolean responseOwed, long nowMs) {
        discardedBytes = Math.min(MAX_DISCARDED_BYTES + 1, discardedBytes + Math.min(bytes, MAX_DISCARDED_BYTES + 1));
        if (state == State.LINGERING) {
            return discardLimitExceeded() ? closeImmediately() : checkLinger(nowMs);
        }
        return state == State.CLOSED
                ? Step.NONE
                : !discardLimitExceeded() ? Step.CONTINUE_READING : responseOwed ? Step.RESET : Step.NONE;
    }

    /**
     * The peer closed its side. It is gone, although output that is owed to nobody any more may still be in transit.
     */
    synchronized Step peerClosed(boolean responseOwed) {
        peerClosed = true;
        return state == State.LINGERING
                ? closeImmediately()
                : responseOwed && state != State.CLOSED ? Step.RESET : Step.NONE;
    }

    /** Closes a lingering connection whose time is over. */
    synchronized Step checkLinger(long nowMs) {
        if (state == State.LINGERING) {
            return nowMs - shutdownAtMs >= LINGER_MS ? closeImmediately() : Step.CONTINUE_READING;
        }
        return Step.NONE;
    }

    /** The connection is closed immediately, whatever its state. */
    synchronized Step closeImmediately() {
        state = State.CLOSED;
        return Step.CLOSE;
    }
}
