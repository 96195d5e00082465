package calicochute.outcomes;

/**
 * What the fleet saw of a subject in one window, added up by one of its server's owners.
 *
 * <p>One bad witness. A balancer behind a broken path, or with a clock that jumps, may report many dispatches, all of
 * them failed or all of them fast. Three things bound what it does here:
 *
 * <ul>
 *   <li>{@code clipped}: each witness counts with at most {@link Limits#cap} (3) times the dispatches of the median
 *       witness (the lower one of two middle ones): its tally is scaled to that, its shares of ends and its mean speed
 *       as they were. At least half of the witnesses have the median's dispatches or more, so of k witnesses one has at
 *       most 3 / (3 + (k - 1) / 2) of the clipped dispatches: 23% of 21, 2% of 300 (as against nearly all of
 *       {@code sum}).
 *   <li>{@code middle}: the median of the witnesses' mean log speeds, one vote each: one witness moves it no further
 *       than to the neighbouring vote.
 *   <li>{@code between}: the variance of the witnesses' mean log speeds, one vote each. It holds the noise of their own
 *       samples too. Where it is far above (squares / speeds - mean * mean) / (speeds / witnesses) the witnesses do not
 *       see the same server, and nobody should be surer than it says.
 * </ul>
 *
 * An owner that lies is not found out by this: its row is taken if it names most witnesses.
 *
 * @param witnesses balancers (origins) whose tallies are in it
 * @param sum all that they counted
 * @param clipped the same, each witness bounded
 * @param middle the median of the witnesses' mean log speeds; 0 where none saw a speed
 * @param between the variance of the witnesses' mean log speeds; 0 for fewer than two with a speed
 */
public record Row(
        Subject subject,
        long window,
        Origin owner,
        int witnesses,
        Tally sum,
        Tally clipped,
        double middle,
        double between) {}
