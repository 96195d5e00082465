package calicochute.decision;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ListKind;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** The list of backends, when to ask for it, and which of them this instance uses and stays connected to. */
record Subset(Known known) {
    /** Callers for each backend (tables of connections are small), and backends a caller needs. */
    private static final double CALLERS = 8;

    private static final int LEAST = 12;
    private static final double GOLDEN = 0.6180339887498949;
    /** Share of them that is at home, where crossing zones is priced. */
    private static final double AT_HOME = 2.0 / 3;

    static final int TIMER_SUBSCRIBE = 2;

    void list(BackendList e) {
        boolean lost = e.kind() == ListKind.UNAVAILABLE;
        known.subscribed = !lost && e.kind() != ListKind.RESTORED;
        known.failedCalls = lost ? known.failedCalls : 0;
        if (lost || !known.subscribed && known.settings.subscribes()) {
            subscribeLater();
        }
        if (lost) {
            return;
        }
        if (e.kind() != ListKind.CHANGES) {
            known.servers.values().forEach(s -> s.listed = false);
        }
        for (Backend b : e.entries()) {
            entry(b);
        }
        known.servers.values().removeIf(s -> !s.listed);
        known.ranked = known.servers.values().toArray(new Server[0]);
        Arrays.sort(known.ranked, Comparator.comparingLong((Server s) -> s.rank).thenComparing(s -> s.id));
        choose(size());
    }

    /** DANGER: the list service is small and proxies die in crowds: calls are spread, but due within 6 s. */
    private void subscribeLater() {
        double most = Math.min(known.settings.rules().askEvery(), 2e6 * Math.min(++known.failedCalls, 3)) / 2;
        double wait = most * (1 - known.random.nextDouble() / (known.failedCalls > 2 ? 2 : 1));
        known.actions.timer(1 + (long) wait, TIMER_SUBSCRIBE, 0);
    }

    private void entry(Backend b) {
        Server s = known.servers.get(b.id());
        if (b.state() == BackendState.GONE && s != null) {
            s.listed = false;
        }
        if (b.state() == BackendState.GONE) {
            return;
        }
        if (s == null) {
            known.servers.put(b.id(), s = new Server(b.id()));
        }
        // A random allowance spreads the first calls of many instances over time.
        boolean fresh = s.entry == null || s.entry.startedAt() != b.startedAt();
        if (fresh) {
            s.started(known.now, known.typical, known.random.nextDouble());
        }
        s.entry = b;
        s.listed = true;
    }

    int size() {
        return (int) Math.max(LEAST, Math.ceil(CALLERS * known.ranked.length / known.settings.balancers()));
    }

    /** Lets idle connections go, and takes more backends in where some are sick. */
    void review(int sick) {
        for (Server s : known.use) {
            // DANGER: connections left idle by one caller fill a small table and shut the others out.
            if (s.peak > s.out + 1 && known.now < known.unconnectedAt + Estimates.FORGET) {
                known.actions.closeIdle(s.id);
                s.peak = s.out;
            }
        }
        int want = size() + sick, used = known.use.length;
        if (want > used && used < known.ranked.length || want < used * 2 / 3) {
            choose(want);
        }
    }

    /** DANGER: of one that the fleet holds for sick one instance at a time finds out how it is. */
    void advised(Balancer.Advised e) {
        known.told(e);
        var duties = Arrays.stream(known.ranked).filter(known::duty).toList();
        duties.forEach(s -> s.polled = false);
        var all = Stream.concat(Arrays.stream(known.use), duties.stream());
        known.use = all.distinct().toArray(Server[]::new);
    }

    void choose(int size) {
        // Where crossing is priced, abroad is for when home fails; of a slice over all zones few are home.
        boolean priced = known.settings.goal().crossZonePrice() > 0;
        Predicate<Server> home = s -> priced && s.entry.zone().equals(known.settings.zone());
        Set<Server> in = new LinkedHashSet<>();
        take(in, home, (int) Math.round(size * AT_HOME));
        take(in, home.negate(), size);
        take(in, home, size);
        for (Server s : known.use) {
            if (s.listed && !in.contains(s)) {
                known.actions.closeIdle(s.id);
            }
        }
        known.use = in.toArray(Known.NONE);
        known.shared(Known.sizes(known.ranked, Legality::notDraining));
        known.armed.clear();
        for (int arm : Set.copyOf(known.arms.values())) {
            Set<Server> of = new LinkedHashSet<>();
            take(of, s -> known.arms.getOrDefault(s.id, 0) == arm, LEAST);
            known.armed.put(arm, of.toArray(Known.NONE));
        }
    }

    /** This instance's part of a ring: by the golden ratio those of any row of instances lie evenly. */
    private void take(Set<Server> in, Predicate<Server> wanted, int most) {
        var all = Arrays.stream(known.ranked).filter(Legality::notDraining);
        Server[] ring = all.filter(wanted).toArray(Server[]::new);
        double start = known.settings.me() * GOLDEN % 1 * ring.length;
        for (int i = 0; i < ring.length && in.size() < most; i++) {
            in.add(ring[(int) (start + i) % ring.length]);
        }
    }
}
