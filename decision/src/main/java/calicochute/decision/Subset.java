package calicochute.decision;

import java.util.Arrays;
import java.util.Comparator;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ListKind;

/** The list of backends, when to ask for it, and which of them this instance uses and stays connected to. */
record Subset(Known known) {
    /** Callers for each backend (tables of connections are small), and backends a caller needs. */
    private static final double CALLERS = 8;
    private static final int LEAST = 12;
    static final int TIMER_SUBSCRIBE = 2;

    void list(BackendList e) {
        boolean lost = e.kind() == ListKind.UNAVAILABLE;
        known.subscribed = !lost && e.kind() != ListKind.RESTORED;
        known.failedCalls = lost ? known.failedCalls : 0;
        if (lost || !known.subscribed && known.settings.subscribes()) { subscribeLater(); }
        if (lost) { return; }
        if (e.kind() != ListKind.CHANGES) { known.servers.values().forEach(s -> s.listed = false); }
        for (Backend b : e.entries()) { entry(b); }
        known.servers.values().removeIf(s -> !s.listed);
        known.ranked = known.servers.values().toArray(new Server[0]);
        Arrays.sort(known.ranked, Comparator.comparingLong((Server s) -> s.rank).thenComparing(s -> s.id));
        choose(size());
    }

    /** DANGER: the list service is small and proxies die in crowds: calls are spread out and back off. */
    private void subscribeLater() {
        double wait = 1e6 * (1 << Math.min(known.failedCalls++, 4));
        double spread = Math.min(known.settings.rules().askEvery() / 2.0, wait);
        known.actions.timer(1 + (long) (known.random.nextDouble() * spread), TIMER_SUBSCRIBE, 0);
    }

    private void entry(Backend b) {
        Server s = known.servers.get(b.id());
        if (b.state() == BackendState.GONE && s != null) { s.listed = false; }
        if (b.state() == BackendState.GONE) { return; }
        if (s == null) { known.servers.put(b.id(), s = new Server(b.id(), rank(b.id()))); }
        if (s.entry == null || s.entry.startedAt() != b.startedAt()) {
            s.polled = false;
            s.speed = known.typical;
            s.sampledAt = known.now;
            // A random start spreads the first calls of many instances over time.
            s.allowance = known.random.nextDouble();
            s.allowanceAt = known.now;
        }
        s.entry = b;
        s.listed = true;
    }

    /** A hash of the id: all instances that share an order rank alike. */
    private long rank(String id) {
        long h = (known.settings.me() % rounds() + 1) * 0x9E3779B97F4A7C15L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0xBF58476D1CE4E5B9L;
            h ^= h >>> 29;
        }
        return h;
    }

    /** Instances of one round take neighbouring slices of one order, so that callers are spread evenly. */
    private int rounds() {
        return Math.min(known.settings.balancers(), (int) CALLERS);
    }

    private int size() {
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
        if (want > used && used < known.ranked.length || want < used * 2 / 3) { choose(want); }
    }

    /** DANGER: when few are left all instances call each of them; parts from before add up to many wholes. */
    private void shared(int ready) {
        double callers = (double) known.settings.balancers() * known.use.length / ready;
        known.warmRate *= known.callers > 0 ? known.callers / callers : 1;
        known.callers = callers;
        known.mostReady = Math.max(known.mostReady, ready);
    }

    private void choose(int size) {
        Server[] before = known.use;
        Server[] pool = Arrays.stream(known.ranked).filter(Legality::notDraining).toArray(Server[]::new);
        int ready = pool.length, me = known.settings.me() / rounds();
        int perRound = known.settings.balancers() / rounds();
        int start = (int) ((long) me * ready / perRound % Math.max(1, ready));
        known.use = new Server[Math.min(size, ready)];
        Arrays.setAll(known.use, i -> pool[(start + i) % ready]);
        if (ready > 0) { shared(ready); }
        var in = Arrays.asList(known.use);
        for (Server s : before) {
            if (s.listed && !in.contains(s)) { known.actions.closeIdle(s.id); }
        }
    }
}
