package calicochute.lab.plan;

import calicochute.lab.chance.Streams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.Kind;
import calicochute.lab.scenario.Scenario.Tier;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The machines and balancers of a run, drawn from its seed. Machines are spread over the zones in turn, the kinds by
 * their shares; each machine that calls on has a balancer of its own in its zone.
 */
public record Deployment(Scenario scenario, List<MachineSpec> machines, List<BalancerSpec> balancers) {
    private static final long REPORT_EVERY_LEAST = 330_000;
    private static final long REPORT_EVERY_SPAN = 700_000;
    private static final long REPORT_DELAY_LEAST = 100_000;
    private static final long REPORT_DELAY_SPAN = 200_000;
    private static final int CELL = 8;

    public static Deployment draw(Scenario scenario, Streams streams) {
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
                Kind kind = kind(tier, i);
                int zone = i % zones.size();
                MachineSpec machine = new MachineSpec(
                        tier.name() + "-" + i,
                        t,
                        i,
                        zones.get(zone),
                        zone * 1000 + i / zones.size() / CELL,
                        kind,
                        kind.speed().at(draw.nextDouble()),
                        REPORT_EVERY_LEAST + draw.nextLong(REPORT_EVERY_SPAN),
                        REPORT_DELAY_LEAST + draw.nextLong(REPORT_DELAY_SPAN));
                machines.add(machine);
                if (t + 1 < scenario.tiers().size()) {
                    balancers.add(new BalancerSpec("b" + (t + 1) + "-" + i, t + 1, i, machine.zone(), machine.id()));
                }
            }
        }
        return new Deployment(scenario, List.copyOf(machines), List.copyOf(balancers));
    }

    /** Kinds in the proportion of their shares, mixed: the golden ratio's multiples lie evenly whatever the count. */
    private static Kind kind(Tier tier, int index) {
        double place = (index * 0.6180339887498949 + 0.3) % 1;
        for (Kind kind : tier.kinds()) {
            place -= kind.share();
            if (place < 0) {
                return kind;
            }
        }
        return tier.kinds().get(tier.kinds().size() - 1);
    }

    public List<MachineSpec> machines(int tier) {
        return machines.stream().filter(m -> m.tier() == tier).toList();
    }

    /**
     * The nominal size that discovery tells: cores over the tier's mean, so 1 where all are alike; not the speed drawn.
     */
    public double size(MachineSpec machine) {
        return machine.kind().cores()
                / machines(machine.tier()).stream()
                        .mapToInt(m -> m.kind().cores())
                        .average()
                        .orElseThrow();
    }

    /** Mean work of a request, in microseconds of a core of speed 1, over all tiers. */
    public double meanWork() {
        return scenario.classes().stream()
                .mapToDouble(c -> c.share() * c.work().micros())
                .sum();
    }

    /** First tries a second that the tier which runs out first can do, warm and undisturbed. */
    public double capacityPerSecond() {
        double calls = 1;
        double least = Double.MAX_VALUE;
        for (int t = 0; t < scenario.tiers().size(); t++) {
            Tier tier = scenario.tiers().get(t);
            double capacity =
                    machines(t).stream().mapToDouble(MachineSpec::capacity).sum() * 1e6;
            least = Math.min(least, capacity / (meanWork() * tier.work() * calls));
            calls *= Math.max(1, tier.calls().mean());
        }
        return least;
    }

    /** First tries a second, in the mean. */
    public double ratePerSecond() {
        return scenario.load().rate() != null
                ? scenario.load().rate().perSecond()
                : scenario.load().utilisation() * capacityPerSecond();
    }

    /** What members may send in all, a second. */
    public double allowancePerSecond() {
        return 0.85 * capacityPerSecond();
    }

    /** One-way time between two zones, in microseconds. */
    public long delay(String from, String to) {
        return from.equals(to)
                ? scenario.zones().within().micros()
                : scenario.zones().across().micros();
    }
}
