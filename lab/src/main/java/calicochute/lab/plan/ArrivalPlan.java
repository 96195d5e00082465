package calicochute.lab.plan;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.RequestClass;
import calicochute.lab.scenario.Scenario.Tier;
import calicochute.lab.scenario.Trouble;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws all first tries of a run in advance: an open-loop workload, whose arrivals do not depend on answers. The usual
 * traffic is a Poisson process whose rate follows a slow sine wave, after a lead-in at negative times in which the rate
 * rises linearly. Each traffic jump is an additional process with a random stream of its own, so that the usual
 * requests are the same with and without it.
 */
public final class ArrivalPlan {
    private static final double WAVE_PERIOD_SECONDS = 25;
    private final Deployment deployment;
    private final Scenario scenario;
    private final RandomStreams streams;

    private ArrivalPlan(Deployment deployment, RandomStreams streams) {
        this.deployment = deployment;
        this.scenario = deployment.scenario();
        this.streams = streams;
    }

    /** Draws the arrivals, in the order of their times. */
    public static List<Arrival> draw(Deployment deployment, RandomStreams streams) {
        return new ArrivalPlan(deployment, streams).drawAll();
    }

    private List<Arrival> drawAll() {
        double mean = deployment.ratePerSecond();
        double length = scenario.length().seconds();
        List<Arrival> all = new ArrayList<>();
        addPoissonProcess("usual", 0, length, mean * (1 + scenario.load().swing()), t -> mean * wave(t), all);
        double leadIn = scenario.leadIn().seconds();
        addPoissonProcess("lead-in", -leadIn, 0, mean, t -> mean * (t + leadIn) / leadIn, all);
        for (int i = 0; i < scenario.troubles().size(); i++) {
            Trouble trouble = scenario.troubles().get(i);
            if (trouble.kind() == Trouble.Kind.JUMP && trouble.factor() > 1) {
                double start = trouble.at().seconds();
                double extra = mean * (trouble.factor() - 1);
                addPoissonProcess(
                        "jump " + i,
                        start,
                        Math.min(length, start + trouble.lasts().seconds()),
                        extra * (1 + scenario.load().swing()),
                        t -> extra * wave(t),
                        all);
            }
        }
        all.sort(Comparator.comparingLong(Arrival::atMicros));
        return numberAndMarkOverShare(all);
    }

    private double wave(double seconds) {
        return 1 + scenario.load().swing() * Math.sin(2 * Math.PI * seconds / WAVE_PERIOD_SECONDS);
    }

    /**
     * Adds the arrivals of a Poisson process of varying rate, by thinning one of the constant rate {@code maxRate}
     * (Lewis and Shedler 1979). Times are seconds, rates per second.
     */
    private void addPoissonProcess(
            String name, double from, double to, double maxRate, DoubleUnaryOperator rate, List<Arrival> into) {
        UniformRandomProvider times = streams.of("arrivals " + name, 0);
        int index = 0;
        for (double t = from + RandomStreams.exponential(times, 1 / maxRate);
                t < to;
                t += RandomStreams.exponential(times, 1 / maxRate)) {
            if (times.nextDouble() * maxRate < rate.applyAsDouble(t)) {
                into.add(arrival(streams.of("request " + name, index++), t));
            }
        }
    }

    private Arrival arrival(UniformRandomProvider draw, double seconds) {
        int classIndex = RandomStreams.weighted(
                draw,
                scenario.classes().stream().mapToDouble(RequestClass::share).toArray());
        RequestClass requestClass = scenario.classes().get(classIndex);
        int tenant = RandomStreams.weighted(
                draw,
                scenario.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usage())
                        .toArray());
        int zones = scenario.zones().names().size();
        double[] weights = new double[zones];
        for (int i = 0; i < zones; i++) {
            weights[i] = 1 + scenario.load().zoneSkew() * (zones == 1 ? 0 : 1 - 2.0 * i / (zones - 1));
        }
        int zone = RandomStreams.weighted(draw, weights);
        double work = RandomStreams.lognormal(draw, requestClass.work().micros(), requestClass.spread());
        List<Integer> calls = new ArrayList<>();
        for (Tier tier : scenario.tiers()) {
            double mean = tier.calls().mean();
            calls.add((int) Math.floor(mean) + (draw.nextDouble() < mean - Math.floor(mean) ? 1 : 0));
        }
        double patience = scenario.clients().patience().interpolate(draw.nextDouble());
        return new Arrival(
                0,
                Math.round(seconds * 1e6),
                classIndex,
                tenant,
                zone,
                work,
                patience,
                List.copyOf(calls),
                draw.nextDouble(),
                draw.nextDouble() < scenario.clients().honour(),
                false);
    }

    /** Numbers the arrivals and marks those beyond their tenant's share of the allowance for the second. */
    private List<Arrival> numberAndMarkOverShare(List<Arrival> all) {
        double allowed = deployment.allowancePerSecond();
        int[] sent = new int[scenario.tenants().size()];
        long second = Long.MIN_VALUE;
        List<Arrival> marked = new ArrayList<>(all.size());
        for (Arrival arrival : all) {
            if (Math.floorDiv(arrival.atMicros(), 1_000_000L) != second) {
                second = Math.floorDiv(arrival.atMicros(), 1_000_000L);
                java.util.Arrays.fill(sent, 0);
            }
            boolean over = ++sent[arrival.tenant()]
                    > Math.ceil(
                            allowed * scenario.tenants().get(arrival.tenant()).share());
            marked.add(new Arrival(
                    marked.size(),
                    arrival.atMicros(),
                    arrival.classIndex(),
                    arrival.tenant(),
                    arrival.zone(),
                    arrival.workMicros(),
                    arrival.patience(),
                    arrival.calls(),
                    arrival.balancerDraw(),
                    arrival.honoursRetryAfter(),
                    over));
        }
        return List.copyOf(marked);
    }
}
