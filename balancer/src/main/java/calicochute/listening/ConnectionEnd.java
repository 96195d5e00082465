package calicochute.listening;

/**
 * How a connection that was accepted ends, without I/O and with time (milliseconds) passed in: what is to be done with
 * what still comes on it. Open: requests are read. Deaf: no more are, but an answer may be owed. Shut: shut down for
 * writing, while the peer may still send. Closed.
 *
 * <p>Guards against a close over unread bytes, which resets the connection and takes what is on its way out with it;
 * against a request that is read behind the shutdown; and against a client whose end is not seen since nothing is read.
 */
public final class ConnectionEnd {
    /** So much is read and dropped of what nobody wants; whoever sends more floods. */
    static final int MOST = 1 << 20;
    /** A peer that was told of the end has so long to end its side. */
    static final long LINGER_MS = 500;

    /** What is to be done next. */
    public enum Step {
        READ_ON,
        REST,
        RESET,
        SHUT_DOWN,
        CLOSE
    }

    private enum State {
        OPEN,
        DEAF,
        SHUT,
        CLOSED
    }

    private State state = State.OPEN;
    private boolean peerEnded;
    private int dropped;
    private long shutAt;

    /** Whether what comes may be taken for a request. */
    synchronized boolean takesRequests() {
        return state == State.OPEN;
    }

    /** Whether it is shut down for writing, and held open for what the peer still sends. */
    synchronized boolean lingers() {
        return state == State.SHUT;
    }

    synchronized boolean flooded() {
        return dropped > MOST;
    }

    /** Nothing more that comes is a request. */
    synchronized void deafen() {
        state = state == State.OPEN ? State.DEAF : state;
    }

    /** This side ends it. */
    synchronized Step end(long now) {
        if (state == State.SHUT || state == State.CLOSED) {
            return Step.REST;
        }
        if (peerEnded) {
            return closed();
        }
        state = State.SHUT;
        shutAt = now;
        return Step.SHUT_DOWN;
    }

    /** So many bytes came that are no request, and were dropped. */
    synchronized Step dropped(int bytes, boolean owed, long now) {
        dropped = Math.min(MOST + 1, dropped + Math.min(bytes, MOST + 1));
        if (state == State.SHUT) {
            return flooded() ? closed() : lingered(now);
        }
        return state == State.CLOSED ? Step.REST : !flooded() ? Step.READ_ON : owed ? Step.RESET : Step.REST;
    }

    /** The peer has ended its side: it has gone, though what it is not owed any more may still be on its way out. */
    synchronized Step peerEnded(boolean owed) {
        peerEnded = true;
        return state == State.SHUT ? closed() : owed && state != State.CLOSED ? Step.RESET : Step.REST;
    }

    /** Time has passed. */
    synchronized Step lingered(long now) {
        if (state == State.SHUT) {
            return now - shutAt >= LINGER_MS ? closed() : Step.READ_ON;
        }
        return Step.REST;
    }

    /** It is closed at once, whatever comes. */
    synchronized Step closed() {
        state = State.CLOSED;
        return Step.CLOSE;
    }
}
