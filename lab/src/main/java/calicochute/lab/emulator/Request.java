package calicochute.lab.emulator;

import calicochute.lab.plan.BalancerSpec;

/** One request under an id of its own, from a client or from a server that calls on, and the root it belongs to. */
record Request(String id, Root root, int tier, BalancerSpec balancer) {}
