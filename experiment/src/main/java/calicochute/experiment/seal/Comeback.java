package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.*;
import java.util.Arrays;
import java.util.BitSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * How a peer without a vote gets one: it reads how far the others voted and waits until that is past, or begins a new
 * epoch with them.
 */
final class Comeback {
    private static final int MOST_TURN = 20;
    private static final int MOST_STRETCH = 8;
    private final Voter voter;
    private final Outbox out;
    private final Timing timing;
    private final int peers;
    private final int me;
    private final long life;
    private final int majority;
    /** So many share a peer with each majority. */
    private final int reading;

    private final Answer[] answers;
    private final long[] answeredAt;
    private long nextAsk = Long.MIN_VALUE;
    private int stretch = 1;
    private int rank;
    /** Of {@code readIn}: votes again once this slot is known. */
    private Epoch readIn = Epoch.NONE;

    private long from;

    private Epoch committed = Epoch.NONE;
    private long holdUntil = Long.MIN_VALUE;

    private boolean stuck;
    private long stuckSince;
    private long nextForm = Long.MIN_VALUE;
    private Epoch forming;
    private long formedAt;
    private long nextTelling;
    private final long[] lives;
    private final BitSet came = new BitSet();
    private final BitSet voteless = new BitSet();

    Comeback(Voter voter, Outbox out, Timing timing, int peers, int me, long life) {
        this.voter = voter;
        this.out = out;
        this.timing = timing;
        this.peers = peers;
        this.me = me;
        this.life = life;
        this.rank = me;
        this.majority = peers / 2 + 1;
        this.reading = peers - majority + 1;
        this.answers = new Answer[peers];
        this.answeredAt = new long[peers];
        this.lives = new long[peers];
    }

    void turn(int place) {
        rank = place;
    }

    /** Committed to a new epoch, so neither votes in the old one nor comes back to it. */
    boolean held(long now) {
        return now < holdUntil;
    }

    /** Takes part in an epoch from its beginning: committed to it in this life, was in it in none before. */
    boolean fresh(Epoch epoch) {
        return epoch.equals(committed);
    }

    void joined() {
        committed = Epoch.NONE;
        holdUntil = Long.MIN_VALUE;
        forming = null;
        stuck = false;
        readIn = Epoch.NONE;
        stretch = 1;
        nextAsk = Long.MIN_VALUE;
        Arrays.fill(answers, null);
    }

    void tick(long now) {
        if (voter.memory().voter()) {
            return;
        }
        if (now >= nextAsk) {
            for (int i = 0; i < peers; i++) {
                if (i != me) {
                    out.send(i, new Ask(life));
                }
            }
            nextAsk = now + timing.ask() * stretch;
            stretch = Math.min(2 * stretch, MOST_STRETCH);
        }
        read(now);
        if (!voter.memory().voter()) {
            form(now);
        }
    }

    void asked(long now, int by, Ask m) {
        Memory memory = voter.memory();
        out.send(
                by,
                new Answer(
                        m.life(),
                        life,
                        memory.voter(),
                        memory.seen(),
                        memory.voter() ? memory.mark() : 0,
                        memory.place()));
    }

    void answered(long now, int by, Answer m) {
        if (m.toLife() != life || voter.memory().voter() || by == me) {
            return;
        }
        answers[by] = m;
        answeredAt[by] = now;
        if (m.place().compareTo(voter.memory().place()) > 0) {
            voter.want(now, by);
        }
        read(now);
    }

    /** The rule of abstention, see the package: the mark is read once an epoch, from voters that answered this life. */
    void read(long now) {
        Memory memory = voter.memory();
        if (memory.voter() || memory.seen().equals(Epoch.NONE)) {
            return;
        }
        if (!readIn.equals(memory.seen())) {
            int voters = 0;
            long mark = 0;
            for (Answer a : answers) {
                if (a == null || !a.voter() || !a.seen().equals(memory.seen())) {
                    continue;
                }
                voters++;
                mark = Math.max(mark, a.mark());
            }
            if (voters < reading) {
                return;
            }
            readIn = memory.seen();
            from = mark + 1;
        }
        if (memory.place().epoch().equals(readIn) && memory.place().slot() >= from && !held(now)) {
            voter.join();
        }
    }

    /**
     * Where so many have no vote that the others are no majority, a new epoch goes on from the newest place anyone here
     * knows.
     */
    private void form(long now) {
        if (forming != null) {
            if (now > formedAt + timing.window() || !forming.equals(committed)) {
                forming = null;
            } else if (now >= nextTelling) {
                tellForm(now);
            }
            return;
        }
        int heard = 1;
        int without = 1;
        boolean newer = false;
        for (int i = 0; i < peers; i++) {
            if (answers[i] == null || now - answeredAt[i] > timing.fresh()) {
                continue;
            }
            heard++;
            if (!answers[i].voter()) {
                without++;
            }
            newer |= answers[i].place().compareTo(voter.memory().place()) > 0;
        }
        if (heard < majority || without < reading || newer) {
            stuck = false;
            return;
        }
        if (!stuck) {
            stuckSince = now;
        }
        stuck = true;
        if (now < Math.max(nextForm, stuckSince + timing.settle() + Math.min(rank, MOST_TURN) * timing.retry())
                || held(now)) {
            return;
        }
        long number = Math.max(now, Math.max(voter.memory().seen().number(), committed.number()) + 1);
        forming = new Epoch(number, me, life);
        formedAt = now;
        nextForm = now + timing.hold() + Math.floorMod(MurmurHash3.hash32(life + me, now), timing.hold());
        for (int i = 0; i < peers; i++) {
            lives[i] = answers[i] == null || now - answeredAt[i] > timing.fresh() ? -1 : answers[i].life();
        }
        came.clear();
        voteless.clear();
        committed = forming;
        holdUntil = now + timing.hold();
        tellForm(now);
        came(now, me, false);
    }

    private void tellForm(long now) {
        nextTelling = now + timing.retry();
        for (int i = 0; i < peers; i++) {
            if (i != me && lives[i] >= 0 && !came.get(i)) {
                out.send(i, new Form(forming, lives[i], voter.memory().place()));
            }
        }
    }

    void asksToForm(long now, int by, Form m) {
        Memory memory = voter.memory();
        if (m.toLife() != life
                || m.epoch().compareTo(memory.seen()) <= 0
                || m.epoch().compareTo(committed) < 0) {
            return;
        }
        if (memory.place().compareTo(m.base()) > 0) {
            out.send(by, new Known(memory.place(), Ballot.NONE));
            return;
        }
        if (!m.epoch().equals(committed)) {
            holdUntil = now + timing.hold();
        }
        committed = m.epoch();
        out.send(by, new Commit(m.epoch(), memory.voter()));
    }

    void commits(long now, int by, Commit m) {
        if (forming != null
                && m.epoch().equals(forming)
                && forming.equals(committed)
                && now <= formedAt + timing.window()) {
            came(now, by, m.voter());
        }
    }

    private void came(long now, int by, boolean votes) {
        came.set(by);
        if (!votes) {
            voteless.set(by);
        }
        if (came.cardinality() < majority
                || voteless.cardinality() < reading
                || forming.compareTo(voter.memory().seen()) <= 0) {
            return;
        }
        voter.begin(now, forming);
    }
}
