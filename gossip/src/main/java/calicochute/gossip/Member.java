package calicochute.gossip;

/**
 * One entry of the operator's list of balancers.
 *
 * @param id unique name of the balancer
 * @param address destination of its datagrams; not used inside this package
 */
public record Member(String id, String address) {}
