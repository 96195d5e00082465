package calicochute.outcomes;

/**
 * The fleet's outcomes of one key in one window, added up by one of the server's owners from the tallies of the
 * reporters (the balancers that dispatched to it).
 *
 * <p>A balancer behind a broken path, or with a clock that jumps, may report many dispatches, all of them failed or all
 * of them fast. Three things bound the influence of one such reporter:
 *
 * <ul>
 *   <li>{@code clipped}: each reporter counts with at most {@link Limits#medianMultiple} (3) times the dispatches of
 *       the median reporter (the lower one of two middle ones). Its tally is scaled down to that and keeps its shares
 *       of results and its mean speed. At least half of the reporters have the median's dispatches or more, so one of k
 *       reporters has at most 3 / (3 + (k - 1) / 2) of the clipped dispatches: 23% with 21 reporters, 2% with 300,
 *       while it may have nearly all of {@code sum}.
 *   <li>{@code medianLogSpeed}: the median of the reporters' mean log speeds, one vote each. One reporter moves it no
 *       further than to the neighbouring vote.
 *   <li>{@code varianceBetweenReporters}: the variance of the reporters' mean log speeds, one vote each. It also holds
 *       the noise of their own samples. Where it is far above (squares / samples - mean * mean) / (samples / reporters)
 *       of the tally, the reporters do not see the same server, and an estimate should not be more certain than this
 *       variance allows.
 * </ul>
 *
 * These bounds do not detect an owner that publishes false rows: its row is accepted if it names the most reporters.
 *
 * @param key the key that was counted
 * @param window the number of the window
 * @param owner the balancer that added up the reports
 * @param reporters number of origins whose tallies are added up
 * @param sum all dispatches that the reporters counted
 * @param clipped the same with each reporter's influence bounded
 * @param medianLogSpeed the median of the reporters' mean log speeds; 0 where none measured a speed
 * @param varianceBetweenReporters the variance of the reporters' mean log speeds; 0 for fewer than two with a speed
 */
public record AggregateRow(
        OutcomeKey key,
        long window,
        Origin owner,
        int reporters,
        Tally sum,
        Tally clipped,
        double medianLogSpeed,
        double varianceBetweenReporters) {}
