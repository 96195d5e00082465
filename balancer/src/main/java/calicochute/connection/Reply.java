package calicochute.connection;

import org.apache.hc.core5.http.HttpResponse;

/**
 * How one call on a connection ended. {@code response} is null if none came whole. {@code written}: the call's last
 * byte was handed to the network. {@code begun}: at least one byte was.
 */
public record Reply(HttpResponse response, byte[] body, boolean begun, boolean written, boolean reusable) {
    public int status() {
        return response == null ? 0 : response.getCode();
    }

    /** A header of the response, or null. */
    public String header(String name) {
        return response == null || response.getFirstHeader(name) == null
                ? null
                : response.getFirstHeader(name).getValue();
    }
}
