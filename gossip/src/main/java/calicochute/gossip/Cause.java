package calicochute.gossip;

/** Why something was dropped. */
public enum Cause {
    /** A datagram longer than 1,200 bytes. */
    TOO_LONG,
    /** Not ours: no or another first number. */
    NOT_OURS,
    /** Bytes changed on the way. */
    CHECKSUM,
    VERSION,
    CLUSTER,
    MALFORMED,
    /** Not in the list of members. */
    UNKNOWN_SENDER,
    /** Sent by one of our own name: a twin, or a list in which a name has another's address. */
    OWN_NAME,
    /** An earlier start of a process than one already heard of. */
    START_WENT_BACK,
    /** A start or an `until` too far ahead. */
    CLOCK_OFF,
    /** A part of a kind that a later version may know. */
    UNKNOWN_PART,
    /** A rumour of, or an entry by, one not in the list. */
    UNKNOWN_MEMBER,
    /** An entry past its `until`. */
    EXPIRED,
    /** An entry of a version older than the newest known (a repetition of the newest is none). */
    OLD_VERSION,
    /** An entry over the bounds of size. */
    ENTRY_TOO_LONG,
    /** An entry over its author's share of the store. */
    QUOTA,
    /** An entry whose key has the hash of another key. */
    HASH_CLASH,
    /** Two bodies of one version: the greater is kept. */
    VERSION_CLASH,
    /** More waits for a peer than may. */
    OUTBOX_FULL,
    /** More indirect probes asked for than may be under way. */
    RELAYS_FULL,
    /** Repairs beyond their rate: the next digest asks again. */
    REPAIR_RATE
}
