package calicochute.lab.result;

import calicochute.lab.emulator.EmulationResult;
import calicochute.lab.evenness.Dispatch;
import calicochute.lab.evenness.EligibleServers;
import calicochute.lab.evenness.Evenness;
import calicochute.lab.evenness.Evenness.Window;
import calicochute.lab.evenness.Server;
import calicochute.lab.evenness.TroubleResponse;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Trouble.Kind;
import calicochute.lab.scenario.Trouble.Target;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Computes the evenness of the dispatches of each tier from the outcome of a run. */
final class EvennessAnalysis {
    private static final long SECOND_MICROS = 1_000_000;
    /** The share of its capacity from which a server counts as warm. */
    private static final double WARM_CAPACITY_SHARE = 0.999;

    private final EmulationResult outcome;

    EvennessAnalysis(EmulationResult outcome) {
        this.outcome = outcome;
    }

    List<Evenness> tiers() {
        List<Evenness> tiers = new ArrayList<>();
        RandomStreams streams = new RandomStreams(outcome.seed());
        for (int t = 0; t < outcome.deployment().scenario().tiers().size(); t++) {
            List<MachineSpec> machines = outcome.deployment().machines(t);
            List<Dispatch> dispatches = outcome.dispatchesByTier().get(t).stream()
                    .map(d -> new Dispatch(
                            d.atMicros() - outcome.startedAt(), d.balancer(), d.server(), d.firstAttempt()))
                    .sorted(Comparator.comparingLong(Dispatch::atMicros))
                    .toList();
            tiers.add(Evenness.of(
                    outcome.deployment().scenario().tiers().get(t).name(),
                    machines.stream()
                            .map(m -> new Server(m.id(), m.zone(), m.kind().name(), m.capacity()))
                            .toList(),
                    dispatches,
                    eligibleServers(t, machines),
                    outcome.length(),
                    troubles(t, machines),
                    streams.of("evenness", t)));
        }
        return tiers;
    }

    /** Servers that are up and warm in both samples around a second, and hit by no trouble at any time in it. */
    private EligibleServers eligibleServers(int tier, List<MachineSpec> machines) {
        int length = (int) ((outcome.length() + SECOND_MICROS - 1) / SECOND_MICROS);
        List<BitSet> seconds = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            BitSet all = new BitSet();
            all.set(0, machines.size());
            seconds.add(all);
        }
        Map<String, Integer> indices =
                machines.stream().collect(java.util.stream.Collectors.toMap(MachineSpec::id, MachineSpec::index));
        for (EmulationResult.ServerSample sample : outcome.servers()) {
            if (sample.tier() == tier && sample.capacityShare() < WARM_CAPACITY_SHARE) {
                for (long second = sample.at() / SECOND_MICROS - 1; second <= sample.at() / SECOND_MICROS; second++) {
                    if (second >= 0 && second < length) {
                        seconds.get((int) second).clear(indices.get(sample.server()));
                    }
                }
            }
        }
        for (TroublePlan plan : outcome.troubles()) {
            BitSet victims = victims(plan, machines);
            for (long second = plan.fromMicros() / SECOND_MICROS;
                    second < length && second * SECOND_MICROS < plan.toMicros();
                    second++) {
                seconds.get((int) second).andNot(victims);
            }
        }
        return new EligibleServers(seconds);
    }

    private static BitSet victims(TroublePlan plan, List<MachineSpec> machines) {
        BitSet victims = new BitSet();
        for (MachineSpec machine : machines) {
            boolean inZone =
                    plan.trouble().kind() == Kind.ZONE_CUT && plan.victims().contains(machine.zone());
            boolean isVictim = plan.trouble().kind().target == Target.SERVERS
                    && plan.victims().contains(machine.id());
            if (inZone || isVictim) {
                victims.set(machine.index());
            }
        }
        return victims;
    }

    /** The troubles that hit servers of the tier, without rolling drains, which hit them one after another. */
    private List<TroubleResponse.TroubleInterval> troubles(int tier, List<MachineSpec> machines) {
        List<TroubleResponse.TroubleInterval> troubles = new ArrayList<>();
        for (TroublePlan plan : outcome.troubles()) {
            BitSet victims = victims(plan, machines);
            if (!victims.isEmpty()
                    && plan.trouble().kind().target == Target.SERVERS
                    && plan.trouble().kind() != Kind.DRAIN) {
                troubles.add(new TroubleResponse.TroubleInterval(
                        plan.trouble().kind().word() + " " + troubles.size(),
                        plan.fromMicros(),
                        plan.toMicros(),
                        victims));
            }
        }
        return troubles;
    }

    /** Adds the figures that runs can be compared by. */
    static void addFigures(List<Evenness> tiers, Map<String, Double> into) {
        for (Evenness evenness : tiers) {
            addMean(
                    into,
                    "load_most_" + evenness.tier(),
                    evenness,
                    w -> w.load().most());
            addMean(
                    into,
                    "load_most_by_chance_" + evenness.tier(),
                    evenness,
                    w -> w.byChance().most());
            addMean(
                    into,
                    "load_least_" + evenness.tier(),
                    evenness,
                    w -> w.load().least());
            addMean(
                    into,
                    "load_least_by_chance_" + evenness.tier(),
                    evenness,
                    w -> w.byChance().least());
            into.put("herd_" + evenness.tier(), (double) evenness.herd());
            into.put("herd_by_chance_" + evenness.tier(), evenness.herdByChance());
            for (TroubleResponse response : evenness.sick()) {
                String suffix = "_" + evenness.tier() + "_" + response.trouble().replace(' ', '_');
                into.put("sick_first_tries" + suffix, (double) response.firstTries());
                if (response.quarter() != null) {
                    into.put("sick_quarter_s" + suffix, response.quarter());
                }
                if (response.back() != null) {
                    into.put("sick_back_s" + suffix, response.back());
                }
            }
        }
    }

    /** Adds the mean of a figure over the windows. */
    private static void addMean(
            Map<String, Double> into, String name, Evenness evenness, ToDoubleFunction<Window> figure) {
        into.put(name, evenness.windows().stream().mapToDouble(figure).average().orElse(1));
    }
}
