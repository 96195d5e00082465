package calicochute.bandit;

import calicochute.outcomes.AggregateRow;
import calicochute.outcomes.DispatchResult;
import calicochute.outcomes.Tally;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A server's outcomes in one window over all classes and arms, with each reporter's influence bounded.
 *
 * @param window the number of the window
 * @param dispatches clipped dispatches that say something about the server (not cancelled)
 * @param failures failed dispatches among them, whoever reported them
 * @param credibleFailures failed dispatches, less those that a single reporter can account for
 * @param answered dispatches that gave a speed
 * @param logSpeed mean of their log speeds, relative to the level of the class
 * @param excessVariance variance between reporters beyond their own noise and beyond what one of them can cause
 * @param reporters the most reporters of any class
 */
record ServerWindow(
        long window,
        double dispatches,
        double failures,
        double credibleFailures,
        double answered,
        double logSpeed,
        double excessVariance,
        int reporters) {

    static ServerWindow of(
            long window, List<AggregateRow> rows, ToDoubleFunction<String> levelOfClass, BanditSettings settings) {
        double dispatches = 0;
        double failures = 0;
        double credibleFailures = 0;
        double answered = 0;
        double logs = 0;
        double excessVariance = 0;
        int reporters = 0;
        for (AggregateRow row : rows) {
            Tally tally = row.clipped();
            double all = tally.total() - tally.count(DispatchResult.CANCELLED);
            double failed = all - tally.count(DispatchResult.WITHIN_OBJECTIVE) - tally.count(DispatchResult.LATE);
            dispatches += all;
            failures += failed;
            credibleFailures += all == 0
                    ? 0
                    : all
                            * Math.max(0, failed / all - maxShareOfOne(row.reporters()))
                            / Math.max(1e-9, 1 - maxShareOfOne(row.reporters()));
            answered += tally.speedSamples();
            logs += tally.speedSamples()
                    * (robustLogSpeed(row, settings)
                            - levelOfClass.applyAsDouble(row.key().requestClass()));
            excessVariance += tally.speedSamples() * excessVariance(row, settings);
            reporters = Math.max(reporters, row.reporters());
        }
        return new ServerWindow(
                window,
                dispatches,
                failures,
                credibleFailures,
                answered,
                answered == 0 ? 0 : logs / answered,
                answered == 0 ? 0 : excessVariance / answered,
                reporters);
    }

    /**
     * The greatest share of the clipped dispatches that one of so many reporters can have, see {@link AggregateRow}. A
     * smaller share of failures is no evidence of more than one broken path.
     */
    static double maxShareOfOne(int reporters) {
        return reporters <= 1 ? 1 : 3 / (3 + (reporters - 1) / 2.0);
    }

    /**
     * The mean log speed, limited to a range around the reporters' median. One of k reporters moves the median by about
     * 2 sigma / k, which is the width of that range to either side.
     */
    static double robustLogSpeed(AggregateRow row, BanditSettings settings) {
        double range = 2 * Math.sqrt(settings.sampleVariance()) / Math.max(1, row.reporters());
        return row.medianLogSpeed()
                + Math.max(-range, Math.min(range, row.clipped().meanLogSpeed() - row.medianLogSpeed()));
    }

    private static double excessVariance(AggregateRow row, BanditSettings settings) {
        Tally tally = row.clipped();
        if (row.reporters() < 3 || tally.speedSamples() == 0) {
            return 0;
        }
        double within = Math.max(
                0, tally.logSpeedSquareSum() / tally.speedSamples() - tally.meanLogSpeed() * tally.meanLogSpeed());
        double noise = Math.max(within, settings.sampleVariance()) * row.reporters() / tally.speedSamples();
        return Math.max(
                0,
                row.varianceBetweenReporters()
                        - noise
                        - settings.maxReporterDeviation() * settings.maxReporterDeviation() / row.reporters());
    }

    /** The share of dispatches that failed, less what a single reporter can account for. */
    double failureShare() {
        return dispatches == 0 ? 0 : credibleFailures / dispatches;
    }
}
