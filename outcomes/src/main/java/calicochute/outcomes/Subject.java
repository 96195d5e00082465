package calicochute.outcomes;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * What outcomes are counted by.
 *
 * @param server the backend server's id
 * @param startedAt when it started, as discovery says: after a restart it is another subject
 * @param lane the class of the request
 * @param arm the arm of the experiment that the session is in; "" where it is in none
 */
public record Subject(String server, long startedAt, String lane, String arm) {
    public Subject {
        if (server == null || lane == null || arm == null) {
            throw new IllegalArgumentException("a subject without a name");
        }
    }

    /**
     * What stands for it in a datagram (64 bits): ids may be 64 characters long, and both sides know them from lists
     * and settings.
     */
    public long hash() {
        byte[] text = (server.length() + ":" + server + startedAt + ":" + lane.length() + ":" + lane + arm)
                .getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(text, 0, text.length, 0)[0];
    }
}
