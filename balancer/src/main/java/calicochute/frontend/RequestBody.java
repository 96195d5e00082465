package calicochute.frontend;

import calicochute.exchange.Body;
import calicochute.exchange.ByteBudget;
import calicochute.exchange.Pipe;
import calicochute.exchange.ReadWindow;
import calicochute.exchange.RequestProgress;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The body of one request as it arrives, and how far it is read: to buffer it whole, ahead of a server that takes it,
 * or further while no server has taken any of it. Runs on the frontend's I/O thread, except for credit granted as bytes
 * are taken.
 */
final class RequestBody {
    private static final long UNKNOWN_LENGTH = -1;

    private final ClientConnection.State connection;
    private final Pipe pipe = new Pipe();
    private final ReadWindow window;
    private final ReadAheadBudget.Share readAheadShare;
    /** Bytes granted beyond the initial window of {@link Bounds#INITIAL_WINDOW_BYTES}. */
    private final AtomicLong grantedBytes = new AtomicLong();

    private volatile CapacityChannel capacity;
    private long declaredLength = UNKNOWN_LENGTH;

    /** @param share reserves the memory of the body */
    RequestBody(ClientConnection.State connection, ByteBudget.Share share) {
        this.connection = connection;
        window = new ReadWindow(pipe, share, connection.frontend.windowBytes());
        readAheadShare = connection.frontend.readAhead().newShare();
    }

    /** Sets the content length; -1 if it is unknown. */
    void declareLength(long bytes) {
        declaredLength = bytes;
    }

    /** Sets the channel through which further bytes are granted to the client. */
    void setCapacity(CapacityChannel channel) {
        pipe.setCreditListener(bytes -> {
            readAheadShare.releaseAllBut(pipe.withheldCredit());
            window.bytesTaken();
            grant(channel, bytes);
        });
        capacity = channel;
    }

    private void grant(CapacityChannel channel, int bytes) {
        grantedBytes.addAndGet(bytes);
        updatePaused();
        try {
            channel.update(bytes);
        } catch (IOException e) {
            Log.info("client-connection", String.valueOf(e.getMessage()));
        }
    }

    /** Tells the connection whether the body is not read because the window is used up. */
    void updatePaused() {
        connection.updatePaused(this::windowUsedUp);
    }

    /** Whether all that may be read has arrived. */
    boolean windowUsedUp() {
        return pipe.totalBytes() - grantedBytes.get() >= Bounds.INITIAL_WINDOW_BYTES;
    }

    /** Reads further to buffer the body whole; returns false if there is no memory for that. */
    boolean readToBuffer() {
        int bytes = window.extendToBuffer(declaredLength);
        if (bytes > 0) {
            grant(capacity, bytes);
        }
        return bytes > 0;
    }

    /**
     * Reads further so that a client that disconnects before the first dispatch is noticed: the disconnect is seen only
     * after all input before it. Returns false if the budget is used up.
     */
    boolean readAhead() {
        int reserved = readAheadShare.reserveMore(pipe::grantAhead);
        if (reserved > 0) {
            grant(capacity, reserved);
        }
        return reserved > 0;
    }

    /** From now on the body is streamed. */
    Body.Streamed stream() {
        int bytes = window.beginStreaming();
        if (bytes > 0) {
            grant(capacity, bytes);
        }
        return new Body.Streamed(pipe, declaredLength);
    }

    /** The complete body, which this object no longer holds. */
    Body.Buffered takeBuffered() {
        return new Body.Buffered(pipe.takeAll());
    }

    /** Tells the progress of the request how many bytes wait unread behind those that have arrived. */
    void observeUnread(RequestProgress progress, long nowMicros, long unreadBytes) {
        progress.observeUnread(nowMicros, pipe.totalBytes(), unreadBytes, declaredLength);
    }

    /** Adds bytes that have arrived. */
    void put(ByteBuffer bytes) {
        pipe.put(bytes);
    }

    /** Number of bytes that have arrived. */
    long totalBytes() {
        return pipe.totalBytes();
    }

    /** Whether a server was given a part of the body. */
    boolean readStarted() {
        return pipe.readStarted();
    }

    /** The last byte has arrived. */
    void complete() {
        pipe.complete();
    }

    /** The client will not send the rest. */
    void abort() {
        pipe.abort();
    }

    /** Nobody needs the body any more: what still arrives is dropped. */
    void discard() {
        pipe.cancel();
    }

    /** Releases the bytes reserved for reading ahead. */
    void release() {
        readAheadShare.close();
    }
}
