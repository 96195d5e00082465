package calicochute.bandit;

import calicochute.outcomes.AggregateRow;
import calicochute.outcomes.DispatchResult;
import calicochute.outcomes.OutcomeSnapshot;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The strategies that the simulation compares: the bandit and four others that read the same rows. */
interface Strategy {
    void update(long now, OutcomeSnapshot snapshot, Set<String> live, Collection<ListedServer> listed);

    FleetAdvice advise(long now);

    /** Share of the sessions that go to a random server. */
    default double randomShare() {
        return 0;
    }

    static Strategy of(String name, String self, long seed) {
        switch (name) {
            case "none":
                return new MeanSpeed(0, 0, 0);
            case "epsilon":
                return new MeanSpeed(1, 0, 0.02);
            case "ucb":
                return new MeanSpeed(1, 0.5, 0);
            case "exp3":
                return new Exp3();
            default:
                Bandit bandit = new Bandit(BanditSettings.DEFAULT, self, seed);
                return new Strategy() {
                    @Override
                    public void update(
                            long now, OutcomeSnapshot snapshot, Set<String> live, Collection<ListedServer> listed) {
                        bandit.update(now, snapshot, live, listed);
                    }

                    @Override
                    public FleetAdvice advise(long now) {
                        return bandit.advise(now);
                    }
                };
        }
    }

    /**
     * The mean speed over the last three windows. With {@code bonus} it is the upper confidence bound (UCB), with
     * {@code randomShare} epsilon-greedy, and with a {@code worth} of 0 there is no advice.
     */
    final class MeanSpeed implements Strategy {
        private final double worth;
        private final double bonus;
        private final double randomShare;
        private List<Advice> advice = List.of();

        MeanSpeed(double worth, double bonus, double randomShare) {
            this.worth = worth;
            this.bonus = bonus;
            this.randomShare = randomShare;
        }

        @Override
        public void update(long now, OutcomeSnapshot snapshot, Set<String> live, Collection<ListedServer> listed) {
            Map<String, double[]> sums = new HashMap<>();
            double all = 1;
            for (AggregateRow row : worth == 0 ? List.<AggregateRow>of() : snapshot.rows(now)) {
                if (now - (row.window() + 4) * 2_000_000 <= 2_000_000) {
                    double[] sum = sums.computeIfAbsent(row.key().server(), s -> new double[3]);
                    sum[0] += row.sum().total();
                    sum[1] += Math.exp(row.sum().meanLogSpeed())
                            * (row.sum().count(DispatchResult.WITHIN_OBJECTIVE)
                                    + row.sum().count(DispatchResult.LATE));
                    all += row.sum().total();
                }
            }
            double total = all;
            List<Advice> next = new ArrayList<>();
            sums.forEach((server, sum) -> next.add(new Advice(
                    server,
                    0,
                    Math.min(3, sum[1] / sum[0] + bonus * Math.sqrt(Math.log(total) / sum[0])),
                    sum[0],
                    false,
                    false)));
            advice = next;
        }

        @Override
        public FleetAdvice advise(long now) {
            return new FleetAdvice(advice, 0, 1, now);
        }

        @Override
        public double randomShare() {
            return randomShare;
        }
    }

    /**
     * EXP3: weights by the fleet's importance-weighted rewards (the speed, at most 1), with a tenth of the choices at
     * random. The log of a weight becomes the log of the softmax's odds.
     */
    final class Exp3 implements Strategy {
        private final Map<String, Double> logWeights = new HashMap<>();
        private long newestWindow = Long.MIN_VALUE;

        @Override
        public void update(long now, OutcomeSnapshot snapshot, Set<String> live, Collection<ListedServer> listed) {
            long from = newestWindow;
            int servers = listed.size();
            listed.forEach(l -> logWeights.putIfAbsent(l.id(), 0.0));
            double total = logWeights.values().stream().mapToDouble(Math::exp).sum();
            for (AggregateRow row : snapshot.rows(now)) {
                newestWindow = Math.max(newestWindow, row.window());
                if (row.window() > from) {
                    double probability = 0.9 * Math.exp(logWeights.get(row.key().server())) / total + 0.1 / servers;
                    double reward = row.sum().total()
                            * Math.min(1, Math.exp(row.sum().meanLogSpeed()))
                            * row.sum().speedSamples()
                            / row.sum().total();
                    // The learning rate is 0.1 / servers for each session of a server with an even share, of which
                    // there are fifteen or more in a window.
                    logWeights.merge(
                            row.key().server(), Math.min(1, 0.002 * reward / (probability * servers)), Double::sum);
                }
            }
            double top = logWeights.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .max()
                    .orElse(0);
            logWeights.replaceAll((server, log) -> Math.max(-4, log - top));
        }

        @Override
        public FleetAdvice advise(long now) {
            List<Advice> advice = new ArrayList<>();
            double total = logWeights.values().stream().mapToDouble(Math::exp).sum();
            logWeights.forEach((server, log) -> advice.add(new Advice(
                    server,
                    0,
                    1 + 0.04 * Math.log((0.9 * Math.exp(log) / total + 0.1 / logWeights.size()) * logWeights.size()),
                    200,
                    false,
                    false)));
            return new FleetAdvice(advice, 0, 1, now);
        }
    }
}
