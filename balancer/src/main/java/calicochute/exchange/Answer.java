package calicochute.exchange;

import java.util.List;

/** The one final answer of a session. */
public sealed interface Answer {
    /** A backend server's answer, unchanged; one that comes in pieces is answered for once its last byte is out. */
    record Served(List<Field> fields, Body body) implements Answer {}

    /** Not done, and trying again does no harm; {@code retryAfter} in microseconds, 0 for no advice. */
    record Denied(long retryAfter) implements Answer {}

    /** Failed, with nothing promised of its effect. */
    record Failed(boolean late) implements Answer {}

    /** A backend server found the request itself at fault. */
    record Rejected(int status) implements Answer {}

    /** Never worked on, since another session of the same name is open. */
    record Repeated() implements Answer {}
}
