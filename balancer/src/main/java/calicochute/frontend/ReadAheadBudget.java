package calicochute.frontend;

import calicochute.exchange.ByteBudget;
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
    /** One body may take up to half of the budget. */
    private static final int MAX_SHARE_DIVISOR = 2;
    /** Size of one reservation. Reserved bytes are taken from the other bodies, whether they arrive or not. */
    private static final int STEP_BYTES = 1 << 14;

    private final ByteBudget budget;

    ReadAheadBudget(int totalBytes) {
        budget = new ByteBudget(totalBytes, totalBytes / MAX_SHARE_DIVISOR);
    }

    Share newShare() {
        return new Share();
    }

    int availableBytes() {
        return budget.availableBytes();
    }

    /** The part of the budget reserved for one body; any thread may call. */
    final class Share implements AutoCloseable {
        private final ByteBudget.Share share = budget.newShare();

        private Share() {}

        /**
         * Reserves further bytes and returns their number; 0 if the budget is used up or {@code grantAhead}, called
         * with that number, declines them.
         */
        synchronized int reserveMore(IntPredicate grantAhead) {
            int reserved = share.reserve(STEP_BYTES);
            if (reserved > 0 && !grantAhead.test(reserved)) {
                share.releaseAllBut(share.reservedBytes() - reserved);
                return 0;
            }
            return reserved;
        }

        /** Releases all but the given number of bytes, which are still in use. */
        void releaseAllBut(int usedBytes) {
            share.releaseAllBut(usedBytes);
        }

        /** Called when the body has ended. */
        @Override
        public void close() {
            share.close();
        }
    }
}
