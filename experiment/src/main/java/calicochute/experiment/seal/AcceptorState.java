package calicochute.experiment.seal;

/**
 * The state that a peer must not lose while it votes. Immutable; epochs, slots and ballots only increase.
 *
 * @param newestEpoch newest epoch seen
 * @param canVote whether this peer promises and accepts in the slot after {@code decidedSlot}; that slot is then in
 *     epoch {@code newestEpoch}
 * @param decidedSlot newest decided slot known
 * @param decidedValue value of {@code decidedSlot}
 * @param promisedBallot ballots below this one are rejected in the next slot
 * @param acceptedBallot ballot of {@code acceptedValue}, {@link Ballot#NONE} if no value is accepted in the next slot
 * @param acceptedValue value accepted in the next slot
 */
record AcceptorState(
        Epoch newestEpoch,
        boolean canVote,
        SlotId decidedSlot,
        byte[] decidedValue,
        Ballot promisedBallot,
        Ballot acceptedBallot,
        byte[] acceptedValue) {
    /** The value before the first decision. */
    static final byte[] NO_VALUE = {};
    /** The state of a peer that starts without persisted state. */
    static final AcceptorState INITIAL = withoutVotes(Epoch.NONE, false, SlotId.NONE, NO_VALUE);

    private static AcceptorState withoutVotes(
            Epoch newestEpoch, boolean canVote, SlotId decidedSlot, byte[] decidedValue) {
        return new AcceptorState(newestEpoch, canVote, decidedSlot, decidedValue, Ballot.NONE, Ballot.NONE, NO_VALUE);
    }

    /** Whether the components fit together. */
    boolean isConsistent() {
        return decidedSlot.epoch().compareTo(newestEpoch) <= 0
                && (!canVote || (decidedSlot.epoch().equals(newestEpoch) && !newestEpoch.equals(Epoch.NONE)))
                && acceptedBallot.compareTo(promisedBallot) <= 0;
    }

    /** Highest slot of {@code newestEpoch} in which this peer accepted a value or that it knows to be decided. */
    long highWaterMark() {
        return acceptedBallot.equals(Ballot.NONE) ? decidedSlot.slot() : decidedSlot.slot() + 1;
    }

    /** Returns the state after an epoch was seen. This peer cannot vote in a newer epoch yet. */
    AcceptorState observeEpoch(Epoch epoch) {
        return epoch.compareTo(newestEpoch) <= 0 ? this : withoutVotes(epoch, false, decidedSlot, decidedValue);
    }

    /** Returns the state after a newer slot was decided. */
    AcceptorState learn(SlotId newerSlot, byte[] value) {
        AcceptorState observed = observeEpoch(newerSlot.epoch());
        return withoutVotes(observed.newestEpoch, observed.canVote, newerSlot, value);
    }

    /** Returns the state of a peer that votes on the slot after the newest decided one. */
    AcceptorState startVoting() {
        return withoutVotes(newestEpoch, true, decidedSlot, decidedValue);
    }

    /** Returns the state after a promise to reject lower ballots. */
    AcceptorState promise(Ballot ballot) {
        return ballot.equals(promisedBallot)
                ? this
                : new AcceptorState(
                        newestEpoch, canVote, decidedSlot, decidedValue, ballot, acceptedBallot, acceptedValue);
    }

    /** Returns the state after the acceptance of a value. */
    AcceptorState accept(Ballot ballot, byte[] value) {
        return ballot.equals(acceptedBallot)
                ? this
                : new AcceptorState(newestEpoch, canVote, decidedSlot, decidedValue, ballot, ballot, value);
    }
}
