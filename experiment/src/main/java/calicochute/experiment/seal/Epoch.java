package calicochute.experiment.seal;

/**
 * An epoch of a register. A new epoch begins when so many peers have lost their state that the old one cannot continue.
 *
 * @param number wall clock of the creating peer in microseconds, raised above every epoch number that it knew
 * @param creatorIndex index of the creating peer in the sorted list of peers
 * @param incarnation start time of the creating peer's process in microseconds, which makes epochs unique
 */
public record Epoch(long number, int creatorIndex, long incarnation) implements Comparable<Epoch> {
    /** The epoch of a peer without state, lower than all others. */
    public static final Epoch NONE = new Epoch(0, 0, 0);

    /** Serialized size in bytes. */
    static final int BYTES = 18;

    @Override
    public int compareTo(Epoch other) {
        int order = Long.compare(number, other.number);
        if (order == 0) {
            order = Integer.compare(creatorIndex, other.creatorIndex);
        }
        return order != 0 ? order : Long.compare(incarnation, other.incarnation);
    }
}
