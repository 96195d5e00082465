package calicochute.experiment.seal;

/** Why a message or a kept state was not taken. */
public enum RejectReason {
    /** Ends too early. */
    TRUNCATED,
    /** Of another version. */
    VERSION,
    /** No such kind of message. */
    UNKNOWN_KIND,
    /** Of another experiment. */
    EXPERIMENT,
    /** The experiment is defined otherwise there. */
    DEFINITION,
    /** The list of peers is another there. */
    PEERS,
    /** A number out of bounds. */
    OUT_OF_RANGE,
    /** Goes on after its end. */
    TRAILING_BYTES,
    /** Checksum of a kept state is wrong. */
    CHECKSUM,
    /** Sent by none of the peers. */
    UNKNOWN_SENDER,
    /** Too many messages wait for the state to be kept: the oldest were dropped. */
    QUEUE_FULL
}
