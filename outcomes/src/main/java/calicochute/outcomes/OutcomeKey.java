package calicochute.outcomes;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The key by which outcomes are counted.
 *
 * @param server the id of the backend server
 * @param startedAt when the server started, as discovery says; after a restart its outcomes have another key
 * @param requestClass the name of the request's class
 * @param arm the experiment arm of the session, or "" where it is in no experiment
 */
public record OutcomeKey(String server, long startedAt, String requestClass, String arm) {
    public OutcomeKey {
        if (server == null || requestClass == null || arm == null) {
            throw new IllegalArgumentException("outcome key lacks a server, a request class or an arm");
        }
    }

    /**
     * The 64-bit hash that stands for the key in a datagram. Ids may be 64 characters long, and both sides know them
     * from lists and settings.
     */
    public long hash() {
        byte[] text = (server.length() + ":" + server + startedAt + ":" + requestClass.length() + ":" + requestClass
                        + arm)
                .getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(text, 0, text.length, 0)[0];
    }
}
