package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.*;

/**
 * What a peer knows and how it votes: each message changes the memory, or is answered from it. With it work the
 * proposer and the comeback.
 */
final class Voter {
    private final Outbox out;
    private final Timing timing;
    private final Proposer proposer;
    private final Comeback comeback;
    private Memory memory;
    private long wantedAt = Long.MIN_VALUE;

    /** @param life when the process began (microseconds) */
    Voter(Memory memory, Outbox out, Timing timing, int peers, int me, long life) {
        this.memory = memory;
        this.out = out;
        this.timing = timing;
        this.proposer = new Proposer(this, out, timing, peers, me, life);
        this.comeback = new Comeback(this, out, timing, peers, me, life);
    }

    void propose(long time, byte[] next) {
        proposer.propose(time, next);
    }

    void turn(int rank) {
        proposer.turn(rank);
        comeback.turn(rank);
    }

    void tick(long time) {
        proposer.tick(time);
        comeback.tick(time);
    }

    Memory memory() {
        return memory;
    }

    private void change(Memory next) {
        if (next == memory) {
            return;
        }
        assert next.sound() : next;
        memory = next;
        out.changed();
    }

    void handle(long time, int by, Message message) {
        if (message instanceof Ask m) {
            comeback.asked(time, by, m);
        } else if (message instanceof Answer m) {
            change(memory.see(m.seen()));
            comeback.answered(time, by, m);
        } else if (message instanceof Form m) {
            comeback.asksToForm(time, by, m);
        } else if (message instanceof Commit m) {
            comeback.commits(time, by, m);
        } else if (message instanceof Prepare m) {
            prepare(time, by, m);
        } else if (message instanceof Promise m) {
            proposer.promised(time, by, m);
        } else if (message instanceof Accept m) {
            accept(time, by, m);
        } else if (message instanceof Accepted m) {
            proposer.accepted(time, by, m);
        } else if (message instanceof Refused m) {
            proposer.refused(time, m);
        } else if (message instanceof Known m) {
            known(time, by, m);
        } else if (message instanceof Want m) {
            change(memory.see(m.place().epoch()));
            if (memory.place().compareTo(m.place()) > 0) {
                out.send(by, new Value(memory.place(), memory.value()));
            }
        } else if (message instanceof Value m) {
            learn(time, m.place(), m.value());
        }
    }

    /**
     * Whether this peer may vote on the place now: a voter that knows the value of the slot before. So that is not lost
     * with the proposer.
     */
    private boolean open(long time, int by, Place place) {
        change(memory.see(place.epoch()));
        if (memory.place().compareTo(place) >= 0) {
            out.send(by, new Known(memory.place(), Ballot.NONE));
            return false;
        }
        if (!place.epoch().equals(memory.seen())) {
            return false;
        }
        boolean next = memory.place().next().equals(place);
        if (!next) {
            want(time, by);
        }
        return next && memory.voter() && !comeback.held(time);
    }

    private void prepare(long time, int by, Prepare m) {
        if (!open(time, by, m.place())) {
            return;
        }
        if (m.ballot().compareTo(memory.promised()) < 0) {
            out.send(by, new Refused(m.place(), m.ballot(), memory.promised()));
            return;
        }
        change(memory.promise(m.ballot()));
        out.send(by, new Promise(m.place(), m.ballot(), memory.accepted(), memory.acceptedValue()));
    }

    private void accept(long time, int by, Accept m) {
        if (!open(time, by, m.place())) {
            return;
        }
        if (m.ballot().compareTo(memory.promised()) < 0) {
            out.send(by, new Refused(m.place(), m.ballot(), memory.promised()));
            return;
        }
        change(memory.accept(m.ballot(), m.value()));
        out.send(by, new Accepted(m.place(), m.ballot()));
    }

    private void known(long time, int by, Known m) {
        change(memory.see(m.place().epoch()));
        int newer = m.place().compareTo(memory.place());
        if (newer < 0) {
            out.send(by, new Known(memory.place(), Ballot.NONE));
        }
        if (newer <= 0) {
            return;
        }
        boolean mine =
                memory.voter() && !m.ballot().equals(Ballot.NONE) && m.ballot().equals(memory.accepted());
        if (mine && m.place().equals(memory.place().next())) {
            learn(time, m.place(), memory.acceptedValue());
        } else {
            want(time, by);
        }
    }

    void want(long time, int by) {
        if (time < wantedAt + timing.retry() / 3 && time >= wantedAt) {
            return;
        }
        wantedAt = time;
        out.send(by, new Want(memory.place()));
    }

    void learn(long time, Place place, byte[] value) {
        Place before = memory.place();
        if (place.compareTo(before) <= 0) {
            return;
        }
        Memory next = memory.learn(place, value);
        if (place.epoch().compareTo(memory.seen()) >= 0 && !next.voter() && comeback.fresh(place.epoch())) {
            next = next.join();
            comeback.joined();
        }
        change(next);
        moved(time, before);
        comeback.read(time);
    }

    private void moved(long time, Place before) {
        proposer.moved(time);
        if (!before.epoch().equals(memory.place().epoch())) {
            out.tell(new Effect.Begun(memory.place(), before));
        }
        if (memory.place().slot() > 0) {
            out.tell(new Effect.Decided(memory.place(), memory.value().clone()));
        }
    }

    /** Votes again in the epoch seen, after the newest place known. */
    void join() {
        change(memory.join());
        comeback.joined();
    }

    /** Enough came along: the new epoch goes on after the newest place. */
    void begin(long time, Epoch epoch) {
        Place before = memory.place();
        Place base = new Place(epoch, before.slot());
        change(memory.learn(base, memory.value()).join());
        comeback.joined();
        moved(time, before);
        out.all(new Value(base, memory.value()));
    }
}
