package calicochute.exchange;

/** A number of bytes that many bodies share. Does no I/O; any thread may call. */
public final class ByteBudget {
    private final int maxShareBytes;
    private int availableBytes;

    /** A budget of which one body may take all. */
    public ByteBudget(int totalBytes) {
        this(totalBytes, totalBytes);
    }

    /** @param maxShareBytes the most that one body may take */
    public ByteBudget(int totalBytes, int maxShareBytes) {
        availableBytes = totalBytes;
        this.maxShareBytes = maxShareBytes;
    }

    /** A share for one body, which has nothing reserved yet. */
    public Share newShare() {
        return new Share();
    }

    /** Bytes that are not reserved. */
    public synchronized int availableBytes() {
        return availableBytes;
    }

    private synchronized int take(int bytes) {
        int taken = Math.min(bytes, availableBytes);
        availableBytes -= taken;
        return taken;
    }

    private synchronized void giveBack(int bytes) {
        availableBytes += bytes;
    }

    /** The part of the budget reserved for one body. Any thread may call; closing twice has no effect. */
    public final class Share implements AutoCloseable {
        private int reservedBytes;
        private boolean closed;

        private Share() {}

        /** Reserves up to that many further bytes; returns their number, 0 if the budget is used up. */
        public synchronized int reserve(int bytes) {
            int reserved = closed ? 0 : take(Math.min(bytes, maxShareBytes - reservedBytes));
            reservedBytes += reserved;
            return reserved;
        }

        /** The number of bytes reserved. */
        public synchronized int reservedBytes() {
            return reservedBytes;
        }

        /** Releases all but the given number of bytes, which are still in use. */
        public synchronized void releaseAllBut(int usedBytes) {
            int unused = Math.max(0, reservedBytes - usedBytes);
            reservedBytes -= unused;
            giveBack(unused);
        }

        /** Releases everything; nothing can be reserved any more. */
        @Override
        public synchronized void close() {
            closed = true;
            releaseAllBut(0);
        }
    }
}
