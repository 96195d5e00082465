package calicochute.lab.plan;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Trouble;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * A trouble with its time, in microseconds from the start of the run, and the targets drawn from the seed.
 *
 * @param victims ids of the machines, names of the balancers, or the name of the zone that it hits
 * @param others names of the balancers at the other end of a one-way cut
 */
public record TroublePlan(Trouble trouble, long fromMicros, long toMicros, List<String> victims, List<String> others) {
    /** Draws a plan for each trouble of the scenario, in its order. */
    public static List<TroublePlan> draw(Deployment deployment, RandomStreams streams) {
        Scenario scenario = deployment.scenario();
        List<TroublePlan> plans = new ArrayList<>();
        for (int i = 0; i < scenario.troubles().size(); i++) {
            Trouble trouble = scenario.troubles().get(i);
            UniformRandomProvider draw = streams.of("trouble", i);
            List<String> victims = switch (trouble.kind().target) {
                case SERVERS -> servers(deployment, trouble, draw);
                case BALANCERS, NETWORK -> balancers(deployment, trouble, draw);
                case ZONE -> List.of(trouble.zone());
                case CLIENTS, DISCOVERY -> List.of();
            };
            List<String> others =
                    trouble.kind() != Trouble.Kind.NET_CUT ? List.of() : others(deployment, trouble, victims, draw);
            plans.add(new TroublePlan(
                    trouble, trouble.at().micros(), endMicros(trouble, victims.size()), victims, others));
        }
        return plans;
    }

    private static long endMicros(Trouble trouble, int victims) {
        long steps = trouble.kind() == Trouble.Kind.DRAIN ? trouble.every().micros() * Math.max(0, victims - 1) : 0;
        return trouble.at().micros() + steps + trouble.lasts().micros();
    }

    private static List<String> servers(Deployment deployment, Trouble trouble, UniformRandomProvider draw) {
        int tier = 0;
        while (!deployment.scenario().tiers().get(tier).name().equals(trouble.tier())) {
            tier++;
        }
        List<String> ids =
                deployment.machines(tier).stream().map(MachineSpec::id).toList();
        int count = trouble.servers() != null
                ? trouble.servers()
                : (int) Math.max(1, Math.round(trouble.part() * ids.size()));
        return sample(ids, Math.min(count, ids.size()), draw);
    }

    /**
     * Returns the balancers that a trouble may hit: those of the given tier; without a tier, all balancers for a
     * network trouble and those of the first tier for any other.
     */
    private static List<String> candidates(Deployment deployment, Trouble trouble) {
        List<Scenario.Tier> tiers = deployment.scenario().tiers();
        boolean hitsNetwork = trouble.kind().target == Trouble.Target.NETWORK;
        return deployment.balancers().stream()
                .filter(b -> trouble.tier() == null
                        ? hitsNetwork || b.tier() == 0
                        : tiers.get(b.tier()).name().equals(trouble.tier()))
                .map(BalancerSpec::name)
                .toList();
    }

    private static List<String> balancers(Deployment deployment, Trouble trouble, UniformRandomProvider draw) {
        List<String> all = candidates(deployment, trouble);
        int count = trouble.part() == null
                ? trouble.balancers()
                : (int) Math.max(1, Math.round(trouble.part() * all.size()));
        return sample(all, count, draw);
    }

    private static List<String> others(
            Deployment deployment, Trouble trouble, List<String> victims, UniformRandomProvider draw) {
        List<String> rest = new ArrayList<>(candidates(deployment, trouble));
        rest.removeAll(victims);
        return sample(rest, trouble.others() == null ? rest.size() : Math.min(rest.size(), trouble.others()), draw);
    }

    private static List<String> sample(List<String> from, int count, UniformRandomProvider draw) {
        List<String> shuffled = new ArrayList<>(from);
        ListSampler.shuffle(draw, shuffled);
        return List.copyOf(shuffled.subList(0, count));
    }
}
