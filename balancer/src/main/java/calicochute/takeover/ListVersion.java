package calicochute.takeover;

import java.util.Comparator;

/**
 * Orders the server lists that the processes of one balancer have been told.
 *
 * @param epoch how often discovery has begun its generations anew, as seen by these processes
 * @param generation of the list within its epoch, as discovery counts it
 */
public record ListVersion(long epoch, long generation) implements Comparable<ListVersion> {
    /** The version that follows when discovery tells a whole list of the given generation. */
    public ListVersion afterWhole(long toldGeneration) {
        return new ListVersion(toldGeneration < generation ? epoch + 1 : epoch, toldGeneration);
    }

    /** The version that follows when discovery tells changes of the given generation. */
    public ListVersion afterChanges(long toldGeneration) {
        return new ListVersion(epoch, Math.max(generation, toldGeneration));
    }

    @Override
    public int compareTo(ListVersion other) {
        return Comparator.comparingLong(ListVersion::epoch)
                .thenComparingLong(ListVersion::generation)
                .compare(this, other);
    }

    public boolean isNewerThan(ListVersion other) {
        return compareTo(other) > 0;
    }
}
