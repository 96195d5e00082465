package calicochute.gossip;

/**
 * Why a datagram, a message or an entry was dropped. The metric of a cause is its name in lower case with the prefix
 * "gossip_dropped_".
 */
public enum DropCause {
    /** Datagram longer than {@link Limits#MAX_DATAGRAM_BYTES}. */
    TOO_LONG,
    /** Datagram that does not begin with this protocol's magic number. */
    NOT_OURS,
    /** Datagram whose checksum does not match: its bytes changed on the way. */
    CHECKSUM,
    /** Datagram of another protocol version. */
    VERSION,
    /** Datagram of another cluster. */
    CLUSTER,
    /** Datagram or digest that is not well formed. */
    MALFORMED,
    /** Datagram whose sender is not in the list of members. */
    UNKNOWN_SENDER,
    /** Datagram with this balancer's id as sender: a second process with the id, or a list with a wrong address. */
    OWN_NAME,
    /** Datagram of an earlier process of the sender than the latest one heard of. */
    START_WENT_BACK,
    /** Process start or expiry time too far in the future. */
    CLOCK_OFF,
    /** Message of a kind unknown here, which a later version may have added. */
    UNKNOWN_PART,
    /** Message about, to or by a member that is not in the list, or a direct message to a dead member. */
    UNKNOWN_MEMBER,
    /** Entry past its expiry time. */
    EXPIRED,
    /** Entry older than the newest version known; a copy of the newest version is not counted. */
    OLD_VERSION,
    /** Entry or direct message over the limits of key, body or channel. */
    ENTRY_TOO_LONG,
    /** Entry that exceeds its author's share of the store. */
    QUOTA,
    /** Entry whose key has the same hash as another key. */
    HASH_CLASH,
    /** Second content for one version of an entry; the greater one is kept. */
    VERSION_CLASH,
    /** Message to a peer for which the limit of queued messages is reached. */
    OUTBOX_FULL,
    /** Request for an indirect probe while the limit of relayed probes is reached. */
    RELAYS_FULL,
    /** Entry not sent as a repair because of the rate limit; a later digest requests it again. */
    REPAIR_RATE
}
