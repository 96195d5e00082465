package calicochute.outcomes;

import java.util.Set;

/** Carries message bodies between balancers; it may lose, repeat, delay and reorder them. */
public interface Transport {
    /** Sends a body of at most {@link Limits#maxBodyBytes} bytes to one peer. */
    void send(String peer, byte[] body);

    /**
     * Sends a body to all peers, which keep the greatest version of each key of this origin. A body is useful for about
     * ten windows; after that the transport may drop it.
     */
    void broadcast(String key, long version, byte[] body);

    /** The ids of the live peers, with or without this balancer. */
    Set<String> live();
}
