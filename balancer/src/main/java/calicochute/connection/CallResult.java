package calicochute.connection;

import org.apache.hc.core5.http.HttpResponse;

/**
 * Result of one call. {@code response} is null if no complete response was received; {@code requestStarted}: at least
 * one byte of the request was passed to the operating system; {@code requestWritten}: so was the last byte.
 */
public record CallResult(
        HttpResponse response,
        byte[] body,
        boolean requestStarted,
        boolean requestWritten,
        boolean connectionReusable) {
    /** The HTTP status, or 0 without a response. */
    public int status() {
        return response == null ? 0 : response.getCode();
    }

    /** The value of a response header, or null. */
    public String header(String name) {
        return response == null || response.getFirstHeader(name) == null
                ? null
                : response.getFirstHeader(name).getValue();
    }
}
