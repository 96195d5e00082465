package calicochute.decision;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Selects the backend of an attempt: by softmax over the speed relative to the best one, or by an ordered walk where
 * time is short.
 */
record BackendSelection(BalancerState state, Constraints constraints, Estimates estimates, Admission admission) {
    /** Where crossing zones has a price, a backend of another zone counts at this share of its speed. */
    private static final double OTHER_ZONE_SHARE = 0.35;
    /** Headroom is the time left in units of this many latencies of the best backend, at most 1. */
    private static final double HEADROOM_LATENCIES = 5;
    /** Headroom below which the ordered walk is used. */
    private static final double LOW_HEADROOM = 0.3;
    /** Headroom that is assumed where the deadline or the latency is unknown. */
    private static final double TARGET_HEADROOM = 0.5;
    /** Headroom from which the higher softmax temperature is used. */
    private static final double HIGH_HEADROOM = 0.8;

    private static final double TARGET_TEMPERATURE = 0.04;
    private static final double HIGH_TEMPERATURE = 0.07;

    /** The backend for the next attempt; null if there is none to which the request may be sent. */
    TrackedBackend select(Request request) {
        boolean bound = constraints.boundToKey(request);
        TrackedBackend[] from = bound ? state.ring : state.subset;
        if (request.arm != 0 && !bound) {
            from = state.armSubsets.getOrDefault(request.arm, BalancerState.NO_BACKENDS);
        }
        // Each backend of the subset gets one first call; at most every second request is used for that.
        state.firstCallNext = !state.firstCallNext;
        TrackedBackend uncalled =
                state.firstCallNext || constraints.careful(request) ? null : anyAllowed(request, from, true);
        if (uncalled != null) {
            return uncalled;
        }
        // The own zone is preferred only far from the admission limit, so that it does not refuse requests while
        // another zone is idle.
        boolean preferZone = state.settings.goal().crossZonePrice() > 0 && admission.farFromLimit();
        double best = score(request, from, preferZone ? OTHER_ZONE_SHARE : 1);
        if (best == 0) {
            return anyAllowed(request, from, false);
        }
        double headroom = headroom(request, best);
        // An arm that is crowded by pending attempts has no room; an arm that is slow by itself keeps its requests.
        if (headroom < LOW_HEADROOM && request.arm != 0 && headroom(request, bestUncontended(from)) >= LOW_HEADROOM) {
            return null;
        }
        if (headroom < LOW_HEADROOM && !bound && request.arm == 0) {
            // Pending attempts that crowd the own zone look like little time left: requests then go to other zones
            // too, and the walk, which would send them all to one backend, is not used.
            if (preferZone) {
                best = score(request, from, 1);
            }
            TrackedBackend next = headroom(request, bestUncontended(from)) < LOW_HEADROOM ? nextOfWalk(request) : null;
            // Where pending attempts crowd all backends the walk finds none in time; softmax then chooses, since the
            // only backend in time may be one that fails at once.
            if (next != null) {
                return next;
            }
        }
        return softmax(from, best, headroom < HIGH_HEADROOM ? TARGET_TEMPERATURE : HIGH_TEMPERATURE);
    }

    /** The best speed of the scored backends without the discount for pending attempts. */
    private double bestUncontended(TrackedBackend[] from) {
        var scored = Arrays.stream(from).filter(backend -> backend.score > 0);
        return scored.mapToDouble(backend -> estimates.uncontended(backend, false))
                .max()
                .orElse(0);
    }

    /** Scores the backends to which the request may be sent, sets the other scores to 0 and returns the best score. */
    private double score(Request request, TrackedBackend[] from, double otherZoneShare) {
        boolean careful = constraints.careful(request);
        double best = 0;
        for (TrackedBackend backend : from) {
            double share = backend.entry.zone().equals(state.settings.zone()) ? 1 : otherZoneShare;
            backend.score = constraints.maySend(request, backend) && !request.tried(backend)
                    ? estimates.effective(backend, careful) * share
                    : 0;
            best = Math.max(best, backend.score);
        }
        return best;
    }

    /** The first backend from a random index on to which the request may be sent. */
    private TrackedBackend anyAllowed(Request request, TrackedBackend[] from, boolean uncalledOnly) {
        int start = from.length == 0 ? 0 : state.random.nextInt(from.length);
        for (int i = 0; i < from.length; i++) {
            TrackedBackend backend = from[(start + i) % from.length];
            if (!(uncalledOnly && backend.called) && constraints.maySend(request, backend)) {
                return backend;
            }
        }
        return null;
    }

    private double headroom(Request request, double best) {
        boolean deadlineKnown = state.settings.tier() == 0 || state.settings.passesDeadline();
        if (!deadlineKnown || state.statsOf(request).answers == 0) {
            return TARGET_HEADROOM;
        }
        return Math.min(
                1, (request.deadline - state.now) * best / (HEADROOM_LATENCIES * state.statsOf(request).latency));
    }

    private TrackedBackend softmax(TrackedBackend[] from, double best, double temperature) {
        double total = 0;
        for (TrackedBackend backend : from) {
            backend.score = backend.score > 0 ? Math.exp((backend.score / best - 1) / temperature) : 0;
            total += backend.score;
        }
        double rest = state.random.nextDouble() * total;
        TrackedBackend chosen = null;
        for (TrackedBackend backend : from) {
            if (backend.score > 0 && rest >= 0) {
                chosen = backend;
            }
            rest -= backend.score;
        }
        return chosen;
    }

    /**
     * The walk's current backend as long as it should answer in time, then the next one; sorts the subset again only at
     * the end of the walk. Null if no backend should answer in time.
     */
    private TrackedBackend nextOfWalk(Request request) {
        for (int pass = 0; pass < 2; pass++) {
            for (; state.walkIndex < state.walk.length; state.walkIndex++) {
                TrackedBackend backend = state.walk[state.walkIndex];
                double speed = estimates.effective(backend, constraints.careful(request));
                boolean inTime = state.statsOf(request).latency / speed <= request.deadline - state.now;
                if (inTime && constraints.maySend(request, backend) && !request.tried(backend)) {
                    return backend;
                }
            }
            state.walk = state.subset.clone();
            // The sort is stable: ties keep this instance's own order, so that not all instances start at one backend.
            Arrays.sort(state.walk, Comparator.comparingDouble(backend -> -estimates.effective(backend, false)));
            state.walkIndex = 0;
        }
        return null;
    }

    /** Moves the walk on from a backend that has failed. */
    void leave(TrackedBackend backend) {
        if (state.walkIndex < state.walk.length && state.walk[state.walkIndex] == backend) {
            state.walkIndex++;
        }
    }
}
