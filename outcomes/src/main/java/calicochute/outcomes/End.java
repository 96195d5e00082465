package calicochute.outcomes;

/** How a dispatch ended. The order is that of the bodies on the wire: new ones need a new version of them. */
public enum End {
    /** Answered within the aim of its class. */
    IN_AIM,
    /** Answered, but past the aim. */
    LATE,
    /** Answered with an error of the server. */
    ERROR,
    /** Turned away: the server's queue is full. */
    FULL,
    /** No connection. */
    UNREACHABLE,
    /** The connection broke before the answer was whole. */
    RESET,
    /** The deadline passed without an answer. */
    TIMED_OUT,
    /** Given up by the balancer: says nothing about the server. */
    WITHDRAWN
}
