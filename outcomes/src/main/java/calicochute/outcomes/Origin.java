package calicochute.outcomes;

import java.util.Comparator;

/**
 * One process that counts: each start of a balancer is an origin of its own, so that what it counted before a restart
 * and after it are two wholes and neither is taken for the other.
 *
 * @param id its name in the list of peers
 * @param start when the process began (microseconds)
 */
public record Origin(String id, long start) implements Comparable<Origin> {
    private static final Comparator<Origin> ORDER =
            Comparator.comparing(Origin::id).thenComparingLong(Origin::start);

    @Override
    public int compareTo(Origin other) {
        return ORDER.compare(this, other);
    }
}
