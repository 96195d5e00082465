package calicochute.bandit;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A simple model of one balancer's decision module: decayed speed estimates of its subset of servers, a softmax over
 * them, the dispatches in flight, and the use of advice. Servers are numbered.
 */
final class SimulatedBalancer {
    private static final double TEMPERATURE = 0.04;
    private final UniformRandomProvider random;
    private final int[] subset;
    private final double[] speed;
    /** When the last dispatch to each server ended (microseconds). */
    private final long[] lastEndedAt;

    private final double[] samples;
    private final double[] lastSample;
    /** Start times of the dispatches in flight, by server. */
    private final Map<Integer, ArrayDeque<Long>> inFlight = new TreeMap<>();

    private final Set<Integer> trials = new HashSet<>();
    private final double[] advisedSpeed;
    private final double[] worthSamples;
    private final boolean[] unhealthy;
    private int answers;
    double meanLatency;

    SimulatedBalancer(int servers, int[] subset, UniformRandomProvider random) {
        this.subset = subset;
        this.random = random;
        speed = new double[servers];
        Arrays.fill(speed, 1);
        lastEndedAt = new long[servers];
        samples = new double[servers];
        lastSample = new double[servers];
        Arrays.fill(lastSample, 1);
        advisedSpeed = new double[servers];
        worthSamples = new double[servers];
        unhealthy = new boolean[servers];
    }

    private final Set<Integer> turns = new HashSet<>();

    void setAdvice(FleetAdvice fleetAdvice, Map<String, Integer> numbers) {
        Arrays.fill(worthSamples, 0);
        for (Advice advice : fleetAdvice.servers()) {
            int server = numbers.get(advice.server());
            advisedSpeed[server] = advice.speed();
            worthSamples[server] = advice.worthSamples();
            unhealthy[server] = advice.unhealthy();
            if (!advice.mayTry()) {
                turns.remove(server);
                trials.remove(server);
            } else if (turns.add(server)) {
                trials.add(server);
            }
        }
    }

    /** @param randomShare share of the sessions that go to a random server of the subset */
    int pick(long now, double randomShare) {
        if (!trials.isEmpty()) {
            int server = trials.iterator().next();
            trials.remove(server);
            return server;
        }
        if (random.nextDouble() < randomShare) {
            return subset[random.nextInt(subset.length)];
        }
        double[] score = new double[subset.length];
        double best = 0;
        for (int i = 0; i < subset.length; i++) {
            score[i] = estimate(now, subset[i]);
            best = Math.max(best, score[i]);
        }
        double total = 0;
        for (int i = 0; i < subset.length; i++) {
            total += score[i] = Math.exp((score[i] / best - 1) / TEMPERATURE);
        }
        double left = random.nextDouble() * total;
        for (int i = 0; i < subset.length; i++) {
            left -= score[i];
            if (left < 0) {
                return subset[i];
            }
        }
        return subset[subset.length - 1];
    }

    private double estimate(long now, int server) {
        double retained = Math.exp((lastEndedAt[server] - now) / 10e6);
        double own = speed[server] * retained + (1 - retained);
        ArrayDeque<Long> startTimes = inFlight.get(server);
        boolean busy = startTimes != null && !startTimes.isEmpty();
        // A recent bad sample of this balancer's own is either newer than the rows or a fault of its own path.
        boolean recentBadSample =
                now - lastEndedAt[server] < 5_000_000 && lastSample[server] < advisedSpeed[server] / 3;
        if (worthSamples[server] > 0 && (unhealthy[server] || own > 1 / 3.0)) {
            double ownSamples = samples[server] * Math.exp((lastEndedAt[server] - now) / 3e6);
            double ownShare = ownSamples / (ownSamples + worthSamples[server]);
            own = own * ownShare + advisedSpeed[server] * (1 - ownShare);
            own *= recentBadSample && !unhealthy[server] ? 0.9 : 1;
        }
        // Dispatches in flight show the present state of the server, rows that of two seconds ago.
        if (busy && meanLatency > 0 && now - startTimes.peek() > 2 * meanLatency) {
            own = Math.min(own, 2 * meanLatency / (now - startTimes.peek()));
        }
        return Math.max(1e-3, own / (1 + 0.5 * (busy ? startTimes.size() : 0)));
    }

    void onSent(long now, int server) {
        inFlight.computeIfAbsent(server, s -> new ArrayDeque<>()).add(now);
    }

    /** @return the log speed; NaN for a failed dispatch */
    double onEnded(long now, int server, long sentAt, boolean failed) {
        inFlight.get(server).remove(sentAt);
        double sample = 0;
        if (!failed) {
            answers = Math.min(31, answers) + 1;
            meanLatency += (now - sentAt - meanLatency) / answers;
            sample = Math.min(3, meanLatency / (now - sentAt));
        }
        double timeConstantMicros = Math.max(3e6, 12e6 * subset.length / 3.5);
        double alpha = Math.min(
                0.5,
                Math.max(failed ? 0.25 : 0, 1 - Math.exp((lastEndedAt[server] - now - 1000) / timeConstantMicros)));
        speed[server] += alpha * (sample - speed[server]);
        samples[server] = samples[server] * Math.exp((lastEndedAt[server] - now) / 3e6) + 1;
        lastSample[server] = sample;
        lastEndedAt[server] = now;
        return failed ? Double.NaN : Math.log(sample);
    }
}
