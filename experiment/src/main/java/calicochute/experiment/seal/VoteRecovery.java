package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.DecidedNotice;
import calicochute.experiment.seal.Message.EpochCommit;
import calicochute.experiment.seal.Message.EpochProposal;
import calicochute.experiment.seal.Message.StatusReply;
import calicochute.experiment.seal.Message.StatusRequest;
import java.util.Arrays;
import java.util.BitSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Lets a peer that abstains vote again. The peer learns from a read quorum up to which slot votes may exist and waits
 * until a later slot is decided. If too many peers abstain for that, it forms a new epoch with them. The package
 * documentation has the proof.
 */
final class VoteRecovery {
    /** Largest rank; higher ranks wait as long as this one before they form an epoch. */
    private static final int MAX_RANK = 20;
    /** Largest interval between status requests as a multiple of the configured one. */
    private static final int MAX_REQUEST_BACKOFF = 8;

    private final Acceptor acceptor;
    private final Outbox outbox;
    private final Timing timing;
    private final int peerCount;
    private final int selfIndex;
    private final long incarnation;
    private final int majority;
    /** Number of peers that intersects every majority. */
    private final int readQuorum;

    /** Newest reply of each peer, null if there is none. */
    private final StatusReply[] replies;

    private final long[] repliedAt;
    private long nextRequestAt = Long.MIN_VALUE;
    private int requestBackoff = 1;
    private int rank;
    /** Epoch in which the read quorum was complete. */
    private Epoch readEpoch = Epoch.NONE;

    /** First slot of {@code readEpoch} whose decision allows this peer to vote again. */
    private long voteFromSlot;

    /** Newest epoch that this peer committed to and has not joined yet. */
    private Epoch committedEpoch = Epoch.NONE;

    private long holdUntil = Long.MIN_VALUE;

    /** Whether the replies show that the current epoch cannot continue. */
    private boolean stuck;

    private long stuckSince;
    private long nextFormationAt = Long.MIN_VALUE;
    /** Epoch that this peer is forming, or null. */
    private Epoch formingEpoch;

    private long formationStartedAt;
    private long nextProposalAt;
    /** Incarnation of each peer that the forming epoch is proposed to; -1 for none. */
    private final long[] proposedTo;

    /** Peers that have committed to the forming epoch. */
    private final BitSet committedPeers = new BitSet();
    /** Those of them that abstain in the old epoch. */
    private final BitSet committedNonVoters = new BitSet();

    VoteRecovery(Acceptor acceptor, Outbox outbox, Timing timing, int peerCount, int selfIndex, long incarnation) {
        this.acceptor = acceptor;
        this.outbox = outbox;
        this.timing = timing;
        this.peerCount = peerCount;
        this.selfIndex = selfIndex;
        this.incarnation = incarnation;
        this.rank = selfIndex;
        this.majority = peerCount / 2 + 1;
        this.readQuorum = peerCount - majority + 1;
        this.replies = new StatusReply[peerCount];
        this.repliedAt = new long[peerCount];
        this.proposedTo = new long[peerCount];
    }

    /** Sets this peer's position in the order of proposers. */
    void setRank(int newRank) {
        rank = newRank;
    }

    /** Whether a commit to a new epoch keeps this peer from voting in the old one. */
    boolean isHeld(long now) {
        return now < holdUntil;
    }

    /**
     * Whether this peer may vote in the epoch from its first slot: it committed to the epoch in this incarnation, and
     * no earlier incarnation can have voted in it.
     */
    boolean isFoundingMember(Epoch epoch) {
        return epoch.equals(committedEpoch);
    }

    /** Resets the recovery after this peer has become a voter. */
    void votingStarted() {
        committedEpoch = Epoch.NONE;
        holdUntil = Long.MIN_VALUE;
        formingEpoch = null;
        stuck = false;
        readEpoch = Epoch.NONE;
        requestBackoff = 1;
        nextRequestAt = Long.MIN_VALUE;
        Arrays.fill(replies, null);
    }

    /** Sends status requests and tries both ways to vote again, while this peer abstains. */
    void tick(long now) {
        if (acceptor.state().canVote()) {
            return;
        }
        if (now >= nextRequestAt) {
            for (int i = 0; i < peerCount; i++) {
                if (i != selfIndex) {
                    outbox.send(i, new StatusRequest(incarnation));
                }
            }
            nextRequestAt = now + timing.statusRequestMicros() * requestBackoff;
            requestBackoff = Math.min(2 * requestBackoff, MAX_REQUEST_BACKOFF);
        }
        tryRecover(now);
        if (!acceptor.state().canVote()) {
            tryFormEpoch(now);
        }
    }

    void onStatusRequest(long now, int sender, StatusRequest message) {
        AcceptorState state = acceptor.state();
        outbox.send(
                sender,
                new StatusReply(
                        message.incarnation(),
                        incarnation,
                        state.canVote(),
                        state.newestEpoch(),
                        state.canVote() ? state.highWaterMark() : 0,
                        state.decidedSlot()));
    }

    void onStatusReply(long now, int sender, StatusReply message) {
        if (message.toIncarnation() != incarnation || acceptor.state().canVote() || sender == selfIndex) {
            return;
        }
        replies[sender] = message;
        repliedAt[sender] = now;
        if (message.decidedSlot().compareTo(acceptor.state().decidedSlot()) > 0) {
            acceptor.requestValue(now, sender);
        }
        tryRecover(now);
    }

    /**
     * Applies the abstention rule of the package documentation. The highest mark is read once per epoch, from voters
     * that replied to this incarnation.
     */
    void tryRecover(long now) {
        AcceptorState state = acceptor.state();
        if (state.canVote() || state.newestEpoch().equals(Epoch.NONE)) {
            return;
        }
        if (!readEpoch.equals(state.newestEpoch())) {
            int voters = 0;
            long highestMark = 0;
            for (StatusReply reply : replies) {
                if (reply == null || !reply.canVote() || !reply.newestEpoch().equals(state.newestEpoch())) {
                    continue;
                }
                voters++;
                highestMark = Math.max(highestMark, reply.highWaterMark());
            }
            if (voters < readQuorum) {
                return;
            }
            readEpoch = state.newestEpoch();
            voteFromSlot = highestMark + 1;
        }
        if (state.decidedSlot().epoch().equals(readEpoch)
                && state.decidedSlot().slot() >= voteFromSlot
                && !isHeld(now)) {
            acceptor.startVoting();
        }
    }

    /**
     * Forms a new epoch if so many peers abstain that the voters are no majority. The epoch continues after the newest
     * decided slot that any of the participants knows.
     */
    private void tryFormEpoch(long now) {
        if (formingEpoch != null) {
            if (now > formationStartedAt + timing.commitWindowMicros() || !formingEpoch.equals(committedEpoch)) {
                formingEpoch = null;
            } else if (now >= nextProposalAt) {
                sendEpochProposals(now);
            }
            return;
        }
        int heardPeers = 1;
        int nonVoters = 1;
        boolean newerSlotKnown = false;
        for (int i = 0; i < peerCount; i++) {
            if (replies[i] == null || now - repliedAt[i] > timing.maxReplyAgeMicros()) {
                continue;
            }
            heardPeers++;
            if (!replies[i].canVote()) {
                nonVoters++;
            }
            newerSlotKnown |=
                    replies[i].decidedSlot().compareTo(acceptor.state().decidedSlot()) > 0;
        }
        if (heardPeers < majority || nonVoters < readQuorum || newerSlotKnown) {
            stuck = false;
            return;
        }
        if (!stuck) {
            stuckSince = now;
        }
        stuck = true;
        if (now
                        < Math.max(
                                nextFormationAt,
                                stuckSince + timing.settleMicros() + Math.min(rank, MAX_RANK) * timing.retryMicros())
                || isHeld(now)) {
            return;
        }
        long number = Math.max(now, Math.max(acceptor.state().newestEpoch().number(), committedEpoch.number()) + 1);
        formingEpoch = new Epoch(number, selfIndex, incarnation);
        formationStartedAt = now;
        nextFormationAt = now
                + timing.holdMicros()
                + Math.floorMod(MurmurHash3.hash32(incarnation + selfIndex, now), timing.holdMicros());
        for (int i = 0; i < peerCount; i++) {
            proposedTo[i] = replies[i] == null || now - repliedAt[i] > timing.maxReplyAgeMicros()
                    ? -1
                    : replies[i].incarnation();
        }
        committedPeers.clear();
        committedNonVoters.clear();
        committedEpoch = formingEpoch;
        holdUntil = now + timing.holdMicros();
        sendEpochProposals(now);
        recordCommit(now, selfIndex, false);
    }

    /** Proposes the forming epoch to the peers that have not committed to it. */
    private void sendEpochProposals(long now) {
        nextProposalAt = now + timing.retryMicros();
        for (int i = 0; i < peerCount; i++) {
            if (i != selfIndex && proposedTo[i] >= 0 && !committedPeers.get(i)) {
                outbox.send(
                        i,
                        new EpochProposal(
                                formingEpoch, proposedTo[i], acceptor.state().decidedSlot()));
            }
        }
    }

    void onEpochProposal(long now, int sender, EpochProposal message) {
        AcceptorState state = acceptor.state();
        if (message.toIncarnation() != incarnation
                || message.epoch().compareTo(state.newestEpoch()) <= 0
                || message.epoch().compareTo(committedEpoch) < 0) {
            return;
        }
        if (state.decidedSlot().compareTo(message.baseSlot()) > 0) {
            outbox.send(sender, new DecidedNotice(state.decidedSlot(), Ballot.NONE));
            return;
        }
        if (!message.epoch().equals(committedEpoch)) {
            holdUntil = now + timing.holdMicros();
        }
        committedEpoch = message.epoch();
        outbox.send(sender, new EpochCommit(message.epoch(), state.canVote()));
    }

    void onEpochCommit(long now, int sender, EpochCommit message) {
        if (formingEpoch != null
                && message.epoch().equals(formingEpoch)
                && formingEpoch.equals(committedEpoch)
                && now <= formationStartedAt + timing.commitWindowMicros()) {
            recordCommit(now, sender, message.canVote());
        }
    }

    /** Records a commit and begins the epoch once a majority, with a read quorum of non-voters, has committed. */
    private void recordCommit(long now, int sender, boolean canVote) {
        committedPeers.set(sender);
        if (!canVote) {
            committedNonVoters.set(sender);
        }
        if (committedPeers.cardinality() < majority
                || committedNonVoters.cardinality() < readQuorum
                || formingEpoch.compareTo(acceptor.state().newestEpoch()) <= 0) {
            return;
        }
        acceptor.beginEpoch(now, formingEpoch);
    }
}
