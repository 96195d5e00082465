package calicochute.gossip;

/**
 * What is thought of a member. The order counts: of two claims about one start and incarnation the later in this order
 * wins.
 */
public enum State {
    ALIVE,
    SUSPECT,
    GONE
}
