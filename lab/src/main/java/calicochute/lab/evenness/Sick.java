package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * What servers got that a trouble hit. Times are seconds; shares are of all dispatches of the tier, over their fair
 * share (by capacity among all servers).
 *
 * @param quarter how long after the trouble's start a second began in which they got under a quarter of their fair
 *     share
 * @param back how long after its end one began with nine tenths of it; both null where there was none
 * @param firstTries requests sent to one of them first, while it was in trouble
 * @param ofFirstTries their part of all first tries meanwhile, over the fair share
 * @param shares in each second of the run
 */
public record Sick(
        String trouble,
        double from,
        double to,
        double fair,
        Double quarter,
        Double back,
        int firstTries,
        double ofFirstTries,
        List<Double> shares) {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 100_000;

    /** A trouble: when (microseconds), and which servers. */
    public record Trouble(String name, long from, long to, BitSet victims) {}

    static Sick of(Trouble trouble, List<Server> servers, List<Dispatch> dispatches, long length) {
        int steps = (int) (length / STEP);
        int[] all = new int[steps + 1];
        int[] theirs = new int[steps + 1];
        int firstTries = 0;
        int allFirst = 0;
        for (Dispatch d : dispatches) {
            if (d.at() < 0 || d.at() >= length) {
                continue;
            }
            boolean victim = trouble.victims().get(d.server());
            int step = (int) (d.at() / STEP);
            all[step]++;
            theirs[step] += victim ? 1 : 0;
            if (d.first() && d.at() >= trouble.from() && d.at() < trouble.to()) {
                allFirst++;
                firstTries += victim ? 1 : 0;
            }
        }
        double whole = servers.stream().mapToDouble(Server::capacity).sum();
        double fair = trouble.victims().stream()
                        .mapToDouble(v -> servers.get(v).capacity())
                        .sum()
                / whole;
        List<Double> shares = new ArrayList<>();
        for (long at = 0; at + SECOND <= length; at += SECOND) {
            shares.add(share(all, theirs, at, fair));
        }
        Double quarter = null;
        for (long at = trouble.from(); at < trouble.to() && at + SECOND <= length && quarter == null; at += STEP) {
            quarter = share(all, theirs, at, fair) < 0.25 ? Double.valueOf((at - trouble.from()) / 1e6) : null;
        }
        Double back = null;
        for (long at = trouble.to(); at + SECOND <= length && back == null; at += STEP) {
            back = share(all, theirs, at, fair) >= 0.9 ? Double.valueOf((at - trouble.to()) / 1e6) : null;
        }
        return new Sick(
                trouble.name(),
                trouble.from() / 1e6,
                trouble.to() / 1e6,
                fair,
                quarter,
                back,
                firstTries,
                allFirst == 0 ? 0 : firstTries / (allFirst * fair),
                shares);
    }

    /** In the second from {@code at}, over the fair share; 1 where nothing was sent at all. */
    private static double share(int[] all, int[] theirs, long at, double fair) {
        int first = (int) (at / STEP);
        int sum = 0;
        int part = 0;
        for (int i = first; i < first + SECOND / STEP && i < all.length; i++) {
            sum += all[i];
            part += theirs[i];
        }
        return sum == 0 ? 1 : part / (sum * fair);
    }
}
