package calicochute.experiment.seal;

/** Bytes that are no message or state of this register. */
final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    final Refusal refusal;

    Malformed(Refusal refusal) {
        super(refusal.name(), null, false, false);
        this.refusal = refusal;
    }
}
