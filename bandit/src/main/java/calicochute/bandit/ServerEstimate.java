package calicochute.bandit;

import java.util.Collection;
import java.util.NavigableMap;

/** What is known of one start of a server: the posterior of its speed, its health, and the correction of its load. */
final class ServerEstimate {
    /** Log speed relative to the kind's level (about 0.4 times) from which a trial counts as successful. */
    static final double RECOVERED_LOG = -0.9;

    /** Log speed relative to the kind's level (a third) from which a server is unhealthy. */
    static final double UNHEALTHY_LOG = -1.1;
    /** Log speed relative to the kind's level below which latency begins to count more than capacity. */
    static final double DEGRADED_LOG = -0.5;
    /** Log speed relative to the kind's level below which latency alone counts. */
    static final double SEVERELY_DEGRADED_LOG = -0.9;
    /** Samples that the estimate from before a restart is worth. */
    private static final double RESTART_WORTH_SAMPLES = 2;
    /** Windows over which successful trials add up. */
    private static final int TRIAL_WINDOWS = 5;

    /** Windows after which a new failure is not a relapse. */
    private static final int RELAPSE_WINDOWS = 15;

    private final BanditSettings settings;
    /** Mean log speed before the server was restarted; NaN where unknown. */
    private final double meanBeforeRestart;

    long startedAt;
    double samples;
    /** Mean log speed of the samples alone, without the prior. */
    double sampleMean;

    double dispatches;
    private double succeeded;
    private double failed;
    private double excessVariance;
    boolean unhealthy;
    /** Whether the newest trial of an unhealthy server was successful. */
    boolean recovering;
    /** Was unhealthy before: until there are samples, the estimate is that of its kind. */
    private boolean recovered;

    private int relapses;
    /** The window of the last change of health; samples up to it are ignored. */
    private long changedAtWindow = Long.MIN_VALUE / 2;

    private long correctedAtWindow = Long.MIN_VALUE;
    /** Log of the factor by which the server's dispatches are to change, beyond what its speed accounts for. */
    double bias;
    /** Mean of the posterior of the log speed. */
    double mean;
    /** Standard deviation of the posterior of the log speed. */
    double deviation;

    private double worthSamples;
    double successRate = 1;

    ServerEstimate(BanditSettings settings, long startedAt, ServerEstimate beforeRestart) {
        this.settings = settings;
        this.startedAt = startedAt;
        this.meanBeforeRestart = beforeRestart == null ? Double.NaN : beforeRestart.mean;
    }

    /** Adds up the last windows, weighted by age. */
    void addUp(long now, Collection<ServerWindow> windows) {
        samples = sampleMean = dispatches = succeeded = failed = excessVariance = 0;
        for (ServerWindow window : windows) {
            double weight = weight(now, window.window());
            dispatches += weight * window.dispatches();
            if (window.window() <= changedAtWindow) {
                continue;
            }
            succeeded += weight * (window.dispatches() - window.credibleFailures());
            failed += weight * window.credibleFailures();
            samples += weight * window.answered();
            sampleMean += weight * window.answered() * window.logSpeed();
            excessVariance += weight * window.answered() * window.excessVariance();
        }
        sampleMean = samples == 0 ? 0 : sampleMean / samples;
        excessVariance = samples == 0 ? 0 : excessVariance / samples;
    }

    private double weight(long now, long window) {
        return Math.exp(-(double) Math.max(0, now - (window + 1) * settings.windowMicros()) / settings.decayMicros());
    }

    /**
     * Computes the posterior from the prior given by the kind's mean log speed and success rate. The prior is worth
     * less for a server that is far off its kind.
     */
    void updatePosterior(double kindLevel, double kindSuccessRate) {
        double prior = Double.isNaN(meanBeforeRestart) ? kindLevel : 0.75 * kindLevel + 0.25 * meanBeforeRestart;
        double distance = (sampleMean - prior)
                / (2
                        * Math.sqrt(settings.sampleVariance() / (samples + 1)
                                + settings.sampleVariance() / settings.priorSamples()));
        double priorSamples = settings.priorSamples() / (1 + (samples == 0 ? 0 : distance * distance));
        double ownSamples = samples < 1 ? 0 : 1 / (1 / samples + excessVariance / settings.sampleVariance());
        mean = (ownSamples * sampleMean + priorSamples * prior) / (ownSamples + priorSamples);
        // The variance between reporters is a floor of the posterior's variance, however many samples there are.
        deviation = Math.sqrt(settings.sampleVariance() / (ownSamples + priorSamples) + excessVariance);
        worthSamples = Math.min(settings.maxWorthSamples(), settings.sampleVariance() / (deviation * deviation));
        // The prior of the success rate is also worth less the further off the rate is.
        double rateDistance =
                kindSuccessRate - (succeeded + failed == 0 ? kindSuccessRate : succeeded / (succeeded + failed));
        double ratePriorSamples = settings.priorSamples() / (1 + 16 * rateDistance * rateDistance);
        successRate = (succeeded + ratePriorSamples * kindSuccessRate) / (succeeded + failed + ratePriorSamples);
    }

    /** How many samples the posterior is worth to a reader. */
    double worthSamples() {
        return samples >= 1 || recovered ? worthSamples : Double.isNaN(meanBeforeRestart) ? 0 : RESTART_WORTH_SAMPLES;
    }

    /**
     * Updates the health from the newest windows. A server becomes unhealthy after one bad window, and healthy again
     * after a few successful trials; after a relapse only if none of the recent trials failed.
     */
    void updateHealth(NavigableMap<Long, ServerWindow> windows, double kindLevel) {
        ServerWindow newest = windows.lastEntry().getValue();
        if (newest.window() <= changedAtWindow) {
            return;
        }
        double relative = newest.logSpeed() - kindLevel;
        if (!unhealthy) {
            boolean fails = newest.credibleFailures() >= 2 && newest.failureShare() >= 0.5;
            boolean slow = newest.answered() >= 4 && newest.reporters() >= 3 && relative <= UNHEALTHY_LOG;
            if (fails || slow) {
                relapses = newest.window() - changedAtWindow > RELAPSE_WINDOWS ? 0 : relapses;
                unhealthy = true;
                recovering = false;
                changedAtWindow = newest.window();
            }
            return;
        }
        double successfulTrials = 0;
        for (ServerWindow window : windows.tailMap(Math.max(changedAtWindow, newest.window() - TRIAL_WINDOWS), false)
                .descendingMap()
                .values()) {
            if (window.failures() > 0 || window.logSpeed() - kindLevel < RECOVERED_LOG) {
                break;
            }
            successfulTrials += window.answered();
        }
        recovering = newest.answered() >= 1 && relative >= RECOVERED_LOG;
        // Two successful trials are enough even next to failures, which may be from before the recovery. Where trials
        // are rare, one is enough if none failed.
        boolean enough = successfulTrials >= 2
                || relapses == 0
                        && recovering
                        && (newest.answered() >= 2 || successfulTrials >= 1 && relative >= RECOVERED_LOG / 2);
        if (enough) {
            unhealthy = false;
            recovered = true;
            relapses++;
            changedAtWindow = newest.window();
            bias = 0;
        }
    }

    /**
     * Corrects the bias so that dispatches become proportional to speed: at equal load relative to capacity they are.
     * Has an effect once for each window.
     */
    void correctBias(long window, double wanted, double seen) {
        // Dispatches from before a recovery say nothing about the share that the server has been given since.
        if (window <= correctedAtWindow || recovered && window <= changedAtWindow + 2) {
            return;
        }
        correctedAtWindow = window;
        double error = seen <= 0 ? 0.5 : Math.max(-0.5, Math.min(0.5, Math.log(wanted / seen)));
        bias = Math.max(
                -1.5,
                Math.min(
                        1.5,
                        settings.biasRetention() * bias
                                + settings.biasGain() * error * dispatches / (dispatches + settings.priorSamples())));
    }
}
