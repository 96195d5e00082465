package calicochute.lab.evenness;

/**
 * A dispatch to a server of a tier.
 *
 * @param balancer the index of the balancer that sent it
 * @param server the index of the server within the tier
 * @param firstAttempt whether it is the balancer's first dispatch of the request
 */
public record Dispatch(long atMicros, int balancer, int server, boolean firstAttempt) {}
