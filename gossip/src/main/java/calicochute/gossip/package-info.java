/** Who of the fleet is there, and what travels between balancers: state machines without I/O, used on one thread. */
package calicochute.gossip;
