package calicochute.experiment.seal;

/** What peers say to each other. Lives are starts of processes in microseconds. */
sealed interface Message {
    /** From a peer that does not vote: who are you, how far have you voted? */
    record Ask(long life) implements Message {}

    /**
     * To an ask of the process that began at {@code toLife}.
     *
     * @param mark highest slot of {@code seen} that this voter accepted in or knows decided; 0 from one that does not
     *     vote
     */
    record Answer(long toLife, long life, boolean voter, Epoch seen, long mark, Place place) implements Message {}

    /**
     * Will you come along into this new epoch, that goes on after base? Only to the process that began at
     * {@code toLife}.
     */
    record Form(Epoch epoch, long toLife, Place base) implements Message {}

    /** Yes; {@code voter}: I could still vote in the old one. */
    record Commit(Epoch epoch, boolean voter) implements Message {}

    /** Phase 1 of slot {@code place}; the sender knows the slot before. */
    record Prepare(Place place, Ballot ballot) implements Message {}

    /** No lower ballot any more; what was accepted so far ({@link Ballot#NONE}: nothing). */
    record Promise(Place place, Ballot ballot, Ballot accepted, byte[] value) implements Message {}

    /** Phase 2. */
    record Accept(Place place, Ballot ballot, byte[] value) implements Message {}

    record Accepted(Place place, Ballot ballot) implements Message {}

    /** A higher ballot was promised. */
    record Refused(Place place, Ballot ballot, Ballot promised) implements Message {}

    /** This place is decided; by this ballot where it is told. Who accepted in it knows the value. */
    record Known(Place place, Ballot ballot) implements Message {}

    /** I stand here; send what is newer. */
    record Want(Place place) implements Message {}

    /** The decided value of a place. */
    record Value(Place place, byte[] value) implements Message {}
}
