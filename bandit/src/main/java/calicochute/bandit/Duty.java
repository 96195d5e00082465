package calicochute.bandit;

import calicochute.outcomes.Owners;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whose turn it is to try a sick server. Time is cut into slots; each slot of a server has an owner of its own among
 * the live (rendezvous hash), so that the tries of the whole fleet do not grow with it, nobody owns a server for good,
 * and a dead owner costs one slot. Two sides of a split both try.
 */
final class Duty {
    private final String me;
    private final long every;
    private Set<String> live = Set.of();
    private final Map<String, Turn> turns = new HashMap<>();

    private record Turn(long slot, long length, boolean mine) {}

    Duty(String me, long every) {
        this.me = me;
        this.every = every;
    }

    void live(Set<String> now) {
        if (!now.equals(live)) {
            live = Set.copyOf(now);
            turns.clear();
        }
    }

    int size() {
        return Math.max(1, live.size());
    }

    /**
     * Balancers whose rows differ may think of other lengths of a slot: they are powers of two, so that some tries are
     * double and no more.
     *
     * @param longer times the usual slot, 1 to 8
     * @param faster owners that the slot is shared by, one after the other
     */
    boolean mine(String server, long now, double longer, int faster) {
        long length = Math.max(
                1, (every << (int) Math.ceil(Math.log(Math.max(1, Math.min(8, longer))) / Math.log(2))) / faster);
        long slot = Math.floorDiv(now, length);
        Turn turn = turns.get(server);
        if (turn == null || turn.slot != slot || turn.length != length) {
            List<String> owner = Owners.of(server + "/try/" + length + "/" + slot, live, 1);
            turn = new Turn(slot, length, owner.isEmpty() || owner.get(0).equals(me));
            if (turns.size() > 4096) {
                turns.clear();
            }
            turns.put(server, turn);
        }
        return turn.mine;
    }
}
