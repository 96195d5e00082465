package calicochute.frontend;

import java.util.function.IntPredicate;

/**
 * How much of long bodies may be read beyond their windows, over all clients' connections, while nothing of them has
 * been handed on; without I/O. A client's end comes behind all that it has sent before, and nobody sees it on a
 * connection that is not read.
 *
 * <p>Guards against a dispatch for a client that has gone, and against bodies that take the memory: what does not fit
 * in is read once there is someone to take it, as before.
 */
final class ReadAhead {
    /** One body may take this part of all of it. */
    private static final int PARTS = 8;
    /** At a time: what is lent is taken from the others, whether bytes come or not. */
    private static final int STEP = 1 << 14;

    private final int most;
    private int left;

    ReadAhead(int bytes) {
        left = bytes;
        most = bytes / PARTS;
    }

    Part part() {
        return new Part();
    }

    synchronized int left() {
        return left;
    }

    private synchronized int lend(int bytes) {
        int lent = Math.min(bytes, left);
        left -= lent;
        return lent;
    }

    private synchronized void giveBack(int bytes) {
        left += bytes;
    }

    /** One body's part of it; any thread may call. */
    final class Part implements AutoCloseable {
        private int held;
        private boolean closed;

        private Part() {}

        /**
         * So many bytes more may be read; 0 if there is no room, or if {@code advance}, told of them, does not want
         * them.
         */
        synchronized int more(IntPredicate advance) {
            int lent = closed ? 0 : lend(Math.min(STEP, most - held));
            if (lent > 0 && !advance.test(lent)) {
                giveBack(lent);
                lent = 0;
            }
            held += lent;
            return lent;
        }

        /** No more than so many bytes of it are still in use. */
        synchronized void keep(int bytes) {
            int free = Math.max(0, held - bytes);
            held -= free;
            giveBack(free);
        }

        /** The body is over. */
        @Override
        public synchronized void close() {
            closed = true;
            keep(0);
        }
    }
}
