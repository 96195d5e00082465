package calicochute.exchange;

/** A message's body, as it came. */
public sealed interface Body {
    /** All of it; may be handed on as often as need be, and must not be changed. */
    record Whole(byte[] bytes) implements Body {}

    /** One that comes in pieces and can be handed on once; {@code length} is -1 where it was not told. */
    record Streamed(Pipe pipe, long length) implements Body {}
}
