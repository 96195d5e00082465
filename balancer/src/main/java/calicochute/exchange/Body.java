package calicochute.exchange;

/** A message body, unchanged as received. */
public sealed interface Body {
    /** A complete body in memory. It may be sent any number of times, so the bytes must not be modified. */
    record Buffered(byte[] bytes) implements Body {}

    /**
     * A body that is forwarded while it is received, so it can be sent only once; {@code length} is in bytes, -1 if
     * unknown.
     */
    record Streamed(Pipe pipe, long length) implements Body {}
}
