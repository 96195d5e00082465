package calicochute.experiment.seal;

/** Why a message or a kept state was not taken. */
public enum Refusal {
    /** Ends too early. */
    SHORT,
    /** Of another version. */
    VERSION,
    /** No such kind of message. */
    KIND,
    /** Of another experiment. */
    EXPERIMENT,
    /** The experiment is defined otherwise there. */
    DEFINITION,
    /** The list of peers is another there. */
    PEERS,
    /** A number out of bounds. */
    BOUNDS,
    /** Goes on after its end. */
    TRAILING,
    /** Checksum of a kept state is wrong. */
    CHECKSUM,
    /** Sent by none of the peers. */
    SENDER,
    /** Too many messages wait for the state to be kept: the oldest were dropped. */
    WAITING
}
