package calicochute.bandit;

import calicochute.outcomes.End;
import calicochute.outcomes.Row;
import calicochute.outcomes.Tally;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A server in one window, all classes and arms together; each witness bounded.
 *
 * @param dispatches that say something about the server, clipped
 * @param bad of them failed, whoever says so
 * @param failed of them, less what one witness alone can have made
 * @param answered how many gave a speed
 * @param log mean of their log speeds, relative to the class's level
 * @param apart variance between witnesses beyond their own noise and beyond what one of them can have made
 * @param witnesses the most of any class
 */
record Sight(
        long window,
        double dispatches,
        double bad,
        double failed,
        double answered,
        double log,
        double apart,
        int witnesses) {

    static Sight of(long window, List<Row> rows, ToDoubleFunction<String> level, Setting setting) {
        double dispatches = 0;
        double failures = 0;
        double failed = 0;
        double answered = 0;
        double logs = 0;
        double apart = 0;
        int witnesses = 0;
        for (Row row : rows) {
            Tally tally = row.clipped();
            double all = tally.total() - tally.of(End.WITHDRAWN);
            double bad = all - tally.of(End.IN_AIM) - tally.of(End.LATE);
            dispatches += all;
            failures += bad;
            failed += all == 0
                    ? 0
                    : all * Math.max(0, bad / all - one(row.witnesses())) / Math.max(1e-9, 1 - one(row.witnesses()));
            answered += tally.speeds();
            logs += tally.speeds()
                    * (log(row, setting) - level.applyAsDouble(row.subject().lane()));
            apart += tally.speeds() * apart(row, setting);
            witnesses = Math.max(witnesses, row.witnesses());
        }
        return new Sight(
                window,
                dispatches,
                failures,
                failed,
                answered,
                answered == 0 ? 0 : logs / answered,
                answered == 0 ? 0 : apart / answered,
                witnesses);
    }

    /**
     * The greatest part of the clipped dispatches that one of so many witnesses can have (Row): less than that is no
     * evidence of more than one bad path.
     */
    static double one(int witnesses) {
        return witnesses <= 1 ? 1 : 3 / (3 + (witnesses - 1) / 2.0);
    }

    /**
     * The mean, but no further from the witnesses' median than a few votes move that: of k witnesses one moves it by
     * some 2 sigma / k.
     */
    static double log(Row row, Setting setting) {
        double reach = 2 * Math.sqrt(setting.noise()) / Math.max(1, row.witnesses());
        return row.middle() + Math.max(-reach, Math.min(reach, row.clipped().meanLogSpeed() - row.middle()));
    }

    private static double apart(Row row, Setting setting) {
        Tally t = row.clipped();
        if (row.witnesses() < 3 || t.speeds() == 0) {
            return 0;
        }
        double within = Math.max(0, t.logSpeedSquares() / t.speeds() - t.meanLogSpeed() * t.meanLogSpeed());
        double own = Math.max(within, setting.noise()) * row.witnesses() / t.speeds();
        return Math.max(0, row.between() - own - setting.odd() * setting.odd() / row.witnesses());
    }

    double failing() {
        return dispatches == 0 ? 0 : failed / dispatches;
    }
}
