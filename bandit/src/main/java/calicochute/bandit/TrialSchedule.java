package calicochute.bandit;

import calicochute.outcomes.Owners;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which balancer's turn it is to try an unhealthy server. Time is divided into slots, and each slot of a server
 * has an owner among the live balancers (by rendezvous hashing). The number of trials therefore does not grow with the
 * fleet, no balancer owns a server permanently, and a failed owner costs one slot. During a network partition both
 * sides try.
 */
final class TrialSchedule {
    private static final int MAX_REMEMBERED_TURNS = 4096;
    private final String self;
    private final long intervalMicros;
    private Set<String> live = Set.of();
    private final Map<String, Turn> turns = new HashMap<>();

    private record Turn(long slot, long lengthMicros, boolean mine) {}

    TrialSchedule(String self, long intervalMicros) {
        this.self = self;
        this.intervalMicros = intervalMicros;
    }

    void setLive(Set<String> balancers) {
        if (!balancers.equals(live)) {
            live = Set.copyOf(balancers);
            turns.clear();
        }
    }

    /** The number of live balancers, at least 1. */
    int fleetSize() {
        return Math.max(1, live.size());
    }

    /**
     * Whether the current slot of a server is this balancer's. Balancers with different rows may compute different slot
     * lengths; since lengths are powers of two times the interval, at most a few trials are made twice.
     *
     * @param stretch factor by which the slot is longer than the interval, 1 to 8
     * @param speedup number of owners that share the slot, one after the other
     */
    boolean isMyTurn(String server, long now, double stretch, int speedup) {
        long lengthMicros = Math.max(
                1,
                (intervalMicros << (int) Math.ceil(Math.log(Math.max(1, Math.min(8, stretch))) / Math.log(2)))
                        / speedup);
        long slot = Math.floorDiv(now, lengthMicros);
        Turn turn = turns.get(server);
        if (turn == null || turn.slot != slot || turn.lengthMicros != lengthMicros) {
            List<String> owner = Owners.of(server + "/try/" + lengthMicros + "/" + slot, live, 1);
            turn = new Turn(slot, lengthMicros, owner.isEmpty() || owner.get(0).equals(self));
            if (turns.size() > MAX_REMEMBERED_TURNS) {
                turns.clear();
            }
            turns.put(server, turn);
        }
        return turn.mine;
    }
}
