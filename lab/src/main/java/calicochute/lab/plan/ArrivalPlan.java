package calicochute.lab.plan;

import calicochute.lab.chance.Streams;
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
 * All first tries of a run, drawn ahead: an open loop, which no answer speeds up or holds back. The usual traffic is a
 * Poisson process with a slow wave, behind a lead-in at negative times that rises to it; each traffic jump is a further
 * process from a stream of its own, so the usual requests are the same with it and without.
 */
public final class ArrivalPlan {
    private static final double WAVE_S = 25;
    private final Deployment deployment;
    private final Scenario scenario;
    private final Streams streams;

    private ArrivalPlan(Deployment deployment, Streams streams) {
        this.deployment = deployment;
        this.scenario = deployment.scenario();
        this.streams = streams;
    }

    /** The arrivals, in order. */
    public static List<Arrival> draw(Deployment deployment, Streams streams) {
        return new ArrivalPlan(deployment, streams).all();
    }

    private List<Arrival> all() {
        double mean = deployment.ratePerSecond();
        double length = scenario.length().seconds();
        List<Arrival> all = new ArrayList<>();
        process("usual", 0, length, mean * (1 + scenario.load().swing()), t -> mean * wave(t), all);
        double lead = scenario.leadIn().seconds();
        process("lead-in", -lead, 0, mean, t -> mean * (t + lead) / lead, all);
        for (int i = 0; i < scenario.troubles().size(); i++) {
            Trouble trouble = scenario.troubles().get(i);
            if (trouble.kind() == Trouble.Kind.JUMP && trouble.factor() > 1) {
                double from = trouble.at().seconds();
                double extra = mean * (trouble.factor() - 1);
                process(
                        "jump " + i,
                        from,
                        Math.min(length, from + trouble.lasts().seconds()),
                        extra * (1 + scenario.load().swing()),
                        t -> extra * wave(t),
                        all);
            }
        }
        all.sort(Comparator.comparingLong(Arrival::at));
        return overShare(all);
    }

    private double wave(double t) {
        return 1 + scenario.load().swing() * Math.sin(2 * Math.PI * t / WAVE_S);
    }

    /** A Poisson process of changing rate, by thinning one of the highest rate (Lewis and Shedler 1979). */
    private void process(
            String name, double from, double to, double most, DoubleUnaryOperator rate, List<Arrival> into) {
        UniformRandomProvider times = streams.of("arrivals " + name, 0);
        int index = 0;
        for (double t = from + Streams.exponential(times, 1 / most);
                t < to;
                t += Streams.exponential(times, 1 / most)) {
            if (times.nextDouble() * most < rate.applyAsDouble(t)) {
                into.add(arrival(streams.of("request " + name, index++), t));
            }
        }
    }

    private Arrival arrival(UniformRandomProvider draw, double seconds) {
        int classIndex = Streams.weighted(
                draw,
                scenario.classes().stream().mapToDouble(RequestClass::share).toArray());
        RequestClass c = scenario.classes().get(classIndex);
        int tenant = Streams.weighted(
                draw,
                scenario.tenants().stream()
                        .mapToDouble(t -> t.share() * t.usage())
                        .toArray());
        int zones = scenario.zones().names().size();
        double[] weights = new double[zones];
        for (int i = 0; i < zones; i++) {
            weights[i] = 1 + scenario.load().zoneSkew() * (zones == 1 ? 0 : 1 - 2.0 * i / (zones - 1));
        }
        int zone = Streams.weighted(draw, weights);
        double work = Streams.lognormal(draw, c.work().micros(), c.spread());
        List<Integer> calls = new ArrayList<>();
        for (Tier tier : scenario.tiers()) {
            double wanted = tier.calls().mean();
            calls.add((int) Math.floor(wanted) + (draw.nextDouble() < wanted - Math.floor(wanted) ? 1 : 0));
        }
        double patience = scenario.clients().patience().at(draw.nextDouble());
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

    /** Numbers the arrivals and marks those beyond their tenant's share of the second. */
    private List<Arrival> overShare(List<Arrival> all) {
        double allowed = deployment.allowancePerSecond();
        int[] sent = new int[scenario.tenants().size()];
        long second = Long.MIN_VALUE;
        List<Arrival> marked = new ArrayList<>(all.size());
        for (Arrival a : all) {
            if (Math.floorDiv(a.at(), 1_000_000L) != second) {
                second = Math.floorDiv(a.at(), 1_000_000L);
                java.util.Arrays.fill(sent, 0);
            }
            boolean over = ++sent[a.tenant()]
                    > Math.ceil(allowed * scenario.tenants().get(a.tenant()).share());
            marked.add(new Arrival(
                    marked.size(),
                    a.at(),
                    a.classIndex(),
                    a.tenant(),
                    a.zone(),
                    a.work(),
                    a.patience(),
                    a.calls(),
                    a.balancerDraw(),
                    a.honours(),
                    over));
        }
        return List.copyOf(marked);
    }
}
