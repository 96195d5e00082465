package calicochute.lab.plan;

import calicochute.lab.chance.Streams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Trouble;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Which machines or balancers each trouble hits, drawn from the seed; both ends in microseconds from the run's start.
 * {@code others} are the balancers at the far end of a one-way cut.
 */
public record TroublePlan(Trouble trouble, long from, long to, List<String> victims, List<String> others) {
    public static List<TroublePlan> draw(Deployment deployment, Streams streams) {
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
            plans.add(new TroublePlan(trouble, trouble.at().micros(), end(trouble, victims.size()), victims, others));
        }
        return plans;
    }

    private static long end(Trouble trouble, int victims) {
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
        return some(ids, Math.min(count, ids.size()), draw);
    }

    /** A trouble of the network may hit all of its tier's balancers, or of all tiers; others the first tier's. */
    private static List<String> candidates(Deployment deployment, Trouble trouble) {
        List<Scenario.Tier> tiers = deployment.scenario().tiers();
        boolean network = trouble.kind().target == Trouble.Target.NETWORK;
        return deployment.balancers().stream()
                .filter(b -> trouble.tier() == null
                        ? network || b.tier() == 0
                        : tiers.get(b.tier()).name().equals(trouble.tier()))
                .map(BalancerSpec::name)
                .toList();
    }

    private static List<String> balancers(Deployment deployment, Trouble trouble, UniformRandomProvider draw) {
        List<String> all = candidates(deployment, trouble);
        int count = trouble.part() == null
                ? trouble.balancers()
                : (int) Math.max(1, Math.round(trouble.part() * all.size()));
        return some(all, count, draw);
    }

    private static List<String> others(
            Deployment deployment, Trouble trouble, List<String> victims, UniformRandomProvider draw) {
        List<String> rest = new ArrayList<>(candidates(deployment, trouble));
        rest.removeAll(victims);
        return some(rest, trouble.others() == null ? rest.size() : Math.min(rest.size(), trouble.others()), draw);
    }

    private static List<String> some(List<String> of, int count, UniformRandomProvider draw) {
        List<String> mixed = new ArrayList<>(of);
        ListSampler.shuffle(draw, mixed);
        return List.copyOf(mixed.subList(0, count));
    }
}
