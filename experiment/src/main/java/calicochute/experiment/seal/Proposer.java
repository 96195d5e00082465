package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.*;
import java.util.BitSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Puts this peer's value, or one that may have been decided already, into the slot after the newest. Keeps nothing over
 * a restart.
 */
final class Proposer {
    private static final int MOST_TURN = 20;
    private static final int MOST_DOUBLINGS = 4;
    private final Voter voter;
    private final Outbox out;
    private final Timing timing;
    private final int peers;
    private final int me;
    private final long life;
    private byte[] next;
    private long since;
    private long movedAt;
    private long notBefore = Long.MIN_VALUE;
    private int rounds;
    private int refusals;
    private int rank;

    private Place place;
    private Ballot ballot = Ballot.NONE;
    private Ballot best = Ballot.NONE;
    private byte[] value;
    private boolean accepting;
    private final BitSet answered = new BitSet();
    private long again;
    private int repeats;

    Proposer(Voter voter, Outbox out, Timing timing, int peers, int me, long life) {
        this.voter = voter;
        this.out = out;
        this.timing = timing;
        this.peers = peers;
        this.me = me;
        this.life = life;
        this.rank = me;
        this.movedAt = life;
    }

    void propose(long now, byte[] bytes) {
        if (next == null) {
            since = now;
        }
        next = bytes.clone();
        tick(now);
    }

    void turn(int place) {
        rank = Math.max(0, Math.min(place, MOST_TURN));
    }

    /** The newest place is another: what was proposed after the old one is void. */
    void moved(long now) {
        next = null;
        place = null;
        refusals = 0;
        rounds = 0;
        notBefore = Long.MIN_VALUE;
        movedAt = now;
    }

    void tick(long now) {
        if (place != null && !place.epoch().equals(voter.memory().seen())) {
            place = null;
        }
        if (place != null && now >= again) {
            repeat(now);
        }
        if (place != null
                || next == null
                || !voter.memory().place().epoch().equals(voter.memory().seen())) {
            return;
        }
        long due = rank == 0 ? since : Math.max(since, movedAt) + rank * timing.takeover();
        if (now < Math.max(due, notBefore)) {
            return;
        }
        if (rounds >= Ballot.MOST_ROUNDS) {
            return;
        }
        place = voter.memory().place().next();
        ballot = new Ballot(++rounds, me, life);
        best = Ballot.NONE;
        value = next;
        accepting = false;
        begin(now, new Prepare(place, ballot));
    }

    private void begin(long now, Message message) {
        answered.clear();
        repeats = 0;
        again = now + timing.retry();
        out.all(message);
    }

    private void repeat(long now) {
        repeats = Math.min(repeats + 1, MOST_DOUBLINGS);
        again = now + (timing.retry() << repeats);
        Message message = accepting ? new Accept(place, ballot, value) : new Prepare(place, ballot);
        for (int i = answered.nextClearBit(0); i < peers; i = answered.nextClearBit(i + 1)) {
            out.send(i, message);
        }
    }

    private boolean mine(Place of, Ballot by) {
        return place != null && by.equals(ballot) && of.equals(place);
    }

    private boolean majority(int from) {
        answered.set(from);
        return answered.cardinality() > peers / 2;
    }

    void promised(long now, int from, Promise m) {
        if (!mine(m.place(), m.ballot()) || accepting) {
            return;
        }
        if (m.accepted().compareTo(best) > 0) {
            best = m.accepted();
            value = m.value();
        }
        if (!majority(from)) {
            return;
        }
        accepting = true;
        begin(now, new Accept(place, ballot, value));
    }

    void accepted(long now, int from, Accepted m) {
        if (!mine(m.place(), m.ballot()) || !accepting || !majority(from)) {
            return;
        }
        Place decided = place;
        Ballot by = ballot;
        voter.learn(now, decided, value);
        out.all(new Known(decided, by));
    }

    /** Another proposer is at work: leave it time, the longer the more often it comes to this. */
    void refused(long now, Refused m) {
        if (!mine(m.place(), m.ballot())) {
            return;
        }
        rounds = Math.max(rounds, m.promised().round());
        place = null;
        refusals = Math.min(refusals + 1, MOST_DOUBLINGS);
        long spread = timing.retry() << refusals;
        long some = Math.floorMod(MurmurHash3.hash32(life + me, now + rounds), spread);
        notBefore = now + timing.retry() / 2 + some + (rank > 0 ? timing.takeover() : 0);
    }
}
