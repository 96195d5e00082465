package calicochute.experiment.seal;

/**
 * A slot of an epoch: slot 1 holds the first value, 0 is before it. Later epochs come after all slots of earlier ones.
 */
public record Place(Epoch epoch, long slot) implements Comparable<Place> {
    /** Where a peer without memory stands. */
    public static final Place NONE = new Place(Epoch.NONE, 0);

    static final int BYTES = Epoch.BYTES + 8;

    Place next() {
        return new Place(epoch, slot + 1);
    }

    @Override
    public int compareTo(Place other) {
        int by = epoch.compareTo(other.epoch);
        return by != 0 ? by : Long.compare(slot, other.slot);
    }
}
