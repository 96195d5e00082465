package calicochute.gossip;

/**
 * State of a member. Of two claims with equal start and incarnation, the one with the later constant wins; ordinals are
 * sent in datagrams.
 */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD
}
