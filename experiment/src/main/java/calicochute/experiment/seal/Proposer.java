package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.Accept;
import calicochute.experiment.seal.Message.Accepted;
import calicochute.experiment.seal.Message.DecidedNotice;
import calicochute.experiment.seal.Message.Prepare;
import calicochute.experiment.seal.Message.Promise;
import calicochute.experiment.seal.Message.Rejected;
import java.util.BitSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The Paxos proposer: proposes this peer's value, or one that may already be decided, for the slot after the newest
 * decided one. It has no persistent state.
 */
final class Proposer {
    /** Largest rank; higher ranks wait as long as this one. */
    private static final int MAX_RANK = 20;
    /** Largest number of times that a delay is doubled. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final Acceptor acceptor;
    private final Outbox outbox;
    private final Timing timing;
    private final int peerCount;
    private final int selfIndex;
    private final long incarnation;
    private byte[] nextValue;
    private long proposedAt;
    private long slotChangedAt;
    private long notBefore = Long.MIN_VALUE;
    private int highestRound;
    private int rejections;
    private int rank;

    private SlotId slotId;
    private Ballot ballot = Ballot.NONE;
    private Ballot highestAccepted = Ballot.NONE;
    private byte[] value;
    private boolean acceptPhase;
    private final BitSet repliedPeers = new BitSet();
    private long retryAt;
    private int retries;

    Proposer(Acceptor acceptor, Outbox outbox, Timing timing, int peerCount, int selfIndex, long incarnation) {
        this.acceptor = acceptor;
        this.outbox = outbox;
        this.timing = timing;
        this.peerCount = peerCount;
        this.selfIndex = selfIndex;
        this.incarnation = incarnation;
        this.rank = selfIndex;
        this.slotChangedAt = incarnation;
    }

    /** Sets the value to propose. */
    void propose(long now, byte[] bytes) {
        if (nextValue == null) {
            proposedAt = now;
        }
        nextValue = bytes.clone();
        tick(now);
    }

    /** Sets this peer's position in the order of proposers; 0 proposes at once. */
    void setRank(int newRank) {
        rank = Math.max(0, Math.min(newRank, MAX_RANK));
    }

    /** Discards the proposal after a newer slot was decided. */
    void slotChanged(long now) {
        nextValue = null;
        slotId = null;
        rejections = 0;
        highestRound = 0;
        notBefore = Long.MIN_VALUE;
        slotChangedAt = now;
    }

    void tick(long now) {
        if (slotId != null && !slotId.epoch().equals(acceptor.state().newestEpoch())) {
            slotId = null;
        }
        if (slotId != null && now >= retryAt) {
            resend(now);
        }
        if (slotId != null
                || nextValue == null
                || !acceptor.state()
                        .decidedSlot()
                        .epoch()
                        .equals(acceptor.state().newestEpoch())) {
            return;
        }
        long dueAt = rank == 0 ? proposedAt : Math.max(proposedAt, slotChangedAt) + rank * timing.takeoverMicros();
        if (now < Math.max(dueAt, notBefore)) {
            return;
        }
        if (highestRound >= Ballot.MAX_ROUNDS) {
            return;
        }
        slotId = acceptor.state().decidedSlot().next();
        ballot = new Ballot(++highestRound, selfIndex, incarnation);
        highestAccepted = Ballot.NONE;
        value = nextValue;
        acceptPhase = false;
        startPhase(now, new Prepare(slotId, ballot));
    }

    private void startPhase(long now, Message message) {
        repliedPeers.clear();
        retries = 0;
        retryAt = now + timing.retryMicros();
        outbox.broadcast(message);
    }

    /** Sends the current request again to the peers that have not replied. */
    private void resend(long now) {
        retries = Math.min(retries + 1, MAX_BACKOFF_DOUBLINGS);
        retryAt = now + (timing.retryMicros() << retries);
        Message message = acceptPhase ? new Accept(slotId, ballot, value) : new Prepare(slotId, ballot);
        for (int i = repliedPeers.nextClearBit(0); i < peerCount; i = repliedPeers.nextClearBit(i + 1)) {
            outbox.send(i, message);
        }
    }

    /** Whether a reply belongs to the current slot and ballot. */
    private boolean isCurrent(SlotId messageSlot, Ballot messageBallot) {
        return slotId != null && messageBallot.equals(ballot) && messageSlot.equals(slotId);
    }

    /** Records a reply; true once a majority has replied. */
    private boolean hasMajorityWith(int sender) {
        repliedPeers.set(sender);
        return repliedPeers.cardinality() > peerCount / 2;
    }

    void onPromise(long now, int sender, Promise message) {
        if (!isCurrent(message.slotId(), message.ballot()) || acceptPhase) {
            return;
        }
        if (message.acceptedBallot().compareTo(highestAccepted) > 0) {
            highestAccepted = message.acceptedBallot();
            value = message.acceptedValue();
        }
        if (!hasMajorityWith(sender)) {
            return;
        }
        acceptPhase = true;
        startPhase(now, new Accept(slotId, ballot, value));
    }

    void onAccepted(long now, int sender, Accepted message) {
        if (!isCurrent(message.slotId(), message.ballot()) || !acceptPhase || !hasMajorityWith(sender)) {
            return;
        }
        SlotId decidedSlot = slotId;
        Ballot decidingBallot = ballot;
        acceptor.learn(now, decidedSlot, value);
        outbox.broadcast(new DecidedNotice(decidedSlot, decidingBallot));
    }

    /** Backs off, because another proposer is active; the delay doubles with each rejection and has random jitter. */
    void onRejected(long now, Rejected message) {
        if (!isCurrent(message.slotId(), message.ballot())) {
            return;
        }
        highestRound = Math.max(highestRound, message.promisedBallot().round());
        slotId = null;
        rejections = Math.min(rejections + 1, MAX_BACKOFF_DOUBLINGS);
        long backoff = timing.retryMicros() << rejections;
        long jitter = Math.floorMod(MurmurHash3.hash32(incarnation + selfIndex, now + highestRound), backoff);
        notBefore = now + timing.retryMicros() / 2 + jitter + (rank > 0 ? timing.takeoverMicros() : 0);
    }
}
