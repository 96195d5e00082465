package calicochute.experiment.seal;

/** Why a message or a persisted state was rejected. */
public enum RejectReason {
    /** The bytes end too early. */
    TRUNCATED,
    /** The version is not supported. */
    VERSION,
    /** The kind of message is unknown. */
    UNKNOWN_KIND,
    /** It belongs to another experiment. */
    EXPERIMENT,
    /** The sender has another definition of the experiment. */
    DEFINITION,
    /** The sender has another list of peers. */
    PEERS,
    /** A number is out of range. */
    OUT_OF_RANGE,
    /** There are bytes after the end. */
    TRAILING_BYTES,
    /** The checksum of a persisted state is wrong. */
    CHECKSUM,
    /** The sender is not a configured peer. */
    UNKNOWN_SENDER,
    /** The oldest outgoing messages were dropped, because too many waited for the state to be persisted. */
    QUEUE_FULL
}
