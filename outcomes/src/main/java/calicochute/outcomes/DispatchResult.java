package calicochute.outcomes;

/**
 * How a dispatch ended. The order of the constants is that of the counts on the wire: a new constant needs a new
 * version of the message format.
 */
public enum DispatchResult {
    /** Answered within the latency objective of its class. */
    WITHIN_OBJECTIVE,
    /** Answered, but later than the objective. */
    LATE,
    /** Answered with an error of the server. */
    ERROR,
    /** Rejected because the server's queue is full. */
    FULL,
    /** No connection could be established. */
    CONNECT_FAILED,
    /** The connection broke before the answer was complete. */
    RESET,
    /** The deadline passed without an answer. */
    TIMED_OUT,
    /** Cancelled by the balancer, which says nothing about the server. */
    CANCELLED
}
