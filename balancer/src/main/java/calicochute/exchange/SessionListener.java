package calicochute.exchange;

/** Receives session events from frontends. Any thread may call; implementations must not block. */
public interface SessionListener {
    /** A session has begun; its request body may still be arriving. */
    void sessionStarted(Exchange exchange);

    /** The last byte of a session that began with an incomplete body was received. */
    void requestCompleted(Exchange exchange);

    /** The client closed its connection before the response began. */
    void clientGone(Exchange exchange);

    /**
     * A streamed response ended: {@code complete} if its last byte was handed to the connection, otherwise it was
     * aborted.
     */
    void responseEnded(Exchange exchange, boolean complete);
}
