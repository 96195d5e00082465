package calicochute.lab.plan;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.Kind;
import calicochute.lab.scenario.Scenario.Tier;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The machines and balancers of a run, drawn from its seed. Machines are assigned to zones round robin and to kinds in
 * proportion to their shares. Each machine that calls a further tier has a balancer of its own in its zone.
 */
public record Deployment(Scenario scenario, List<MachineSpec> machines, List<BalancerSpec> balancers) {
    private static final long MIN_REPORT_INTERVAL_MICROS = 330_000;
    private static final long REPORT_INTERVAL_RANGE_MICROS = 700_000;
    private static final long MIN_REPORT_DELAY_MICROS = 100_000;
    private static final long REPORT_DELAY_RANGE_MICROS = 200_000;
    private static final int MACHINES_PER_CELL = 8;

    /** Draws the deployment of a scenario. */
    public static Deployment draw(Scenario scenario, RandomStreams streams) {
        List<MachineSpec> machines = new ArrayList<>();
        List<BalancerSpec> balancers = new ArrayList<>();
        List<String> zones = scenario.zones().names();
        for (int i = 0; i < scenario.balancers().count(); i++) {
            balancers.add(new BalancerSpec("b0-" + i, 0, i, zones.get(i % zones.size()), null));
        }
        for (int t = 0; t < scenario.tiers().size(); t++) {
            Tier tier = scenario.tiers().get(t);
            for (int i = 0; i < tier.servers(); i++) {
                UniformRandomProvider draw = streams.of("machine " + tier.name(), i);
                Kind kind = assignKind(tier, i);
                int zone = i % zones.size();
                MachineSpec machine = new MachineSpec(
                        tier.name() + "-" + i,
                        t,
                        i,
                        zones.get(zone),
                        zone * 1000 + i / zones.size() / MACHINES_PER_CELL,
                        kind,
                        kind.speed().interpolate(draw.nextDouble()),
                        MIN_REPORT_INTERVAL_MICROS + draw.nextLong(REPORT_INTERVAL_RANGE_MICROS),
                        MIN_REPORT_DELAY_MICROS + draw.nextLong(REPORT_DELAY_RANGE_MICROS));
                machines.add(machine);
                if (t + 1 < scenario.tiers().size()) {
                    balancers.add(new BalancerSpec("b" + (t + 1) + "-" + i, t + 1, i, machine.zone(), machine.id()));
                }
            }
        }
        return new Deployment(scenario, List.copyOf(machines), List.copyOf(balancers));
    }

    /**
     * Assigns kinds in proportion to their shares: multiples of the golden ratio modulo 1 are evenly distributed for
     * any number of machines.
     */
    private static Kind assignKind(Tier tier, int index) {
        double position = (index * 0.6180339887498949 + 0.3) % 1;
        for (Kind kind : tier.kinds()) {
            position -= kind.share();
            if (position < 0) {
                return kind;
            }
        }
        return tier.kinds().get(tier.kinds().size() - 1);
    }

    /** Returns the machines of a tier, in the order of their indices. */
    public List<MachineSpec> machines(int tier) {
        return machines.stream().filter(m -> m.tier() == tier).toList();
    }

    /**
     * The weight of a machine in discovery's list: its number of cores over the tier's mean, so 1 if all have the same
     * number. It does not depend on the speed drawn.
     */
    public double discoveryWeight(MachineSpec machine) {
        return machine.kind().cores()
                / machines(machine.tier()).stream()
                        .mapToInt(m -> m.kind().cores())
                        .average()
                        .orElseThrow();
    }

    /** Mean work of a request over all tiers, in microseconds of a core of speed 1. */
    public double meanWorkMicros() {
        return scenario.classes().stream()
                .mapToDouble(c -> c.share() * c.work().micros())
                .sum();
    }

    /** First tries a second that the bottleneck tier can serve with all machines warm and no trouble. */
    public double capacityPerSecond() {
        double calls = 1;
        double lowest = Double.MAX_VALUE;
        for (int t = 0; t < scenario.tiers().size(); t++) {
            Tier tier = scenario.tiers().get(t);
            double capacity =
                    machines(t).stream().mapToDouble(MachineSpec::capacity).sum() * 1e6;
            lowest = Math.min(lowest, capacity / (meanWorkMicros() * tier.work() * calls));
            calls *= Math.max(1, tier.calls().mean());
        }
        return lowest;
    }

    /** The mean rate of first tries a second, without traffic jumps. */
    public double ratePerSecond() {
        return scenario.load().rate() != null
                ? scenario.load().rate().perSecond()
                : scenario.load().utilisation() * capacityPerSecond();
    }

    /** The requests a second that all tenants together may send: 85% of the capacity. */
    public double allowancePerSecond() {
        return 0.85 * capacityPerSecond();
    }

    /** One-way network delay between two zones, in microseconds. */
    public long oneWayDelayMicros(String from, String to) {
        return from.equals(to)
                ? scenario.zones().within().micros()
                : scenario.zones().across().micros();
    }
}
