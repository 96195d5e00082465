package calicochute.experiment.seal;

/** An action that the host has to perform. */
public sealed interface Effect {
    /**
     * Persist the state for the next start, then call {@link Register#persisted}. Messages that depend on the state are
     * withheld until then.
     *
     * @param token to be passed to {@link Register#persisted}
     */
    record Persist(long token, byte[] state) implements Effect {}

    /** Send a message to a peer. The network may lose, duplicate or delay it. */
    record Send(String recipient, byte[] message) implements Effect {}

    /** A newer slot is decided. Slots between two events may be skipped. */
    record Decided(SlotId slotId, byte[] value) implements Effect {}

    /**
     * The register continues in a new epoch. {@link Decided} follows if there is a value.
     *
     * @param baseSlot the slot after which the epoch continues; slot 0 if no value is known
     * @param previousSlot newest decided slot that this peer knew before, {@link SlotId#NONE} if none
     */
    record EpochBegun(SlotId baseSlot, SlotId previousSlot) implements Effect {
        /**
         * Whether the previous epoch ended because too many peers had lost their state. Values of that epoch later than
         * the base slot are discarded.
         */
        public boolean stateLost() {
            return !previousSlot.equals(SlotId.NONE);
        }
    }
}
