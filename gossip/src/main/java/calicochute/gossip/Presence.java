package calicochute.gossip;

/** A member as seen here. Start 0: never heard of. */
public record Presence(String id, long start, State state) {}
