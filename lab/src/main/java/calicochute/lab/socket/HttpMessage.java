package calicochute.lab.socket;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One HTTP/1.1 message as it came off a socket, with the Unix times in microseconds at which its first and its last
 * byte were read. Field names are in lower case; of a field given twice the first counts.
 */
public record HttpMessage(
        String startLine, Map<String, String> fields, byte[] body, long firstByteAt, long lastByteAt) {
    public String field(String name) {
        return fields.get(name);
    }

    /** The status of an answer; -1 if the line is none of an answer. */
    public int status() {
        String[] parts = startLine.split(" ", 3);
        return parts.length >= 2 && parts[1].length() == 3 && parts[1].chars().allMatch(c -> c >= '0' && c <= '9')
                ? Integer.parseInt(parts[1])
                : -1;
    }

    /** The path and query of a request. */
    public String target() {
        String[] parts = startLine.split(" ", 3);
        return parts.length >= 2 ? parts[1] : "";
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** The bytes of a message: its start line, its fields (each ending in CR LF) and its body with its length. */
    public static byte[] bytes(String startLine, String fields, byte[] body) {
        byte[] head = (startLine + "\r\n" + fields
                        + (startLine.startsWith("GET ") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    public static byte[] answer(int status, String fields, byte[] body) {
        return bytes("HTTP/1.1 " + status + " -", fields, body);
    }
}
