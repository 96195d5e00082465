package calicochute.gossip;

/** One message in a datagram; a datagram carries any number of them. */
sealed interface Message {
    /** Asks the receiver for an {@link Ack} with the same sequence number. */
    record Ping(int sequence) implements Message {}

    record Ack(int sequence) implements Message {}

    /** Asks the receiver to ping the target, and to return its answer as an {@link IndirectAck} with this number. */
    record PingRequest(int sequence, String target) implements Message {}

    /** Tells the balancer that sent a {@link PingRequest} that the target has answered. */
    record IndirectAck(int sequence, String target) implements Message {}

    /** A claim about one member. */
    record MembershipUpdate(String id, long start, int incarnation, MemberState state) implements Message {}

    /** A message to the receiver only. */
    record DirectMessage(int channel, byte[] body) implements Message {}

    /**
     * A version of an entry.
     *
     * @param author null if the sender of the datagram is the author, which saves the bytes of its id
     * @param authorStart process start of the author; not used if the author is null
     * @param expiresAt wall clock microseconds
     */
    record EntryMessage(
            String author, long authorStart, int channel, String key, long version, long expiresAt, byte[] body)
            implements Message {}

    /**
     * Lists all entries that the sender holds with hashes from `lowHash` to `highHash`, both included.
     *
     * @param membershipHash hash of the sender's view of all members
     * @param summaries hash, fingerprint and version of each entry
     */
    record Digest(long lowHash, long highHash, int membershipHash, byte[] summaries) implements Message {}

    /**
     * The sender's view of all members.
     *
     * @param listHash hash of the sender's member list
     * @param replyRequested whether the receiver has to send its own view in return
     * @param fingerprints one byte for each member, in the order of the list
     */
    record MembershipDigest(int listHash, int salt, boolean replyRequested, byte[] fingerprints) implements Message {}

    /** Asks the receiver for entries by their hashes, six bytes each. */
    record Pull(byte[] hashes) implements Message {}
}
