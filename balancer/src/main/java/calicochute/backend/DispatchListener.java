package calicochute.backend;

import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Response;

/**
 * Receives the events of dispatches. The end of each dispatch is reported exactly once; all methods but
 * {@link #dispatchWritten} are called on the decision thread.
 */
public interface DispatchListener {
    /** The dispatch ended; {@code response} is the session's final response if this settles it, else null. */
    void dispatchEnded(Dispatch dispatch, Outcome outcome, Response response);

    /** The final response of the session has begun and is streamed; {@link #dispatchEnded} tells how it ended. */
    void dispatchResponseStarted(Dispatch dispatch, Response response);

    /** The last byte of a dispatch was written; called on an I/O thread. */
    void dispatchWritten();
}
