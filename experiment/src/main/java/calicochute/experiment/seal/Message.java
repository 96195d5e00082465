package calicochute.experiment.seal;

/** Messages between peers. An incarnation is the start time of a process in microseconds. */
sealed interface Message {
    /** Asks for the voting status of a peer; sent by peers that abstain. */
    record StatusRequest(long incarnation) implements Message {}

    /**
     * Answers a {@link StatusRequest}.
     *
     * @param toIncarnation incarnation of the request
     * @param incarnation incarnation of the sender
     * @param highWaterMark {@link AcceptorState#highWaterMark()} of a voter; 0 from a peer that abstains
     */
    record StatusReply(
            long toIncarnation,
            long incarnation,
            boolean canVote,
            Epoch newestEpoch,
            long highWaterMark,
            SlotId decidedSlot)
            implements Message {}

    /**
     * Proposes a new epoch.
     *
     * @param toIncarnation the only incarnation of the recipient that may commit to it
     * @param baseSlot the slot after which the epoch continues
     */
    record EpochProposal(Epoch epoch, long toIncarnation, SlotId baseSlot) implements Message {}

    /**
     * Commits the sender to a proposed epoch.
     *
     * @param canVote whether the sender was still a voter of the old epoch
     */
    record EpochCommit(Epoch epoch, boolean canVote) implements Message {}

    /** Paxos phase 1a; the sender knows the value of the previous slot. */
    record Prepare(SlotId slotId, Ballot ballot) implements Message {}

    /** Paxos phase 1b, with the value accepted so far; {@link Ballot#NONE} if there is none. */
    record Promise(SlotId slotId, Ballot ballot, Ballot acceptedBallot, byte[] acceptedValue) implements Message {}

    /** Paxos phase 2a. */
    record Accept(SlotId slotId, Ballot ballot, byte[] value) implements Message {}

    /** Paxos phase 2b. */
    record Accepted(SlotId slotId, Ballot ballot) implements Message {}

    /** Rejects a ballot because a higher one was promised. */
    record Rejected(SlotId slotId, Ballot ballot, Ballot promisedBallot) implements Message {}

    /**
     * Announces that a slot is decided.
     *
     * @param ballot the deciding ballot, whose acceptors know the value, or {@link Ballot#NONE}
     */
    record DecidedNotice(SlotId slotId, Ballot ballot) implements Message {}

    /** Asks for the newest value if the recipient knows a slot later than {@code decidedSlot}. */
    record ValueRequest(SlotId decidedSlot) implements Message {}

    /** Carries the decided value of a slot. */
    record DecidedValue(SlotId slotId, byte[] value) implements Message {}
}
