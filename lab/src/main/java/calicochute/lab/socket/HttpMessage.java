package calicochute.lab.socket;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One HTTP/1.1 message as read from a socket, with the Unix times in microseconds at which its first and its last byte
 * were read. Names of header fields are in lower case; if a field occurs twice, the first value is kept.
 */
public record HttpMessage(
        String startLine, Map<String, String> fields, byte[] body, long firstByteAt, long lastByteAt) {
    /** The value of a header field, whose name is given in lower case; null if there is none. */
    public String field(String name) {
        return fields.get(name);
    }

    /** The status code of a response; -1 if the start line is not a valid status line. */
    public int status() {
        String[] parts = startLine.split(" ", 3);
        return parts.length >= 2
                        && parts[1].length() == 3
                        && parts[1].chars().allMatch(digit -> digit >= '0' && digit <= '9')
                ? Integer.parseInt(parts[1])
                : -1;
    }

    /** The request target: path and query of a request. */
    public String target() {
        String[] parts = startLine.split(" ", 3);
        return parts.length >= 2 ? parts[1] : "";
    }

    /** The body as ISO-8859-1 text. */
    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /**
     * The bytes of a message. Each of the given header fields ends in CR LF; Content-Length is added unless the message
     * is a GET request.
     */
    public static byte[] encode(String startLine, String fields, byte[] body) {
        byte[] head = (startLine + "\r\n" + fields
                        + (startLine.startsWith("GET ") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        return message;
    }

    /** The bytes of a response; each of the given header fields ends in CR LF. */
    public static byte[] response(int status, String fields, byte[] body) {
        return encode("HTTP/1.1 " + status + " -", fields, body);
    }
}
