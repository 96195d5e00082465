package calicochute.bandit;

import calicochute.outcomes.Picture;
import calicochute.outcomes.Row;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One balancer's reading of the fleet's outcomes: see the package. One thread; time is passed in; the same seed and
 * calls give the same advice.
 */
public final class Bandit {
    /** A kind's level is no lower than this, lest one that is slow as a whole pass for a small one. */
    private static final double KIND_LEAST = -0.6;

    private static final double SICK_SPEED = 0.1;
    private final Setting setting;
    private final long seed;
    private final Duty duty;
    private final Map<String, Known> known = new TreeMap<>();
    private final Map<String, String> kindOf = new HashMap<>();
    private final Map<String, Double> kinds = new HashMap<>();
    private final Map<String, Double> draws = new HashMap<>();
    private List<Listed> listed = List.of();
    private long newest = Long.MIN_VALUE;
    private long drawn = Long.MIN_VALUE;
    private double warmRate;
    /** Times the usual slot between two tries. */
    private double longer = 1;

    public Bandit(Setting setting, String me, long seed) {
        this.setting = setting;
        this.seed = seed ^ me.hashCode() * 0x9E3779B97F4A7C15L;
        this.duty = new Duty(me, setting.tryEvery());
    }

    /** Called when rows, the live or the list changed; each window at least. */
    public void heard(long now, Picture picture, Set<String> live, Collection<Listed> list) {
        duty.live(live);
        listed = list.stream().sorted(Comparator.comparing(Listed::id)).toList();
        kindOf.clear();
        listed.forEach(l -> kindOf.put(l.id(), l.kind()));
        known.keySet().retainAll(kindOf.keySet());
        for (Listed l : listed) {
            Known k = known.get(l.id());
            if (k == null || k.startedAt != l.startedAt()) {
                known.put(l.id(), new Known(setting, l.startedAt(), k));
            }
        }
        List<Row> rows = picture.rows(now).stream()
                .filter(r -> now - (r.window() + 1) * setting.window() <= 4 * setting.age())
                .toList();
        newest = rows.stream().mapToLong(Row::window).max().orElse(Long.MIN_VALUE);
        Map<String, TreeMap<Long, Sight>> sights = sights(rows);
        known.forEach((server, k) ->
                k.see(now, sights.getOrDefault(server, new TreeMap<>()).values()));
        judge();
        sights.forEach((server, of) -> known.get(server).health(of, level(server)));
        load(now, sights);
    }

    private Map<String, TreeMap<Long, Sight>> sights(List<Row> rows) {
        Map<String, List<Double>> lanes = new HashMap<>();
        rows.stream()
                .filter(r -> r.clipped().speeds() > 0)
                .forEach(r -> lanes.computeIfAbsent(r.subject().lane(), l -> new ArrayList<>())
                        .add(Sight.log(r, setting)));
        Map<String, Double> levels = new HashMap<>();
        lanes.forEach((lane, logs) -> levels.put(lane, middle(logs)));
        Map<String, TreeMap<Long, List<Row>>> by = new TreeMap<>();
        for (Row r : rows) {
            Known k = known.get(r.subject().server());
            if (k != null && k.startedAt == r.subject().startedAt()) {
                by.computeIfAbsent(r.subject().server(), s -> new TreeMap<>())
                        .computeIfAbsent(r.window(), w -> new ArrayList<>())
                        .add(r);
            }
        }
        Map<String, TreeMap<Long, Sight>> sights = new TreeMap<>();
        by.forEach((server, windows) ->
                windows.forEach((window, of) -> sights.computeIfAbsent(server, s -> new TreeMap<>())
                        .put(window, Sight.of(window, of, lane -> levels.getOrDefault(lane, 0.0), setting))));
        return sights;
    }

    private static double middle(List<Double> of) {
        double[] sorted = of.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length == 0 ? 0 : (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /** Kinds' levels first (the median of those that are not sick), then each server by its kind's. */
    private void judge() {
        Map<String, List<Double>> of = new HashMap<>();
        for (Listed l : listed) {
            Known k = known.get(l.id());
            if (k.samples > 0 && !k.sick) {
                of.computeIfAbsent(l.kind(), kind -> new ArrayList<>()).add(k.raw);
            }
        }
        kinds.clear();
        // A few servers say little of their kind: the fleet's level (0) stands for two more.
        of.forEach((kind, logs) ->
                kinds.put(kind, Math.max(KIND_LEAST, middle(logs) * logs.size() / (logs.size() + 2.0))));
        listed.forEach(l -> known.get(l.id()).judge(level(l.id()), 1));
    }

    private double level(String server) {
        return kinds.getOrDefault(kindOf.getOrDefault(server, ""), 0.0);
    }

    /** The fleet's rate at a warm server, and how far each server's is from what its speed says. */
    private void load(long now, Map<String, TreeMap<Long, Sight>> sights) {
        List<Listed> warm = listed.stream()
                .filter(l -> l.ready()
                        && !known.get(l.id()).sick
                        && (l.startedAt() <= 0 || now - l.startedAt() >= setting.warmUp())
                        && known.get(l.id()).dispatches > 0)
                .toList();
        double speeds = warm.stream()
                .mapToDouble(l -> Math.exp(known.get(l.id()).mean))
                .average()
                .orElse(1);
        double all = warm.stream()
                .mapToDouble(l -> known.get(l.id()).dispatches)
                .average()
                .orElse(0);
        double windows = sights.values().stream()
                .flatMap(s -> s.keySet().stream())
                .distinct()
                .mapToDouble(w -> Math.exp(-(double) Math.max(0, now - (w + 1) * setting.window()) / setting.age()))
                .sum();
        warmRate = windows == 0 ? 0 : all / windows / (setting.window() / 1e6);
        double fleet = windows == 0
                ? 0
                : known.values().stream().mapToDouble(k -> k.dispatches).sum() / windows / (setting.window() / 1e6);
        long tried =
                known.values().stream().filter(k -> k.sick || k.samples < 1).count();
        longer = tried * 1e6 / (setting.tryEvery() * Math.max(1e-9, fleet * setting.tryPart()));
        for (Listed l : warm) {
            Known k = known.get(l.id());
            k.correct(newest, Math.exp(k.mean) / speeds, k.dispatches / all);
        }
    }

    public Advices advise(long now) {
        long until = now + 2 * setting.window();
        double share = 1.0 / duty.size();
        if (newest == Long.MIN_VALUE || now - (newest + 1) * setting.window() > setting.stale()) {
            return new Advices(List.of(), 0, share, until);
        }
        draw(Math.floorDiv(now, setting.window()));
        double[] speeds = listed.stream()
                .map(l -> known.get(l.id()))
                .filter(k -> !k.sick)
                .mapToDouble(k -> Math.exp(k.mean))
                .toArray();
        double typical = Arrays.stream(speeds).average().orElse(1);
        List<Advice> of = new ArrayList<>();
        for (Listed l : listed) {
            if (l.ready()) {
                of.add(advice(now, l, known.get(l.id()), typical));
            }
        }
        return new Advices(of, warmRate, share, until);
    }

    private Advice advice(long now, Listed l, Known k, double typical) {
        if (k.sick) {
            boolean mine = duty.mine(l.id(), now, longer, k.hopeful ? setting.eager() : 1);
            return new Advice(l.id(), l.startedAt(), SICK_SPEED, setting.most(), true, mine);
        }
        double below = k.mean - level(l.id());
        double trouble = Math.max(0, Math.min(1, (Known.TROUBLE - below) / (Known.TROUBLE - Known.BROKEN)));
        double draw = draws.getOrDefault(l.id(), 0.0);
        // A share as the capacity: the softmax of 1 + tau ln x is as x.
        double even = 1
                + setting.tau() * (k.mean - Math.log(typical) + k.bias)
                + draw * Math.max(setting.width(), setting.tau() * k.width);
        double slow = Math.exp(k.mean + draw * k.width) / typical;
        double speed = ((1 - trouble) * even + trouble * slow) * k.success;
        boolean silent = k.samples < 1;
        return new Advice(
                l.id(),
                l.startedAt(),
                Math.max(0, Math.min(3, speed)),
                k.worth(),
                false,
                silent && duty.mine(l.id(), now, longer, 1));
    }

    private void draw(long window) {
        if (window == drawn) {
            return;
        }
        drawn = window;
        draws.clear();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ window * 0xD1342543DE82EF95L);
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        listed.forEach(l -> draws.put(l.id(), Math.max(-3, Math.min(3, normal.sample()))));
    }
}
