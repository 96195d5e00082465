package calicochute.bandit;

/**
 * Constants. Times in microseconds; logs are natural logs of a speed.
 *
 * @param window length of an outcomes' window
 * @param age time in which evidence falls to 1/e: the decision module's own
 * @param stale age of the newest row (from its window's end) past which there is no advice: rows come within 2 s, each
 *     2 s, and one more may be lost
 * @param warmUp a server younger than this is no warm one
 * @param tau the decision module's temperature
 * @param noise variance of one sample's log speed; fixed, so that a bad witness cannot change it
 * @param alike samples that the mean of a server's kind is worth
 * @param gain part of the log of (wanted / seen) dispatches that is corrected in each window
 * @param keep part of the correction that stays for the next window
 * @param width least standard deviation of a draw (speed)
 * @param odd one witness is off by this log at most before the variance between witnesses is taken for a disagreement
 *     of many
 * @param tryEvery the whole fleet tries a sick server once in this time
 * @param tryPart part of the fleet's dispatches that tries may be: where they would be more, the time grows, up to
 *     eightfold
 * @param eager times as often once a try has gone well
 * @param most samples that advice is worth at most
 */
public record Setting(
        long window,
        long age,
        long stale,
        long warmUp,
        double tau,
        double noise,
        double alike,
        double gain,
        double keep,
        double width,
        double odd,
        long tryEvery,
        double tryPart,
        int eager,
        double most) {
    public static final Setting USUAL = new Setting(
            2_000_000, 3_000_000, 6_000_000, 10_000_000, 0.04, 0.25, 10, 0.3, 0.9, 0.01, 3, 500_000, 0.02, 2, 200);

    public Setting {
        if (window < 1
                || age < 1
                || stale < window
                || tryEvery < 1
                || eager < 1
                || !(tryPart > 0)
                || !(tau > 0 && noise > 0 && alike > 0 && most > 0 && width >= 0)
                || !(gain >= 0 && gain <= 1 && keep >= 0 && keep < 1)) {
            throw new IllegalArgumentException("setting out of range");
        }
    }
}
