package calicochute.wire;

/** Malformed input; the message names the line and what is wrong with it. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
