package calicochute.lab.evenness;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * How the balancers respond to a trouble: the dispatches to the servers that it hits. Times in the components are
 * seconds from the start of the run, those of the methods microseconds.
 *
 * @param fair the fair share of these servers: their share of the tier's capacity
 * @param quarter the time from the beginning of the trouble to the first second in which they got less than a quarter
 *     of their fair share; null if there was none
 * @param back the time from the end of the trouble to the first second in which they got at least nine tenths of their
 *     fair share; null if there was none
 * @param firstTries first attempts of requests that were sent to them during the trouble
 * @param ofFirstTries their share of all first attempts during the trouble, over their fair share
 * @param shares in each second of the run, their share of all dispatches over their fair share
 */
public record TroubleResponse(
        String trouble,
        double from,
        double to,
        double fair,
        Double quarter,
        Double back,
        int firstTries,
        double ofFirstTries,
        List<Double> shares) {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STEP_MICROS = 100_000;

    /** The time of a trouble and the indices of the servers that it hits. */
    public record TroubleInterval(String name, long fromMicros, long toMicros, BitSet victims) {}

    static TroubleResponse of(
            TroubleInterval trouble, List<Server> servers, List<Dispatch> dispatches, long lengthMicros) {
        int steps = (int) (lengthMicros / STEP_MICROS);
        int[] all = new int[steps + 1];
        int[] toVictims = new int[steps + 1];
        int firstTries = 0;
        int allFirstTries = 0;
        for (Dispatch dispatch : dispatches) {
            if (dispatch.atMicros() < 0 || dispatch.atMicros() >= lengthMicros) {
                continue;
            }
            boolean victim = trouble.victims().get(dispatch.server());
            int step = (int) (dispatch.atMicros() / STEP_MICROS);
            all[step]++;
            toVictims[step] += victim ? 1 : 0;
            if (dispatch.firstAttempt()
                    && dispatch.atMicros() >= trouble.fromMicros()
                    && dispatch.atMicros() < trouble.toMicros()) {
                allFirstTries++;
                firstTries += victim ? 1 : 0;
            }
        }
        double totalCapacity = servers.stream().mapToDouble(Server::capacity).sum();
        double fair = trouble.victims().stream()
                        .mapToDouble(v -> servers.get(v).capacity())
                        .sum()
                / totalCapacity;
        List<Double> shares = new ArrayList<>();
        for (long at = 0; at + SECOND_MICROS <= lengthMicros; at += SECOND_MICROS) {
            shares.add(share(all, toVictims, at, fair));
        }
        Double quarter = null;
        for (long at = trouble.fromMicros();
                at < trouble.toMicros() && at + SECOND_MICROS <= lengthMicros && quarter == null;
                at += STEP_MICROS) {
            quarter = share(all, toVictims, at, fair) < 0.25 ? Double.valueOf((at - trouble.fromMicros()) / 1e6) : null;
        }
        Double back = null;
        for (long at = trouble.toMicros(); at + SECOND_MICROS <= lengthMicros && back == null; at += STEP_MICROS) {
            back = share(all, toVictims, at, fair) >= 0.9 ? Double.valueOf((at - trouble.toMicros()) / 1e6) : null;
        }
        return new TroubleResponse(
                trouble.name(),
                trouble.fromMicros() / 1e6,
                trouble.toMicros() / 1e6,
                fair,
                quarter,
                back,
                firstTries,
                allFirstTries == 0 ? 0 : firstTries / (allFirstTries * fair),
                shares);
    }

    /** Their share in the second that begins at {@code at}, over the fair share; 1 if there were no dispatches. */
    private static double share(int[] all, int[] toVictims, long at, double fair) {
        int first = (int) (at / STEP_MICROS);
        int sum = 0;
        int part = 0;
        for (int i = first; i < first + SECOND_MICROS / STEP_MICROS && i < all.length; i++) {
            sum += all[i];
            part += toVictims[i];
        }
        return sum == 0 ? 1 : part / (sum * fair);
    }
}
