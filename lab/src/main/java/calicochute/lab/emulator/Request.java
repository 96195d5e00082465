package calicochute.lab.emulator;

import calicochute.lab.plan.BalancerSpec;

/**
 * One request to a balancer under an id of its own, from a client or from a server that calls the next tier.
 *
 * @param clientRequest the client's request that it belongs to
 */
record Request(String id, ClientRequest clientRequest, int tier, BalancerSpec balancer) {}
