package calicochute.outcomes;

import java.util.Map;

/**
 * One complete window of one balancer. Nothing is added to it later, so that sending it twice does no harm.
 *
 * @param window the number of the window
 * @param tallies what was counted, by key; not empty
 */
public record ClosedWindow(long window, Map<OutcomeKey, Tally> tallies) {
    public ClosedWindow {
        tallies = Map.copyOf(tallies);
    }
}
