package calicochute.experiment.seal;

/**
 * One life of a register. A new one is begun where so many peers have lost their memory that the old one can never go
 * on.
 *
 * @param number wall clock of the peer that began it (microseconds), above every number it knew of
 * @param index that peer, by place in the sorted list of peers
 * @param life when that peer's process began (microseconds), so that no two epochs are the same
 */
public record Epoch(long number, int creatorIndex, long incarnation) implements Comparable<Epoch> {
    /** Known to a peer without memory. */
    public static final Epoch NONE = new Epoch(0, 0, 0);

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
