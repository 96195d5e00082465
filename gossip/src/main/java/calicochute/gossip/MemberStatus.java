package calicochute.gossip;

/**
 * A member as this balancer sees it.
 *
 * @param start start time of its process in wall clock microseconds; 0 if it was never heard of
 */
public record MemberStatus(String id, long start, MemberState state) {}
