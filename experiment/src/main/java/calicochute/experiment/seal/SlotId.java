package calicochute.experiment.seal;

/**
 * Identifies a slot of an epoch. Slots are ordered by epoch first.
 *
 * @param slot number of the slot; 1 holds the first value, 0 is the position before it
 */
public record SlotId(Epoch epoch, long slot) implements Comparable<SlotId> {
    /** The newest decided slot of a peer without state. */
    public static final SlotId NONE = new SlotId(Epoch.NONE, 0);

    /** Serialized size in bytes. */
    static final int BYTES = Epoch.BYTES + 8;

    SlotId next() {
        return new SlotId(epoch, slot + 1);
    }

    @Override
    public int compareTo(SlotId other) {
        int order = epoch.compareTo(other.epoch);
        return order != 0 ? order : Long.compare(slot, other.slot);
    }
}
