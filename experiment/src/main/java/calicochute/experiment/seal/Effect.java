package calicochute.experiment.seal;

/** What the host is to do, in this order. */
public sealed interface Effect {
    /**
     * Keep these bytes for the next start, then call {@link Register#persisted}: sends that rest on it wait until then.
     */
    record Persist(long token, byte[] state) implements Effect {}

    /** Send to a peer; may be lost, repeated, late. */
    record Send(String recipient, byte[] message) implements Effect {}

    /** The newest decided slot is this one; slots between may have been jumped over. */
    record Decided(SlotId slotId, byte[] value) implements Effect {}

    /**
     * The register goes on in a new epoch, after this place (slot 0: from nothing). Decided follows if there is a
     * value.
     *
     * @param before where this peer stood: {@link Place#NONE} if it had no memory
     */
    record EpochBegun(SlotId baseSlot, SlotId previousSlot) implements Effect {
        /** Most of the peers lost their memory: of the epoch before nothing later than this place counts. */
        public boolean memoryLost() {
            return !previousSlot.equals(SlotId.NONE);
        }
    }
}
