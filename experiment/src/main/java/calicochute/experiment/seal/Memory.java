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
record Memory(
        Epoch seen, boolean voter, Place place, byte[] value, Ballot promised, Ballot accepted, byte[] acceptedValue) {
    static final byte[] EMPTY = {};
    static final Memory BLANK = unvoted(Epoch.NONE, false, Place.NONE, EMPTY);

    private static Memory unvoted(Epoch seen, boolean voter, Place place, byte[] value) {
        return new Memory(seen, voter, place, value, Ballot.NONE, Ballot.NONE, EMPTY);
    }

    boolean sound() {
        return place.epoch().compareTo(seen) <= 0
                && (!voter || (place.epoch().equals(seen) && !seen.equals(Epoch.NONE)))
                && accepted.compareTo(promised) <= 0;
    }

    /** Highest slot of {@code seen} accepted in or known to be decided. */
    long mark() {
        return accepted.equals(Ballot.NONE) ? place.slot() : place.slot() + 1;
    }

    /** Another epoch is newer: this peer has no vote in it yet. */
    Memory see(Epoch epoch) {
        return epoch.compareTo(seen) <= 0 ? this : unvoted(epoch, false, place, value);
    }

    /** Learns a decided slot, newer than the one known. */
    Memory learn(Place newer, byte[] decided) {
        Memory m = see(newer.epoch());
        return unvoted(m.seen, m.voter, newer, decided);
    }

    /** Votes from now on, on the slot after the newest decided one. */
    Memory join() {
        return unvoted(seen, true, place, value);
    }

    Memory promise(Ballot ballot) {
        return ballot.equals(promised) ? this : new Memory(seen, voter, place, value, ballot, accepted, acceptedValue);
    }

    Memory accept(Ballot ballot, byte[] chosen) {
        return ballot.equals(accepted) ? this : new Memory(seen, voter, place, value, ballot, ballot, chosen);
    }
}
