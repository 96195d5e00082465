package calicochute.experiment;

/** Thrown for bytes that are not valid counts or not a valid state, by length, version or values. */
public final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the problem. */
    public UnreadableException(String message) {
        super(message);
    }
}
