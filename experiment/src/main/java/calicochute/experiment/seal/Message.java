package calicochute.experiment.seal;

/** What peers say to each other. Lives are starts of processes in microseconds. */
sealed interface Message {
    /** From a peer that does not vote: who are you, how far have you voted? */
    record StatusRequest(long incarnation) implements Message {}

    /**
     * To an ask of the process that began at {@code toLife}.
     *
     * @param mark highest slot of {@code seen} that this voter accepted in or knows decided; 0 from one that does not
     *     vote
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
     * Will you come along into this new epoch, that goes on after base? Only to the process that began at
     * {@code toLife}.
     */
    record EpochProposal(Epoch epoch, long toIncarnation, SlotId baseSlot) implements Message {}

    /** Yes; {@code voter}: I could still vote in the old one. */
    record EpochCommit(Epoch epoch, boolean canVote) implements Message {}

    /** Phase 1 of slot {@code place}; the sender knows the slot before. */
    record Prepare(SlotId slotId, Ballot ballot) implements Message {}

    /** No lower ballot any more; what was accepted so far ({@link Ballot#NONE}: nothing). */
    record Promise(SlotId slotId, Ballot ballot, Ballot acceptedBallot, byte[] acceptedValue) implements Message {}

    /** Phase 2. */
    record Accept(SlotId slotId, Ballot ballot, byte[] value) implements Message {}

    record Accepted(SlotId slotId, Ballot ballot) implements Message {}

    /** A higher ballot was promised. */
    record Rejected(SlotId slotId, Ballot ballot, Ballot promisedBallot) implements Message {}

    /** This place is decided; by this ballot where it is told. Who accepted in it knows the value. */
    record DecidedNotice(SlotId slotId, Ballot ballot) implements Message {}

    /** I stand here; send what is newer. */
    record ValueRequest(SlotId decidedSlot) implements Message {}

    /** The decided value of a place. */
    record DecidedValue(SlotId slotId, byte[] value) implements Message {}
}
