package calicochute.backend;

import calicochute.decision.Balancer.Outcome;
import calicochute.exchange.Dispatch;
import calicochute.exchange.Response;

/** Hears on the decision thread how dispatches ended, each exactly once; and on an I/O thread what was sent. */
public interface DispatchListener {
    /** {@code answer} is the session's final answer where this settles it, else null. */
    void dispatchEnded(Dispatch dispatch, Outcome outcome, Response answer);

    /** The session's final answer has begun and is passed on in pieces; {@link #dispatchEnded} tells how it ended. */
    void dispatchBegun(Dispatch dispatch, Response answer);

    /** A dispatch's last byte has been written; on an I/O thread. */
    void dispatchWritten();
}
