package calicochute.lab.result;

import calicochute.lab.chance.Streams;
import calicochute.lab.emulator.EmulationResult;
import calicochute.lab.evenness.Dispatch;
import calicochute.lab.evenness.Evenness;
import calicochute.lab.evenness.Evenness.Window;
import calicochute.lab.evenness.Room;
import calicochute.lab.evenness.Server;
import calicochute.lab.evenness.Sick;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.scenario.Trouble.Kind;
import calicochute.lab.scenario.Trouble.Target;
import calicochute.lab.server.MachineSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** How evenly the dispatches of each tier lay, from what a run brought. */
final class Evenly {
    private static final long SECOND = 1_000_000;
    /** A server that has this part of its capacity is warm. */
    private static final double WARM = 0.999;

    private final EmulationResult outcome;

    Evenly(EmulationResult outcome) {
        this.outcome = outcome;
    }

    List<Evenness> tiers() {
        List<Evenness> tiers = new ArrayList<>();
        Streams streams = new Streams(outcome.seed());
        for (int t = 0; t < outcome.deployment().scenario().tiers().size(); t++) {
            List<MachineSpec> machines = outcome.deployment().machines(t);
            List<Dispatch> sent = outcome.dispatchesByTier().get(t).stream()
                    .map(d -> new Dispatch(d.at() - outcome.startedAt(), d.balancer(), d.server(), d.first()))
                    .sorted(Comparator.comparingLong(Dispatch::at))
                    .toList();
            tiers.add(Evenness.of(
                    outcome.deployment().scenario().tiers().get(t).name(),
                    machines.stream()
                            .map(m -> new Server(m.id(), m.zone(), m.kind().name(), m.capacity()))
                            .toList(),
                    sent,
                    room(t, machines),
                    outcome.length(),
                    troubles(t, machines),
                    streams.of("evenness", t)));
        }
        return tiers;
    }

    /** Up and warm in both samples round the second, and in no trouble in any part of it. */
    private Room room(int tier, List<MachineSpec> machines) {
        int length = (int) ((outcome.length() + SECOND - 1) / SECOND);
        List<BitSet> seconds = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            BitSet all = new BitSet();
            all.set(0, machines.size());
            seconds.add(all);
        }
        Map<String, Integer> numbers =
                machines.stream().collect(java.util.stream.Collectors.toMap(MachineSpec::id, MachineSpec::index));
        for (EmulationResult.ServerSample s : outcome.servers()) {
            if (s.tier() == tier && s.capacityShare() < WARM) {
                for (long second = s.at() / SECOND - 1; second <= s.at() / SECOND; second++) {
                    if (second >= 0 && second < length) {
                        seconds.get((int) second).clear(numbers.get(s.server()));
                    }
                }
            }
        }
        for (TroublePlan plan : outcome.troubles()) {
            BitSet victims = victims(plan, machines);
            for (long second = plan.from() / SECOND; second < length && second * SECOND < plan.to(); second++) {
                seconds.get((int) second).andNot(victims);
            }
        }
        return new Room(seconds);
    }

    private static BitSet victims(TroublePlan plan, List<MachineSpec> machines) {
        BitSet victims = new BitSet();
        for (MachineSpec m : machines) {
            boolean zone =
                    plan.trouble().kind() == Kind.ZONE_CUT && plan.victims().contains(m.zone());
            boolean named = plan.trouble().kind().target == Target.SERVERS
                    && plan.victims().contains(m.id());
            if (zone || named) {
                victims.set(m.index());
            }
        }
        return victims;
    }

    /** Those that hit servers of the tier, all at one time. */
    private List<Sick.Trouble> troubles(int tier, List<MachineSpec> machines) {
        List<Sick.Trouble> troubles = new ArrayList<>();
        for (TroublePlan plan : outcome.troubles()) {
            BitSet victims = victims(plan, machines);
            if (!victims.isEmpty()
                    && plan.trouble().kind().target == Target.SERVERS
                    && plan.trouble().kind() != Kind.DRAIN) {
                troubles.add(new Sick.Trouble(
                        plan.trouble().kind().word() + " " + troubles.size(), plan.from(), plan.to(), victims));
            }
        }
        return troubles;
    }

    /** What `compare` can set side by side. */
    static void figures(List<Evenness> tiers, Map<String, Double> into) {
        for (Evenness e : tiers) {
            put(into, "load_most_" + e.tier(), e, w -> w.load().most());
            put(into, "load_most_by_chance_" + e.tier(), e, w -> w.byChance().most());
            put(into, "load_least_" + e.tier(), e, w -> w.load().least());
            put(into, "load_least_by_chance_" + e.tier(), e, w -> w.byChance().least());
            into.put("herd_" + e.tier(), (double) e.herd());
            into.put("herd_by_chance_" + e.tier(), e.herdByChance());
            for (Sick s : e.sick()) {
                String of = "_" + e.tier() + "_" + s.trouble().replace(' ', '_');
                into.put("sick_first_tries" + of, (double) s.firstTries());
                if (s.quarter() != null) {
                    into.put("sick_quarter_s" + of, s.quarter());
                }
                if (s.back() != null) {
                    into.put("sick_back_s" + of, s.back());
                }
            }
        }
    }

    /** The mean over the windows. */
    private static void put(Map<String, Double> into, String name, Evenness e, ToDoubleFunction<Window> figure) {
        into.put(name, e.windows().stream().mapToDouble(figure).average().orElse(1));
    }
}
