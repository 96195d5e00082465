package calicochute.outcomes;

import java.util.Comparator;

/**
 * One process that counts outcomes. Each start of a balancer is an origin of its own, so that its counts before and
 * after a restart add up and neither replaces the other.
 *
 * @param id the balancer's id in the list of peers
 * @param startedAt when the process started (microseconds)
 */
public record Origin(String id, long startedAt) implements Comparable<Origin> {
    private static final Comparator<Origin> ORDER =
            Comparator.comparing(Origin::id).thenComparingLong(Origin::startedAt);

    @Override
    public int compareTo(Origin other) {
        return ORDER.compare(this, other);
    }
}
