package calicochute.outcomes;

import java.util.Map;

/**
 * One window of one balancer, whole: it is never added to, so that repeating it is harmless.
 *
 * @param window its number
 * @param tallies what was counted, by subject; not empty
 */
public record Closed(long window, Map<Subject, Tally> tallies) {
    public Closed {
        tallies = Map.copyOf(tallies);
    }
}
