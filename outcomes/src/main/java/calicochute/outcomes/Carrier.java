package calicochute.outcomes;

import java.util.Set;

/** What carries bodies between balancers: may lose, repeat, delay and reorder them. */
public interface Carrier {
    /** To one peer; at most {@link Limits#body} bytes. */
    void direct(String peer, byte[] body);

    /**
     * To all peers: of a key (of this origin) the greatest version is the one to hold. Useful for about ten windows,
     * then it may be forgotten.
     */
    void spread(String key, long version, byte[] body);

    /** The peers that are there, with or without this one. */
    Set<String> live();
}
