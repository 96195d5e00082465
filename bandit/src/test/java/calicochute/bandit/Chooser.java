package calicochute.bandit;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A simple stand-in of one balancer's decision module: aged speeds, softmax, its subset, own dispatches out; and how
 * advice is used.
 */
final class Chooser {
    private static final double TAU = 0.04;
    private final UniformRandomProvider random;
    private final int[] use;
    private final double[] speed;
    private final long[] at;
    private final double[] samples;
    private final double[] last;
    private final Map<Integer, ArrayDeque<Long>> out = new TreeMap<>();
    private final Set<Integer> trying = new HashSet<>();
    private final double[] advised;
    private final double[] worth;
    private final boolean[] sick;
    private int answers;
    double latency;

    Chooser(int servers, int[] use, UniformRandomProvider random) {
        this.use = use;
        this.random = random;
        speed = new double[servers];
        java.util.Arrays.fill(speed, 1);
        at = new long[servers];
        samples = new double[servers];
        last = new double[servers];
        java.util.Arrays.fill(last, 1);
        advised = new double[servers];
        worth = new double[servers];
        sick = new boolean[servers];
    }

    private final Set<Integer> told = new HashSet<>();

    void advised(Advices advices, Map<String, Integer> numbers) {
        java.util.Arrays.fill(worth, 0);
        for (Advice a : advices.of()) {
            int s = numbers.get(a.server());
            advised[s] = a.speed();
            worth[s] = a.worth();
            sick[s] = a.sick();
            if (!a.mayTry()) {
                told.remove(s);
                trying.remove(s);
            } else if (told.add(s)) {
                trying.add(s);
            }
        }
    }

    int pick(long now, double anywhere) {
        if (!trying.isEmpty()) {
            int s = trying.iterator().next();
            trying.remove(s);
            return s;
        }
        if (random.nextDouble() < anywhere) {
            return use[random.nextInt(use.length)];
        }
        double[] score = new double[use.length];
        double best = 0;
        for (int i = 0; i < use.length; i++) {
            score[i] = estimate(now, use[i]);
            best = Math.max(best, score[i]);
        }
        double total = 0;
        for (int i = 0; i < use.length; i++) {
            total += score[i] = Math.exp((score[i] / best - 1) / TAU);
        }
        double left = random.nextDouble() * total;
        for (int i = 0; i < use.length; i++) {
            left -= score[i];
            if (left < 0) {
                return use[i];
            }
        }
        return use[use.length - 1];
    }

    private double estimate(long now, int s) {
        double keep = Math.exp((at[s] - now) / 10e6);
        double own = speed[s] * keep + (1 - keep);
        ArrayDeque<Long> of = out.get(s);
        boolean any = of != null && !of.isEmpty();
        // One's own bad sample of just now: the rows cannot know yet, or the path is one's own.
        boolean newer = now - at[s] < 5_000_000 && last[s] < advised[s] / 3;
        if (worth[s] > 0 && (sick[s] || own > 1 / 3.0)) {
            double mine = samples[s] * Math.exp((at[s] - now) / 3e6);
            double k = mine / (mine + worth[s]);
            own = own * k + advised[s] * (1 - k);
            own *= newer && !sick[s] ? 0.9 : 1;
        }
        // What is out speaks of now, rows of two seconds ago.
        if (any && latency > 0 && now - of.peek() > 2 * latency) {
            own = Math.min(own, 2 * latency / (now - of.peek()));
        }
        return Math.max(1e-3, own / (1 + 0.5 * (any ? of.size() : 0)));
    }

    void sent(long now, int s) {
        out.computeIfAbsent(s, x -> new ArrayDeque<>()).add(now);
    }

    /** @return the log speed; NaN: failed */
    double ended(long now, int s, long sentAt, boolean failed) {
        out.get(s).remove(sentAt);
        double sample = 0;
        if (!failed) {
            answers = Math.min(31, answers) + 1;
            latency += (now - sentAt - latency) / answers;
            sample = Math.min(3, latency / (now - sentAt));
        }
        double delta = Math.max(3e6, 12e6 * use.length / 3.5);
        double alpha = Math.min(0.5, Math.max(failed ? 0.25 : 0, 1 - Math.exp((at[s] - now - 1000) / delta)));
        speed[s] += alpha * (sample - speed[s]);
        samples[s] = samples[s] * Math.exp((at[s] - now) / 3e6) + 1;
        last[s] = sample;
        at[s] = now;
        return failed ? Double.NaN : Math.log(sample);
    }
}
