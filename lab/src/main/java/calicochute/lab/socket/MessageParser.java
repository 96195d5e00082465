package calicochute.lab.socket;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Cuts the bytes of one direction of a connection into messages (RFC 9112 with lengths; balancers send no chunks to
 * backend servers). A state machine without I/O: bytes and times go in, whole messages come out, and what can't be read
 * ends it.
 */
final class MessageParser {
    private static final int LONGEST_HEAD = 1 << 16;
    private static final int LONGEST_BODY = 1 << 22;
    private byte[] held = new byte[1024];
    private int length;
    private long firstByteAt;
    private int headEnd = -1;
    private int searched;
    private int bodyLength;
    private String startLine;
    private Map<String, String> fields;

    /** What it can't read, in plain words. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String why) {
            super(why);
        }
    }

    /** Whether bytes of a message have come that is not whole yet. */
    boolean begun() {
        return length > 0;
    }

    void feed(byte[] bytes, int count, long now, Consumer<HttpMessage> whole) throws Unreadable {
        if (length == 0) {
            firstByteAt = now;
        }
        if (length + count > held.length) {
            held = Arrays.copyOf(held, Math.max(length + count, held.length * 2));
        }
        System.arraycopy(bytes, 0, held, length, count);
        length += count;
        while (length > 0) {
            if (headEnd < 0 && !head()) {
                if (length > LONGEST_HEAD) {
                    throw new Unreadable("a head without end");
                }
                return;
            }
            int end = headEnd + bodyLength;
            if (length < end) {
                return;
            }
            whole.accept(new HttpMessage(startLine, fields, Arrays.copyOfRange(held, headEnd, end), firstByteAt, now));
            System.arraycopy(held, end, held, 0, length - end);
            length -= end;
            headEnd = -1;
            searched = 0;
            firstByteAt = now;
        }
    }

    /** Reads the head if its end has come. */
    private boolean head() throws Unreadable {
        for (int i = Math.max(3, searched); i < length; i++) {
            if (held[i] == '\n' && held[i - 1] == '\r' && held[i - 2] == '\n' && held[i - 3] == '\r') {
                parse(new String(held, 0, i + 1, StandardCharsets.ISO_8859_1));
                headEnd = i + 1;
                return true;
            }
        }
        searched = length;
        return false;
    }

    private void parse(String head) throws Unreadable {
        String[] lines = head.split("\r\n");
        startLine = lines[0];
        if (!startLine.contains("HTTP/1.")) {
            throw new Unreadable("not HTTP: " + startLine.substring(0, Math.min(40, startLine.length())));
        }
        fields = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new Unreadable("a field without a name");
            }
            fields.putIfAbsent(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        String said = fields.get("content-length");
        try {
            bodyLength = said == null ? 0 : Integer.parseInt(said);
        } catch (NumberFormatException e) {
            bodyLength = -1;
        }
        if (bodyLength < 0 || bodyLength > LONGEST_BODY || fields.containsKey("transfer-encoding")) {
            throw new Unreadable("a length that can't be used");
        }
    }
}
