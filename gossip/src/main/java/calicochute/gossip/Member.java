package calicochute.gossip;

/**
 * One line of the operator's list of peers: the balancer's name, and where its datagrams go (read by the binder only).
 */
public record Member(String id, String address) {}
