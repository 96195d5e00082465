package calicochute.experiment.seal;

/**
 * A slot of an epoch: slot 1 holds the first value, 0 is before it. Later epochs come after all slots of earlier ones.
 */
public record SlotId(Epoch epoch, long slot) implements Comparable<SlotId> {
    /** Where a peer without memory stands. */
    public static final SlotId NONE = new SlotId(Epoch.NONE, 0);

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
