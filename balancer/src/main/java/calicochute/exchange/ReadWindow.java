package calicochute.exchange;

import calicochute.settings.Bounds;

/**
 * How much of one body is read before its receiver has taken it. {@link Bounds#INITIAL_WINDOW_BYTES} need no
 * reservation; what goes beyond them is reserved from the budget that all bodies share, whether the body is buffered
 * whole or streamed. A body for which the budget has no room has to be streamed. Does no I/O; called by the source of
 * the body.
 */
public final class ReadWindow {
    /** Bytes reserved at a time while a body is buffered. */
    private static final int STEP_BYTES = 1 << 14;
    /** The most that is reserved to buffer a body: enough to read past the limit and so find it exceeded. */
    private static final int MAX_RESERVED_BYTES =
            Bounds.MAX_BUFFERED_BODY_BYTES + Bounds.READ_BUFFER_BYTES - Bounds.INITIAL_WINDOW_BYTES;

    private final Pipe pipe;
    private final ByteBudget.Share share;
    private final int streamingReserveBytes;

    /** @param streamingWindowBytes how far a streamed body is read ahead if the budget has room for it */
    public ReadWindow(Pipe pipe, ByteBudget.Share share, int streamingWindowBytes) {
        this.pipe = pipe;
        this.share = share;
        streamingReserveBytes = Math.max(0, streamingWindowBytes - Bounds.INITIAL_WINDOW_BYTES);
    }

    /**
     * Extends the window so that the body can be buffered further, and returns the number of further bytes that may be
     * read: 0 if there is no room, so that the body has to be streamed.
     *
     * @param length length of the body, -1 if it is unknown
     */
    public int extendToBuffer(long length) {
        long neededBytes = length < 0 ? MAX_RESERVED_BYTES : length - Bounds.INITIAL_WINDOW_BYTES;
        long missingBytes = Math.min(MAX_RESERVED_BYTES, neededBytes) - share.reservedBytes();
        return missingBytes <= 0 ? 0 : share.reserve((int) Math.min(STEP_BYTES, missingBytes));
    }

    /**
     * From now on the body is streamed. Returns the number of further bytes that may be read at once; what was read
     * beyond the window of a streamed body is not credited when it is taken.
     */
    public int beginStreaming() {
        int reservedBytes = share.reservedBytes();
        pipe.shrinkWindow(reservedBytes - streamingReserveBytes);
        return reservedBytes >= streamingReserveBytes ? 0 : share.reserve(streamingReserveBytes - reservedBytes);
    }

    /** The receiver has taken bytes: releases what the window of a streamed body no longer needs. */
    public void bytesTaken() {
        share.releaseAllBut(streamingReserveBytes + pipe.withheldCredit());
    }
}
