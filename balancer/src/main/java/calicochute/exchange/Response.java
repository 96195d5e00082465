package calicochute.exchange;

import java.util.List;

/** The final response to a session; each session gets at most one. */
public sealed interface Response {
    /** A backend server's response, passed on unchanged. A streamed body ends only after its last byte was sent. */
    record Served(List<Field> fields, Body body) implements Response {}

    /**
     * The session was not executed and may safely be retried; {@code retryAfterMicros} is 0 if no Retry-After is given.
     */
    record Denied(long retryAfterMicros) implements Response {}

    /** The session failed; it may or may not have been executed. */
    record Failed(boolean deadlineExceeded) implements Response {}

    /** A backend server rejected the request as invalid, with this HTTP status. */
    record Rejected(int status) implements Response {}

    /** The session was not executed because another one with the same client ID is open or may have been executed. */
    record Duplicate() implements Response {}
}
