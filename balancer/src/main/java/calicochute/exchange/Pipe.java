package calicochute.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A message body that moves from one I/O thread to another, with flow control. The source puts bytes and the sink takes
 * them; bytes taken are granted to the source as credit, so it never reads further ahead than its window. All methods
 * are thread-safe. Listeners are called without locks held and must not block.
 */
public final class Pipe {
    /** Destination of the bytes. Like a channel, it may accept fewer bytes than offered. */
    public interface Sink {
        int write(ByteBuffer bytes) throws IOException;
    }

    /** Receives the number of further bytes that the source may read. */
    public interface CreditListener {
        void grant(int bytes);
    }

    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private int bufferedBytes;
    private long totalBytes;
    private boolean completed;
    private boolean aborted;
    private boolean cancelled;
    private boolean readStarted;
    /** Credit that could not be granted yet because no listener was set. */
    private int pendingCredit;

    private int withheldCredit;
    private long lastProgressNanos = System.nanoTime();
    /** When the sink last took bytes, or found none; while bytes are buffered, it has taken none since. */
    private long sinkProgressNanos = System.nanoTime();

    private CreditListener creditListener;
    private Runnable readyListener;

    /** A pipe with a complete body. The bytes are not copied, so they must not be modified. */
    public static Pipe complete(byte[] body) {
        Pipe pipe = new Pipe();
        pipe.buffers.add(ByteBuffer.wrap(body));
        pipe.bufferedBytes = body.length;
        pipe.totalBytes = body.length;
        pipe.completed = true;
        return pipe;
    }

    /** Appends a copy of the remaining bytes, or drops them if the pipe was cancelled. */
    public void put(ByteBuffer bytes) {
        Runnable listener;
        synchronized (this) {
            int length = bytes.remaining();
            totalBytes += length;
            lastProgressNanos = System.nanoTime();
            if (cancelled) {
                bytes.position(bytes.limit());
                pendingCredit += length;
                listener = null;
            } else {
                byte[] copy = new byte[length];
                bytes.get(copy);
                sinkProgressNanos = bufferedBytes == 0 ? lastProgressNanos : sinkProgressNanos;
                buffers.add(ByteBuffer.wrap(copy));
                bufferedBytes += length;
                listener = readyListener;
            }
        }
        runIfSet(listener);
        grantPendingCredit();
    }

    /** Called by the source when the body is complete. */
    public void complete() {
        Runnable listener;
        synchronized (this) {
            completed = true;
            listener = readyListener;
        }
        runIfSet(listener);
    }

    /**
     * Called by the source when the body ends prematurely. Buffered bytes can still be taken, but the body stays
     * incomplete.
     */
    public void abort() {
        Runnable listener;
        synchronized (this) {
            if (aborted || completed) {
                return;
            }
            aborted = true;
            listener = readyListener;
        }
        runIfSet(listener);
    }

    /**
     * Called by the sink when it needs no more bytes. Buffered and later bytes are dropped and credited, so the source
     * can read to the end of the body.
     */
    public void cancel() {
        synchronized (this) {
            cancelled = true;
            buffers.clear();
            pendingCredit += bufferedBytes;
            bufferedBytes = 0;
            withheldCredit = 0;
        }
        grantPendingCredit();
    }

    private static void runIfSet(Runnable listener) {
        if (listener != null) {
            listener.run();
        }
    }

    /** Writes buffered bytes to the sink, as many as it accepts, and returns their number. */
    public int writeTo(Sink sink) throws IOException {
        int written = 0;
        synchronized (this) {
            readStarted = true;
            while (!buffers.isEmpty()) {
                ByteBuffer first = buffers.peek();
                int before = first.remaining();
                sink.write(first);
                written += before - first.remaining();
                if (first.hasRemaining()) {
                    break;
                }
                buffers.remove();
            }
            bufferedBytes -= written;
            if (written > 0) {
                lastProgressNanos = System.nanoTime();
                sinkProgressNanos = lastProgressNanos;
                int retained = Math.min(withheldCredit, written);
                withheldCredit -= retained;
                pendingCredit += written - retained;
            }
        }
        grantPendingCredit();
        return written;
    }

    /** Runs without the lock: the source may be on another thread that holds its own locks. */
    private void grantPendingCredit() {
        CreditListener listener;
        int bytes;
        synchronized (this) {
            listener = creditListener;
            bytes = listener == null ? 0 : pendingCredit;
            pendingCredit -= bytes;
        }
        if (bytes > 0) {
            listener.grant(bytes);
        }
    }

    /**
     * Takes all buffered bytes of a complete body that is not to be passed on by this pipe, which does not hold them
     * any longer. They are not credited: the source has no more to read.
     */
    public synchronized byte[] takeAll() {
        byte[] result = new byte[bufferedBytes];
        int offset = 0;
        while (!buffers.isEmpty()) {
            ByteBuffer buffer = buffers.remove();
            int length = buffer.remaining();
            buffer.get(result, offset, length);
            offset += length;
        }
        bufferedBytes = 0;
        return result;
    }

    /** Sets the listener and grants it all pending credit. */
    public void setCreditListener(CreditListener listener) {
        synchronized (this) {
            creditListener = listener;
        }
        grantPendingCredit();
    }

    /** Shrinks the source's window: this many of the bytes taken next are not credited. */
    public synchronized void shrinkWindow(int bytes) {
        withheldCredit += Math.max(0, bytes);
    }

    /**
     * Records that the source was granted bytes in advance, so that many of the bytes taken next are not credited.
     * Returns false, and records nothing, if a sink has already started to take bytes or the pipe was cancelled.
     */
    public synchronized boolean grantAhead(int bytes) {
        if (readStarted || cancelled) {
            return false;
        }
        withheldCredit += bytes;
        return true;
    }

    /** Number of bytes that will not be credited when they are taken. */
    public synchronized int withheldCredit() {
        return withheldCredit;
    }

    /**
     * Sets the listener that is called when bytes arrive, and when the body ends or is aborted. Must be set before the
     * first {@link #writeTo}.
     */
    public synchronized void setReadyListener(Runnable listener) {
        readyListener = listener;
    }

    /** Number of bytes that were put and not taken yet. */
    public synchronized int bufferedBytes() {
        return bufferedBytes;
    }

    /** Number of bytes put so far. */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /** Whether the body is complete and all its bytes were taken. */
    public synchronized boolean drained() {
        return completed && bufferedBytes == 0;
    }

    /** Whether the body was aborted and all bytes received were taken. */
    public synchronized boolean truncated() {
        return aborted && bufferedBytes == 0;
    }

    /** Whether the source aborted the body. */
    public synchronized boolean aborted() {
        return aborted;
    }

    /** Whether a sink started to take bytes; the body can then not be sent again. */
    public synchronized boolean readStarted() {
        return readStarted;
    }

    /** Microseconds for which bytes have been buffered and none was taken; 0 while there are none. */
    public synchronized long untakenMicros() {
        return bufferedBytes == 0 ? 0 : (System.nanoTime() - sinkProgressNanos) / 1000;
    }

    /** Microseconds since a byte was last put or taken. */
    public synchronized long idleMicros() {
        return (System.nanoTime() - lastProgressNanos) / 1000;
    }
}
