package calicochute.experiment;

/** Bytes that are no counts or no state: cut short, too long, of another version, or of figures that can't be. */
public final class UnreadableException extends Exception {
    private static final long serialVersionUID = 1L;

    public UnreadableException(String message) {
        super(message);
    }
}
