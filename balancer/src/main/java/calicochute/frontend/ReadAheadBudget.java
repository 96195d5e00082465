package calicochute.frontend;

import java.util.function.IntPredicate;

/**
 * A budget, shared by all client connections, for reading streamed request bodies beyond their windows before any of it
 * is dispatched. Does no I/O. A disconnect is seen only after all input before it was read, so a connection that is not
 * read hides it.
 *
 * <p>This avoids dispatches for clients that are gone. The budget bounds the memory used: what does not fit is read
 * only once a server takes the body.
 */
final class ReadAheadBudget {
    /** One body may take up to 1/8 of the budget. */
    private static final int MAX_SHARE_DIVISOR = 8;
    /** Size of one reservation. Reserved bytes are taken from the other bodies, whether they arrive or not. */
    private static final int STEP_BYTES = 1 << 14;

    private final int maxShareBytes;
    private int availableBytes;

    ReadAheadBudget(int totalBytes) {
        availableBytes = totalBytes;
        maxShareBytes = totalBytes / MAX_SHARE_DIVISOR;
    }

    Share newShare() {
        return new Share();
    }

    synchronized int availableBytes() {
        return availableBytes;
    }

    private synchronized int reserve(int bytes) {
        int reserved = Math.min(bytes, availableBytes);
        availableBytes -= reserved;
        return reserved;
    }

    private synchronized void release(int bytes) {
        availableBytes += bytes;
    }

    /** The part of the budget reserved for one body; any thread may call. */
    final class Share implements AutoCloseable {
        private int reservedBytes;
        private boolean closed;

        private Share() {}

        /**
         * Reserves further bytes and returns their number; 0 if the budget is used up or {@code grantAhead}, called
         * with that number, declines them.
         */
        synchronized int reserveMore(IntPredicate grantAhead) {
            int reserved = closed ? 0 : reserve(Math.min(STEP_BYTES, maxShareBytes - reservedBytes));
            if (reserved > 0 && !grantAhead.test(reserved)) {
                release(reserved);
                reserved = 0;
            }
            reservedBytes += reserved;
            return reserved;
        }

        /** Releases all but the given number of bytes, which are still in use. */
        synchronized void releaseAllBut(int usedBytes) {
            int unused = Math.max(0, reservedBytes - usedBytes);
            reservedBytes -= unused;
            release(unused);
        }

        /** Called when the body has ended. */
        @Override
        public synchronized void close() {
            closed = true;
            releaseAllBut(0);
        }
    }
}
