package calicochute.exchange;

import calicochute.settings.Bounds;

/**
 * The earliest time at which a client may have written the last byte of its request. The client's timeout counts from
 * that moment, and not from the one at which the byte is read: while this side does not read, the request may be whole
 * in the system's buffers. Does no I/O; times are arguments, in microseconds. Any thread may call.
 */
public final class RequestProgress {
    /** The most that a client's system buffers beyond the receive window. */
    private static final long MAX_SEND_BUFFER_BYTES = 1 << 22;
    /** Bytes that may have left the socket without being counted as received. */
    private static final int UNCOUNTED_BYTES = 2 * Bounds.READ_BUFFER_BYTES;

    /** All that the client has written was read, and the request is not complete; never true of a complete one. */
    private boolean awaitsClient = true;

    private boolean complete;
    private long possibleEnd;
    /** Bytes read and unread at the last observation. */
    private long arrivedBefore = -1;
    /** When the client was last seen to send nothing although it could, and what had arrived until then. */
    private long pausedAt = Long.MIN_VALUE;

    private long arrivedAtPause;

    /** Input has arrived. */
    public synchronized void inputArrived(long now) {
        if (awaitsClient) {
            awaitsClient = false;
            possibleEnd = now;
        }
    }

    /** All input was read and the request is not complete, so its client has not written the last byte. */
    public synchronized void inputDrained() {
        awaitsClient = !complete;
    }

    /** The last byte was read. */
    public synchronized void complete(long now) {
        inputArrived(now);
        complete = true;
    }

    /** Whether the last byte was read. */
    public synchronized boolean isComplete() {
        return complete;
    }

    /** Whether all that the client has written was read, and the request is not complete. */
    public synchronized boolean awaitsClient() {
        return awaitsClient;
    }

    /**
     * Takes into account what waits unread in the system's receive buffer. A single empty buffer proves nothing, since
     * the client's system sends on only when told of the room: it has nothing to send if the buffer was empty, and
     * nothing arrived, from one observation to the next.
     *
     * @param receivedBytes bytes of the body that were read
     * @param unreadBytes bytes in the receive buffer
     * @param length of the body; -1 if it is unknown
     */
    public synchronized void observeUnread(long now, long receivedBytes, long unreadBytes, long length) {
        if (awaitsClient || complete) {
            return;
        }
        long arrivedBytes = receivedBytes + unreadBytes;
        boolean clientPaused = unreadBytes == 0 && arrivedBytes == arrivedBefore;
        arrivedBefore = arrivedBytes;
        if (pausedAt != Long.MIN_VALUE && arrivedBytes > arrivedAtPause) {
            possibleEnd = Math.max(possibleEnd, pausedAt);
        }
        if (length - arrivedBytes > (clientPaused ? UNCOUNTED_BYTES : MAX_SEND_BUFFER_BYTES)) {
            possibleEnd = now;
        }
        if (clientPaused) {
            pausedAt = now;
            arrivedAtPause = arrivedBytes;
        }
    }

    /** The earliest time at which the last byte may have been written; {@code now} if it was not written yet. */
    public synchronized long possibleEnd(long now) {
        return awaitsClient ? now : possibleEnd;
    }
}
