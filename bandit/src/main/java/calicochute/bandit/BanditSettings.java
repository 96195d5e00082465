package calicochute.bandit;

/**
 * Settings of the bandit. Logs are natural logs of a speed.
 *
 * @param windowMicros length of a window of outcomes
 * @param decayMicros time in which the weight of evidence falls to 1/e, as in the decision module
 * @param staleMicros age of the newest row (from its window's end) beyond which there is no advice: rows arrive within
 *     2 s of their window's end, every 2 s, and one window's rows may be lost
 * @param warmUpMicros a server younger than this does not count as warm
 * @param temperature the temperature of the decision module's softmax
 * @param sampleVariance variance of one sample's log speed; fixed, so that a faulty reporter cannot change it
 * @param priorSamples samples that the prior (the level of a server's kind) is worth
 * @param biasGain share of the log of (wanted / seen) dispatches that is corrected in each window
 * @param biasRetention share of the correction that is kept for the next window
 * @param minDrawDeviation least standard deviation of a random draw, as a speed
 * @param maxReporterDeviation log by which a single reporter may be off before the variance between reporters counts as
 *     a disagreement of many
 * @param trialIntervalMicros interval between the whole fleet's trials of an unhealthy server
 * @param maxTrialShare share of the fleet's dispatches that trials may be; where they would be more, the interval
 *     grows, up to eightfold
 * @param trialSpeedup factor by which trials are more frequent after a successful one
 * @param maxWorthSamples samples that advice is worth at most
 */
public record BanditSettings(
        long windowMicros,
        long decayMicros,
        long staleMicros,
        long warmUpMicros,
        double temperature,
        double sampleVariance,
        double priorSamples,
        double biasGain,
        double biasRetention,
        double minDrawDeviation,
        double maxReporterDeviation,
        long trialIntervalMicros,
        double maxTrialShare,
        int trialSpeedup,
        double maxWorthSamples) {
    public static final BanditSettings DEFAULT = new BanditSettings(
            2_000_000, 3_000_000, 6_000_000, 10_000_000, 0.04, 0.25, 10, 0.3, 0.9, 0.01, 3, 500_000, 0.02, 2, 200);

    public BanditSettings {
        if (windowMicros < 1
                || decayMicros < 1
                || staleMicros < windowMicros
                || trialIntervalMicros < 1
                || trialSpeedup < 1
                || !(maxTrialShare > 0)
                || !(temperature > 0
                        && sampleVariance > 0
                        && priorSamples > 0
                        && maxWorthSamples > 0
                        && minDrawDeviation >= 0)
                || !(biasGain >= 0 && biasGain <= 1 && biasRetention >= 0 && biasRetention < 1)) {
            throw new IllegalArgumentException("bandit settings out of range");
        }
    }
}
