/**
 * The decisions of the load balancer: which requests are admitted, which backend gets each attempt, and when a failed
 * attempt is retried.
 *
 * <p>The package does no I/O, reads no clock and starts no threads. A host passes settings and events to
 * {@link calicochute.decision.Balancer} and carries out the {@link calicochute.decision.Balancer.Actions} that it
 * calls.
 */
package calicochute.decision;
