package calicochute.lab.evenness;

/**
 * One dispatch to a server of a tier: when it came (microseconds), from which balancer and to which server, both by
 * number; {@code first}: the balancer had not sent that request before.
 */
public record Dispatch(long at, int balancer, int server, boolean first) {}
