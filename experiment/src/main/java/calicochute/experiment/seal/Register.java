package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.Known;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A sequence of values, each decided once by a majority of the configured peers; one of them. The value of a slot
 * stands for all before it, so that a peer needs the newest only and may jump over others. No I/O, one thread; times in
 * microseconds. After each call the host takes {@link #effects}. What holds and why: see the package.
 */
public final class Register {
    public static final int MOST_VALUE = Codec.MOST_VALUE;
    public static final int MOST_PEERS = 400;
    private static final int TOLD = 2;
    private final Codec codec;
    private final List<String> peers;
    private final int me;
    private final long life;
    private final Timing timing;
    private final Outbox out;
    private final Voter voter;
    private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);
    private long now;
    private long nextTelling;
    private int told;

    /**
     * @param definition hash of what the experiment is: one that was changed is another register
     * @param configured ids of all peers, by the operator's file; must be the same everywhere
     * @param start when this process began (microseconds); no two starts of a peer may be the same, and the process
     *     before must have ended
     * @param remembers the host keeps the state; false: it is gone with the process
     * @param state as last kept, null if there is none; one that cannot be read is refused, counted, and as none
     */
    public Register(
            String name,
            long definition,
            List<String> configured,
            String me,
            long start,
            boolean remembers,
            byte[] state,
            Timing timing) {
        SortedSet<String> sorted = new TreeSet<>(configured);
        if (sorted.isEmpty() || sorted.size() > MOST_PEERS || sorted.size() != configured.size()) {
            throw new IllegalArgumentException("1 to 400 different peers");
        }
        this.peers = List.copyOf(sorted);
        this.me = peers.indexOf(me);
        if (this.me < 0) {
            throw new IllegalArgumentException("not a peer: " + me);
        }
        if (start <= 0) {
            throw new IllegalArgumentException("start " + start);
        }
        this.life = start;
        this.now = start;
        this.timing = timing;
        this.codec = new Codec(name, definition, peers);
        this.out = new Outbox(codec, peers, this.me, remembers);
        this.voter = new Voter(restored(state), out, timing, peers.size(), this.me, start);
    }

    private Memory restored(byte[] state) {
        if (state == null) {
            return Memory.BLANK;
        }
        try {
            return codec.memory(state);
        } catch (Malformed e) {
            refused(e.refusal);
            return Memory.BLANK;
        }
    }

    /**
     * What this peer would put into the slot after {@code after}; may be said again. False if that is not the newest
     * place, or too long.
     */
    public boolean propose(long time, Place after, byte[] next) {
        now = time;
        if (!after.equals(voter.memory().place()) || after.equals(Place.NONE) || next.length > MOST_VALUE) {
            return false;
        }
        voter.propose(time, next);
        return true;
    }

    /** This peer's turn to propose, among the live: 0 at once, the others each a while later if nothing is decided. */
    public void turn(int rank) {
        voter.turn(rank);
    }

    /** Every 50 to 250 ms. */
    public void tick(long time) {
        now = time;
        voter.tick(time);
        if (time < nextTelling) {
            return;
        }
        nextTelling = time + timing.spread();
        for (int i = 0; i < TOLD && peers.size() > 1; i++) {
            int other = Math.floorMod(
                    me + 1 + Math.floorMod(MurmurHash3.hash32(life + me, told++), peers.size() - 1), peers.size());
            out.send(other, new Known(voter.memory().place(), Ballot.NONE));
        }
    }

    /** A message from a peer. One that is none of this register is counted. */
    public void received(long time, String from, byte[] message) {
        now = time;
        int by = peers.indexOf(from);
        if (by < 0) {
            refused(Refusal.SENDER);
            return;
        }
        try {
            voter.handle(time, by, codec.read(message));
        } catch (Malformed e) {
            refused(e.refusal);
        }
    }

    /** The host has kept the state of this token, and so all before it. */
    public void persisted(long token) {
        out.kept(token);
    }

    /** To be done in this order; call again after {@link #persisted}. */
    public List<Effect> effects() {
        while (out.release(voter.memory())) {
            Message own;
            while ((own = out.own()) != null) {
                voter.handle(now, me, own);
            }
        }
        return out.drain();
    }

    /** Newest decided slot known. */
    public Place place() {
        return voter.memory().place();
    }

    public long slot() {
        return voter.memory().place().slot();
    }

    /** Its value; empty in slot 0. */
    public byte[] value() {
        return voter.memory().value().clone();
    }

    /** False while this peer abstains because it has, or may have, forgotten its votes. */
    public boolean votes() {
        return voter.memory().voter();
    }

    /** What was not taken, by cause. */
    public Map<Refusal, Long> refusals() {
        Map<Refusal, Long> all = new EnumMap<>(refusals);
        if (out.dropped() > 0) {
            all.put(Refusal.WAITING, out.dropped());
        }
        return all;
    }

    private void refused(Refusal refusal) {
        refusals.merge(refusal, 1L, Long::sum);
    }
}
