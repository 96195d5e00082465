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

/**
 * Maintains the list of backends, subscribes to it, and chooses the subset of backends that this instance uses and
 * stays connected to.
 */
record Subset(BalancerState state) {
    /** Instances for each backend, since backends hold few connections. */
    private static final double CALLERS_PER_BACKEND = 8;
    /** Least number of backends in a subset, as far as the list has so many. */
    private static final int MIN_SUBSET_SIZE = 12;

    private static final double GOLDEN_RATIO = 0.6180339887498949;
    /** Share of the subset that is in the own zone, where crossing zones has a price. */
    private static final double OWN_ZONE_SHARE = 2.0 / 3;

    /** A smaller change of the wall clock against the time of events is no step. */
    private static final long MIN_CLOCK_STEP_MICROS = 100_000;
    /** How long after a step of the wall clock ages by it are not believed. */
    private static final long CLOCK_STEP_MEMORY_MICROS = 60_000_000;
    /** Time from the start of a backend until it is listed. */
    private static final long LISTING_MICROS = 3_000_000;

    /** Purpose of the timer that subscribes to the list again. */
    static final int TIMER_SUBSCRIBE = 2;

    void update(BackendList list) {
        boolean unavailable = list.kind() == ListKind.UNAVAILABLE;
        state.subscribed = !unavailable && list.kind() != ListKind.RESTORED;
        state.failedListCalls = unavailable ? state.failedListCalls : 0;
        if (unavailable || !state.subscribed && state.settings.subscribes()) {
            subscribeLater();
        }
        if (unavailable) {
            return;
        }
        trackWallClock(list.wallClockLead());
        if (list.kind() != ListKind.CHANGES) {
            state.backends.values().forEach(backend -> backend.listed = false);
        }
        for (Backend entry : list.entries()) {
            update(entry);
        }
        state.backends.values().removeIf(backend -> !backend.listed);
        state.ring = state.backends.values().toArray(new TrackedBackend[0]);
        Arrays.sort(
                state.ring,
                Comparator.comparingLong((TrackedBackend backend) -> backend.ringPosition)
                        .thenComparing(backend -> backend.id));
        choose(size());
    }

    /**
     * Subscribes after a random delay. The list service is small and many proxies may lose it at once, so that their
     * calls are spread; each call is due within 6 s.
     */
    private void subscribeLater() {
        double max =
                Math.min(state.settings.rules().listRefreshInterval(), 2e6 * Math.min(++state.failedListCalls, 3)) / 2;
        double delay = max * (1 - state.random.nextDouble() / (state.failedListCalls > 2 ? 2 : 1));
        state.actions.startTimer(1 + (long) delay, TIMER_SUBSCRIBE, 0);
    }

    private void update(Backend entry) {
        TrackedBackend backend = state.backends.get(entry.id());
        if (entry.state() == BackendState.GONE && backend != null) {
            backend.listed = false;
        }
        if (entry.state() == BackendState.GONE) {
            return;
        }
        if (backend == null) {
            state.backends.put(entry.id(), backend = new TrackedBackend(entry.id()));
        }
        // A random initial allowance spreads the first calls of many instances over time.
        boolean restarted = backend.entry == null || backend.entry.startedAt() != entry.startedAt();
        if (restarted) {
            backend.restarted(state.now, age(entry), state.typicalSpeed, state.random.nextDouble());
        }
        backend.entry = entry;
        backend.listed = true;
    }

    /**
     * Time since the start of a backend whose start is new. If the wall clock has stepped lately, the backend may have
     * started before the step, and an age by the wall clock is not believed beyond what it takes to be listed.
     */
    private long age(Backend entry) {
        long age = Math.max(0, state.now + state.wallClockLead - entry.startedAt());
        boolean stepped = state.now - state.wallClockSteppedAt < CLOCK_STEP_MEMORY_MICROS;
        return stepped ? Math.min(age, LISTING_MICROS) : age;
    }

    private void trackWallClock(long wallClockLead) {
        if (Math.abs(wallClockLead - state.wallClockLead) > MIN_CLOCK_STEP_MICROS) {
            state.wallClockSteppedAt = state.now;
        }
        state.wallClockLead = wallClockLead;
    }

    /** Number of backends in the subset while none of them is slow. */
    int size() {
        return (int) Math.max(
                MIN_SUBSET_SIZE, Math.ceil(CALLERS_PER_BACKEND * state.ring.length / state.settings.balancers()));
    }

    /** Closes idle connections, and enlarges the subset by the number of slow backends in it. */
    void review(int slow) {
        for (TrackedBackend backend : state.subset) {
            // Idle connections of one caller fill a backend's small connection table and lock the other callers out.
            if (backend.maxPending > backend.pending + 1
                    && state.now < state.connectFailedAt + Estimates.FORGET_MICROS) {
                state.actions.closeIdleConnections(backend.id);
                backend.maxPending = backend.pending;
            }
        }
        int wanted = size() + slow;
        int used = state.subset.length;
        if (wanted > used && used < state.ring.length || wanted < used * 2 / 3) {
            choose(wanted);
        }
    }

    /** Takes the fleet's estimates. One instance at a time tries each backend that the fleet holds for slow. */
    void applyFleetEstimates(Balancer.FleetEstimates event) {
        state.setFleetEstimates(event);
        var toTry = Arrays.stream(state.ring).filter(state::mayTry).toList();
        toTry.forEach(backend -> backend.called = false);
        var all = Stream.concat(Arrays.stream(state.subset), toTry.stream());
        state.subset = all.distinct().toArray(TrackedBackend[]::new);
    }

    void choose(int size) {
        // Where crossing zones has a price, other zones are used when the own zone fails. A slice of a ring over all
        // zones would hold few backends of the own zone, so that these are taken from a ring of their own.
        boolean priced = state.settings.goal().crossZonePrice() > 0;
        Predicate<TrackedBackend> ownZone =
                backend -> priced && backend.entry.zone().equals(state.settings.zone());
        Set<TrackedBackend> chosen = new LinkedHashSet<>();
        take(chosen, ownZone, (int) Math.round(size * OWN_ZONE_SHARE));
        take(chosen, ownZone.negate(), size);
        take(chosen, ownZone, size);
        for (TrackedBackend backend : state.subset) {
            if (backend.listed && !chosen.contains(backend)) {
                state.actions.closeIdleConnections(backend.id);
            }
        }
        state.subset = chosen.toArray(BalancerState.NO_BACKENDS);
        state.updateCallers(BalancerState.sizes(state.ring, Constraints::ready));
        state.armSubsets.clear();
        for (int arm : Set.copyOf(state.armById.values())) {
            Set<TrackedBackend> ofArm = new LinkedHashSet<>();
            take(ofArm, backend -> state.armById.getOrDefault(backend.id, 0) == arm, MIN_SUBSET_SIZE);
            state.armSubsets.put(arm, ofArm.toArray(BalancerState.NO_BACKENDS));
        }
    }

    /**
     * Adds backends from this instance's start in the ring until there are {@code max}. Multiples of the golden ratio
     * space the starts of consecutive instances evenly.
     */
    private void take(Set<TrackedBackend> chosen, Predicate<TrackedBackend> filter, int max) {
        var ready = Arrays.stream(state.ring).filter(Constraints::ready);
        TrackedBackend[] ring = ready.filter(filter).toArray(TrackedBackend[]::new);
        double start = state.settings.instance() * GOLDEN_RATIO % 1 * ring.length;
        for (int i = 0; i < ring.length && chosen.size() < max; i++) {
            chosen.add(ring[(int) (start + i) % ring.length]);
        }
    }
}
