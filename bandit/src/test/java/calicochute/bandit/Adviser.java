package calicochute.bandit;

import calicochute.outcomes.End;
import calicochute.outcomes.Picture;
import calicochute.outcomes.Row;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the simulation compares: the bandit and four other rules that read the same rows. */
interface Adviser {
    void heard(long now, Picture picture, Set<String> live, Collection<Listed> listed);

    Advices advise(long now);

    /** Part of the sessions that go anywhere at all. */
    default double anywhere() {
        return 0;
    }

    static Adviser of(String rule, String me, long seed) {
        switch (rule) {
            case "none":
                return new Plain(0, 0, 0);
            case "epsilon":
                return new Plain(1, 0, 0.02);
            case "ucb":
                return new Plain(1, 0.5, 0);
            case "exp3":
                return new Exp3();
            default:
                Bandit bandit = new Bandit(Setting.USUAL, me, seed);
                return new Adviser() {
                    @Override
                    public void heard(long now, Picture picture, Set<String> live, Collection<Listed> listed) {
                        bandit.heard(now, picture, live, listed);
                    }

                    @Override
                    public Advices advise(long now) {
                        return bandit.advise(now);
                    }
                };
        }
    }

    /** The mean speed of the last three windows; with {@code bonus} the upper confidence bound. */
    final class Plain implements Adviser {
        private final double worth;
        private final double bonus;
        private final double anywhere;
        private List<Advice> of = List.of();

        Plain(double worth, double bonus, double anywhere) {
            this.worth = worth;
            this.bonus = bonus;
            this.anywhere = anywhere;
        }

        @Override
        public void heard(long now, Picture picture, Set<String> live, Collection<Listed> listed) {
            Map<String, double[]> sums = new HashMap<>();
            double all = 1;
            for (Row r : worth == 0 ? List.<Row>of() : picture.rows(now)) {
                if (now - (r.window() + 4) * 2_000_000 <= 2_000_000) {
                    double[] sum = sums.computeIfAbsent(r.subject().server(), s -> new double[3]);
                    sum[0] += r.sum().total();
                    sum[1] += Math.exp(r.sum().meanLogSpeed())
                            * (r.sum().of(End.IN_AIM) + r.sum().of(End.LATE));
                    all += r.sum().total();
                }
            }
            double n = all;
            List<Advice> next = new ArrayList<>();
            sums.forEach((s, sum) -> next.add(new Advice(
                    s,
                    0,
                    Math.min(3, sum[1] / sum[0] + bonus * Math.sqrt(Math.log(n) / sum[0])),
                    sum[0],
                    false,
                    false)));
            of = next;
        }

        @Override
        public Advices advise(long now) {
            return new Advices(of, 0, 1, now);
        }

        @Override
        public double anywhere() {
            return anywhere;
        }
    }

    /**
     * Weights by the fleet's importance-weighted rewards (speed up to 1), a tenth at random; the log of a weight is one
     * of the softmax' odds.
     */
    final class Exp3 implements Adviser {
        private final Map<String, Double> logs = new HashMap<>();
        private long seen = Long.MIN_VALUE;

        @Override
        public void heard(long now, Picture picture, Set<String> live, Collection<Listed> listed) {
            long from = seen;
            int many = listed.size();
            listed.forEach(l -> logs.putIfAbsent(l.id(), 0.0));
            double total = logs.values().stream().mapToDouble(Math::exp).sum();
            for (Row r : picture.rows(now)) {
                seen = Math.max(seen, r.window());
                if (r.window() > from) {
                    double p = 0.9 * Math.exp(logs.get(r.subject().server())) / total + 0.1 / many;
                    double reward = r.sum().total()
                            * Math.min(1, Math.exp(r.sum().meanLogSpeed()))
                            * r.sum().speeds()
                            / r.sum().total();
                    // A rate of 0.1 / many for each session of a server with an even share: fifteen or more a window.
                    logs.merge(r.subject().server(), Math.min(1, 0.002 * reward / (p * many)), Double::sum);
                }
            }
            double top = logs.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .max()
                    .orElse(0);
            logs.replaceAll((s, log) -> Math.max(-4, log - top));
        }

        @Override
        public Advices advise(long now) {
            List<Advice> of = new ArrayList<>();
            double total = logs.values().stream().mapToDouble(Math::exp).sum();
            logs.forEach((s, log) -> of.add(new Advice(
                    s,
                    0,
                    1 + 0.04 * Math.log((0.9 * Math.exp(log) / total + 0.1 / logs.size()) * logs.size()),
                    200,
                    false,
                    false)));
            return new Advices(of, 0, 1, now);
        }
    }
}
