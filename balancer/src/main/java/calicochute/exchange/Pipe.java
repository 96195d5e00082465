package calicochute.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A body on its way from one I/O thread to another. The source puts pieces; the sink takes them; what was taken goes
 * back to the source as credit, so that it never reads more than its window ahead. Any thread may call; listeners are
 * called without locks held, and must not block.
 */
public final class Pipe {
    /** Where a sink writes: as many bytes as it has room for, like a channel. */
    public interface Sink {
        int write(ByteBuffer bytes) throws IOException;
    }

    /** Hears how many more bytes the source may read. */
    public interface Credit {
        void grant(int bytes);
    }

    private final ArrayDeque<ByteBuffer> pieces = new ArrayDeque<>();
    private int held;
    private long put;
    private boolean ended;
    private boolean broken;
    private boolean abandoned;
    private boolean taken;
    /** Credit not granted yet: for lack of a listener, or since the window is to shrink. */
    private int owed;

    private int withheld;
    private long movedAt = System.nanoTime();
    private Credit credit;
    private Runnable ready;

    /** Puts a copy of what is left of a piece; once abandoned, drops it. */
    public void put(ByteBuffer piece) {
        Runnable tell;
        synchronized (this) {
            int length = piece.remaining();
            put += length;
            movedAt = System.nanoTime();
            if (abandoned) {
                piece.position(piece.limit());
                owed += length;
                tell = null;
            } else {
                byte[] copy = new byte[length];
                piece.get(copy);
                pieces.add(ByteBuffer.wrap(copy));
                held += length;
                tell = ready;
            }
        }
        run(tell);
        grant();
    }

    /** The body is whole. */
    public void end() {
        Runnable tell;
        synchronized (this) {
            ended = true;
            tell = ready;
        }
        run(tell);
    }

    /** The source has broken off: what is held may be taken, but the body will never be whole. */
    public void breakOff() {
        Runnable tell;
        synchronized (this) {
            if (broken || ended) {
                return;
            }
            broken = true;
            tell = ready;
        }
        run(tell);
    }

    /** The sink takes no more: what is held and what still comes is dropped, and the source may read on. */
    public void abandon() {
        synchronized (this) {
            abandoned = true;
            pieces.clear();
            owed += held;
            held = 0;
            withheld = 0;
        }
        grant();
    }

    private static void run(Runnable tell) {
        if (tell != null) {
            tell.run();
        }
    }

    /** Writes what is held to a sink, as far as it has room; tells how much it took. */
    public int take(Sink sink) throws IOException {
        int written = 0;
        synchronized (this) {
            taken = true;
            while (!pieces.isEmpty()) {
                ByteBuffer first = pieces.peek();
                int before = first.remaining();
                sink.write(first);
                written += before - first.remaining();
                if (first.hasRemaining()) {
                    break;
                }
                pieces.remove();
            }
            held -= written;
            if (written > 0) {
                movedAt = System.nanoTime();
                int kept = Math.min(withheld, written);
                withheld -= kept;
                owed += written - kept;
            }
        }
        grant();
        return written;
    }

    /** Without the lock held: the source may be on another thread, with locks of its own. */
    private void grant() {
        Credit to;
        int bytes;
        synchronized (this) {
            to = credit;
            bytes = to == null ? 0 : owed;
            owed -= bytes;
        }
        if (bytes > 0) {
            to.grant(bytes);
        }
    }

    /** All that is held, at once; for a body that is whole. */
    public synchronized byte[] all() {
        byte[] all = new byte[held];
        int at = 0;
        for (ByteBuffer piece : pieces) {
            int length = piece.remaining();
            piece.duplicate().get(all, at, length);
            at += length;
        }
        return all;
    }

    /** From now on grants go there. */
    public void creditTo(Credit listener) {
        synchronized (this) {
            credit = listener;
        }
        grant();
    }

    /** So many bytes of the source's window are not given back: it shrinks. */
    public synchronized void shrink(int bytes) {
        withheld += Math.max(0, bytes);
    }

    /**
     * So many bytes were granted ahead of time: those taken next are not granted again. Where something was offered to
     * a sink already there is no need to, and it answers false.
     */
    public synchronized boolean advance(int bytes) {
        if (taken || abandoned) {
            return false;
        }
        withheld += bytes;
        return true;
    }

    /** Credit that is not to be granted for what is taken next. */
    public synchronized int withheld() {
        return withheld;
    }

    /**
     * Called from now on whenever there is more to take, the body ends or is broken; to be set before the first take.
     */
    public synchronized void whenReady(Runnable listener) {
        ready = listener;
    }

    public synchronized int held() {
        return held;
    }

    /** Bytes put so far. */
    public synchronized long put() {
        return put;
    }

    /** Nothing more will come, and all has been taken. */
    public synchronized boolean drained() {
        return ended && held == 0;
    }

    /** All that there was has been taken, and it was not the whole body. */
    public synchronized boolean cut() {
        return broken && held == 0;
    }

    /** The source has broken off before the body's end. */
    public synchronized boolean broken() {
        return broken;
    }

    /** Something was offered to a sink: it can't be handed on anew. */
    public synchronized boolean taken() {
        return taken;
    }

    /** How long no byte has moved, in microseconds. */
    public synchronized long stillFor() {
        return (System.nanoTime() - movedAt) / 1000;
    }
}
