package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.Accept;
import calicochute.experiment.seal.Message.Accepted;
import calicochute.experiment.seal.Message.DecidedNotice;
import calicochute.experiment.seal.Message.DecidedValue;
import calicochute.experiment.seal.Message.EpochCommit;
import calicochute.experiment.seal.Message.EpochProposal;
import calicochute.experiment.seal.Message.Prepare;
import calicochute.experiment.seal.Message.Promise;
import calicochute.experiment.seal.Message.Rejected;
import calicochute.experiment.seal.Message.StatusReply;
import calicochute.experiment.seal.Message.StatusRequest;
import calicochute.experiment.seal.Message.ValueRequest;

/**
 * The Paxos acceptor and learner of a peer. It owns the state, dispatches messages, and passes those of the other roles
 * to the proposer and to the vote recovery.
 */
final class Acceptor {
    private final Outbox outbox;
    private final Timing timing;
    private final Proposer proposer;
    private final VoteRecovery voteRecovery;
    private AcceptorState state;
    /** When this peer last asked for a value, in microseconds. */
    private long requestedAt = Long.MIN_VALUE;

    /** Creates an acceptor; {@code incarnation} is the start time of the process in microseconds. */
    Acceptor(AcceptorState state, Outbox outbox, Timing timing, int peerCount, int selfIndex, long incarnation) {
        this.state = state;
        this.outbox = outbox;
        this.timing = timing;
        this.proposer = new Proposer(this, outbox, timing, peerCount, selfIndex, incarnation);
        this.voteRecovery = new VoteRecovery(this, outbox, timing, peerCount, selfIndex, incarnation);
    }

    void propose(long time, byte[] next) {
        proposer.propose(time, next);
    }

    void setRank(int rank) {
        proposer.setRank(rank);
        voteRecovery.setRank(rank);
    }

    void tick(long time) {
        proposer.tick(time);
        voteRecovery.tick(time);
    }

    AcceptorState state() {
        return state;
    }

    /** Replaces the state and withholds messages until it is persisted. */
    private void update(AcceptorState next) {
        if (next == state) {
            return;
        }
        assert next.isConsistent() : next;
        state = next;
        outbox.stateChanged();
    }

    void handle(long time, int sender, Message message) {
        if (message instanceof StatusRequest typed) {
            voteRecovery.onStatusRequest(time, sender, typed);
        } else if (message instanceof StatusReply typed) {
            update(state.observeEpoch(typed.newestEpoch()));
            voteRecovery.onStatusReply(time, sender, typed);
        } else if (message instanceof EpochProposal typed) {
            voteRecovery.onEpochProposal(time, sender, typed);
        } else if (message instanceof EpochCommit typed) {
            voteRecovery.onEpochCommit(time, sender, typed);
        } else if (message instanceof Prepare typed) {
            onPrepare(time, sender, typed);
        } else if (message instanceof Promise typed) {
            proposer.onPromise(time, sender, typed);
        } else if (message instanceof Accept typed) {
            onAccept(time, sender, typed);
        } else if (message instanceof Accepted typed) {
            proposer.onAccepted(time, sender, typed);
        } else if (message instanceof Rejected typed) {
            proposer.onRejected(time, typed);
        } else if (message instanceof DecidedNotice typed) {
            onDecidedNotice(time, sender, typed);
        } else if (message instanceof ValueRequest typed) {
            update(state.observeEpoch(typed.decidedSlot().epoch()));
            if (state.decidedSlot().compareTo(typed.decidedSlot()) > 0) {
                outbox.send(sender, new DecidedValue(state.decidedSlot(), state.decidedValue()));
            }
        } else if (message instanceof DecidedValue typed) {
            learn(time, typed.slotId(), typed.value());
        }
    }

    /**
     * Whether this peer may vote on the slot: it must be a voter and know the value of the previous slot, so that the
     * value is not lost with the proposer.
     */
    private boolean mayVoteOn(long time, int sender, SlotId slotId) {
        update(state.observeEpoch(slotId.epoch()));
        if (state.decidedSlot().compareTo(slotId) >= 0) {
            outbox.send(sender, new DecidedNotice(state.decidedSlot(), Ballot.NONE));
            return false;
        }
        if (!slotId.epoch().equals(state.newestEpoch())) {
            return false;
        }
        boolean isNextSlot = state.decidedSlot().next().equals(slotId);
        if (!isNextSlot) {
            requestValue(time, sender);
        }
        return isNextSlot && state.canVote() && !voteRecovery.isHeld(time);
    }

    private void onPrepare(long time, int sender, Prepare message) {
        if (!mayVoteOn(time, sender, message.slotId())) {
            return;
        }
        if (message.ballot().compareTo(state.promisedBallot()) < 0) {
            outbox.send(sender, new Rejected(message.slotId(), message.ballot(), state.promisedBallot()));
            return;
        }
        update(state.promise(message.ballot()));
        outbox.send(
                sender, new Promise(message.slotId(), message.ballot(), state.acceptedBallot(), state.acceptedValue()));
    }

    private void onAccept(long time, int sender, Accept message) {
        if (!mayVoteOn(time, sender, message.slotId())) {
            return;
        }
        if (message.ballot().compareTo(state.promisedBallot()) < 0) {
            outbox.send(sender, new Rejected(message.slotId(), message.ballot(), state.promisedBallot()));
            return;
        }
        update(state.accept(message.ballot(), message.value()));
        outbox.send(sender, new Accepted(message.slotId(), message.ballot()));
    }

    private void onDecidedNotice(long time, int sender, DecidedNotice message) {
        update(state.observeEpoch(message.slotId().epoch()));
        int comparison = message.slotId().compareTo(state.decidedSlot());
        if (comparison < 0) {
            outbox.send(sender, new DecidedNotice(state.decidedSlot(), Ballot.NONE));
        }
        if (comparison <= 0) {
            return;
        }
        boolean acceptedHere = state.canVote()
                && !message.ballot().equals(Ballot.NONE)
                && message.ballot().equals(state.acceptedBallot());
        if (acceptedHere && message.slotId().equals(state.decidedSlot().next())) {
            learn(time, message.slotId(), state.acceptedValue());
        } else {
            requestValue(time, sender);
        }
    }

    /** Asks a peer for a newer value, at a limited rate. */
    void requestValue(long time, int sender) {
        if (time < requestedAt + timing.retryMicros() / 3 && time >= requestedAt) {
            return;
        }
        requestedAt = time;
        outbox.send(sender, new ValueRequest(state.decidedSlot()));
    }

    /** Learns a decided value. */
    void learn(long time, SlotId slotId, byte[] value) {
        SlotId previousSlot = state.decidedSlot();
        if (slotId.compareTo(previousSlot) <= 0) {
            return;
        }
        AcceptorState next = state.learn(slotId, value);
        if (slotId.epoch().compareTo(state.newestEpoch()) >= 0
                && !next.canVote()
                && voteRecovery.isFoundingMember(slotId.epoch())) {
            next = next.startVoting();
            voteRecovery.votingStarted();
        }
        update(next);
        slotChanged(time, previousSlot);
        voteRecovery.tryRecover(time);
    }

    private void slotChanged(long time, SlotId previousSlot) {
        proposer.slotChanged(time);
        if (!previousSlot.epoch().equals(state.decidedSlot().epoch())) {
            outbox.addEffect(new Effect.EpochBegun(state.decidedSlot(), previousSlot));
        }
        if (state.decidedSlot().slot() > 0) {
            outbox.addEffect(
                    new Effect.Decided(state.decidedSlot(), state.decidedValue().clone()));
        }
    }

    /** Votes again in the newest epoch, from the slot after the newest decided one. */
    void startVoting() {
        update(state.startVoting());
        voteRecovery.votingStarted();
    }

    /** Begins a new epoch that enough peers committed to; it continues after the newest decided slot. */
    void beginEpoch(long time, Epoch epoch) {
        SlotId previousSlot = state.decidedSlot();
        SlotId baseSlot = new SlotId(epoch, previousSlot.slot());
        update(state.learn(baseSlot, state.decidedValue()).startVoting());
        voteRecovery.votingStarted();
        slotChanged(time, previousSlot);
        outbox.broadcast(new DecidedValue(baseSlot, state.decidedValue()));
    }
}
