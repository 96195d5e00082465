package calicochute.connection;

import calicochute.exchange.Body;
import org.apache.hc.core5.http.HttpResponse;

/** Hears on an I/O thread how a call goes. */
public interface CallListener {
    /** The request's last byte has been written. */
    default void written() {}

    /**
     * The answer is too long to be kept: it goes on in pieces from here, and {@link #ended} tells whether it ended
     * whole. Only for calls that stream.
     */
    default void begun(HttpResponse head, Body.Streamed body) {}

    /** The call is over; told once. */
    void ended(Reply reply);
}
