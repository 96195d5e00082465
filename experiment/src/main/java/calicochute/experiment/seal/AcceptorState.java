package calicochute.experiment.seal;

/**
 * What a peer must not forget while it votes. Immutable; only moves up.
 *
 * @param seen newest epoch heard of
 * @param voter promises and accepts in the slot after {@code place}, which then is of epoch {@code seen}
 * @param place newest decided slot known, {@code value} its value
 * @param promised no lower ballot is taken in that next slot
 * @param accepted ballot of {@code acceptedValue}, {@link Ballot#NONE} if none was accepted there
 */
record AcceptorState(
        Epoch newestEpoch,
        boolean canVote,
        SlotId decidedSlot,
        byte[] decidedValue,
        Ballot promisedBallot,
        Ballot acceptedBallot,
        byte[] acceptedValue) {
    static final byte[] NO_VALUE = {};
    static final AcceptorState INITIAL = withoutVotes(Epoch.NONE, false, SlotId.NONE, NO_VALUE);

    private static AcceptorState withoutVotes(
            Epoch newestEpoch, boolean canVote, SlotId decidedSlot, byte[] decidedValue) {
        return new AcceptorState(newestEpoch, canVote, decidedSlot, decidedValue, Ballot.NONE, Ballot.NONE, NO_VALUE);
    }

    boolean isConsistent() {
        return decidedSlot.epoch().compareTo(newestEpoch) <= 0
                && (!canVote || (decidedSlot.epoch().equals(newestEpoch) && !newestEpoch.equals(Epoch.NONE)))
                && acceptedBallot.compareTo(promisedBallot) <= 0;
    }

    /** Highest slot of {@code seen} accepted in or known to be decided. */
    long highWaterMark() {
        return acceptedBallot.equals(Ballot.NONE) ? decidedSlot.slot() : decidedSlot.slot() + 1;
    }

    /** Another epoch is newer: this peer has no vote in it yet. */
    AcceptorState observeEpoch(Epoch epoch) {
        return epoch.compareTo(newestEpoch) <= 0 ? this : withoutVotes(epoch, false, decidedSlot, decidedValue);
    }

    /** Learns a decided slot, newer than the one known. */
    AcceptorState learn(SlotId newerSlot, byte[] value) {
        AcceptorState observed = observeEpoch(newerSlot.epoch());
        return withoutVotes(observed.newestEpoch, observed.canVote, newerSlot, value);
    }

    /** Votes from now on, on the slot after the newest decided one. */
    AcceptorState startVoting() {
        return withoutVotes(newestEpoch, true, decidedSlot, decidedValue);
    }

    AcceptorState promise(Ballot ballot) {
        return ballot.equals(promisedBallot)
                ? this
                : new AcceptorState(
                        newestEpoch, canVote, decidedSlot, decidedValue, ballot, acceptedBallot, acceptedValue);
    }

    AcceptorState accept(Ballot ballot, byte[] value) {
        return ballot.equals(acceptedBallot)
                ? this
                : new AcceptorState(newestEpoch, canVote, decidedSlot, decidedValue, ballot, ballot, value);
    }
}
