/**
 * The exchange between the balancers of a fleet: datagrams, shared outcomes, estimates for the decision module and
 * split experiments.
 */
package calicochute.fleet;
