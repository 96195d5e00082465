package calicochute.experiment.seal;

/** Thrown for bytes that are not a message or state of this register. */
final class MalformedException extends Exception {
    private static final long serialVersionUID = 1;

    final RejectReason reason;

    MalformedException(RejectReason reason) {
        super(reason.name(), null, false, false);
        this.reason = reason;
    }
}
