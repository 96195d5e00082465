package calicochute.lab.socket;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Splits the bytes of one direction of a connection into HTTP/1.1 messages (RFC 9112). Bodies need a Content-Length;
 * chunked ones are rejected, since balancers send none to backend servers. The parser does no I/O: it takes bytes and
 * the time at which they were read, passes on complete messages, and is unusable after a malformed one.
 */
final class MessageParser {
    private static final int MAX_HEAD_BYTES = 1 << 16;
    private static final int MAX_BODY_BYTES = 1 << 22;
    private byte[] buffer = new byte[1024];
    private int length;
    private long firstByteAt;
    private int headEnd = -1;
    private int searched;
    private int bodyLength;
    private String startLine;
    private Map<String, String> fields;

    /** Thrown for bytes that are no valid message; its text says why. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String reason) {
            super(reason);
        }
    }

    /** Whether some but not all bytes of a message have been read. */
    boolean hasPartialMessage() {
        return length > 0;
    }

    /** Takes {@code count} bytes read at {@code now}, and passes each message that is complete to {@code completed}. */
    void feed(byte[] bytes, int count, long now, Consumer<HttpMessage> completed) throws MalformedMessageException {
        if (length == 0) {
            firstByteAt = now;
        }
        if (length + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + count, buffer.length * 2));
        }
        System.arraycopy(bytes, 0, buffer, length, count);
        length += count;
        while (length > 0) {
            if (headEnd < 0 && !findHead()) {
                if (length > MAX_HEAD_BYTES) {
                    throw new MalformedMessageException("message head is too long");
                }
                return;
            }
            int end = headEnd + bodyLength;
            if (length < end) {
                return;
            }
            completed.accept(
                    new HttpMessage(startLine, fields, Arrays.copyOfRange(buffer, headEnd, end), firstByteAt, now));
            System.arraycopy(buffer, end, buffer, 0, length - end);
            length -= end;
            headEnd = -1;
            searched = 0;
            firstByteAt = now;
        }
    }

    /** Parses the head if all of it has been read; false if it has not. */
    private boolean findHead() throws MalformedMessageException {
        for (int i = Math.max(3, searched); i < length; i++) {
            if (buffer[i] == '\n' && buffer[i - 1] == '\r' && buffer[i - 2] == '\n' && buffer[i - 3] == '\r') {
                parseHead(new String(buffer, 0, i + 1, StandardCharsets.ISO_8859_1));
                headEnd = i + 1;
                return true;
            }
        }
        searched = length;
        return false;
    }

    private void parseHead(String head) throws MalformedMessageException {
        String[] lines = head.split("\r\n");
        startLine = lines[0];
        if (!startLine.contains("HTTP/1.")) {
            throw new MalformedMessageException(
                    "start line is not HTTP/1.x: " + startLine.substring(0, Math.min(40, startLine.length())));
        }
        fields = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new MalformedMessageException("header field has no name");
            }
            fields.putIfAbsent(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        String contentLength = fields.get("content-length");
        try {
            bodyLength = contentLength == null ? 0 : Integer.parseInt(contentLength);
        } catch (NumberFormatException e) {
            bodyLength = -1;
        }
        if (bodyLength < 0 || bodyLength > MAX_BODY_BYTES || fields.containsKey("transfer-encoding")) {
            throw new MalformedMessageException(
                    "Content-Length is invalid or too large, or Transfer-Encoding is present");
        }
    }
}
