package calicochute.connection;

import calicochute.exchange.Body;
import org.apache.hc.core5.http.HttpResponse;

/** Receives the events of a call, on an I/O thread. */
public interface CallListener {
    /** The last byte of the request was written. */
    default void requestWritten() {}

    /**
     * The response is too long to be buffered and is streamed from here on; {@link #ended} tells whether it completed.
     * Called only for calls that allow streaming.
     */
    default void responseStarted(HttpResponse head, Body.Streamed body) {}

    /** The call ended; called exactly once. */
    void ended(CallResult result);
}
