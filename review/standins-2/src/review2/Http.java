package review2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** A message; the body is null if it is left to the caller. */
    static final class Message {
        String startLine;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String target() {
            return startLine.split(" ")[1];
        }
    }

    /** Reads a head; null at a clean end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = line;
        for (line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message with a body of known length or in chunks; null at a clean end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message);
        }
        return message;
    }

    static byte[] readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.field("Transfer-Encoding"))) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
                body.write(readFully(in, size));
                readLine(in, false);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = message.field("Content-Length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end after " + bytes.length + " of " + length + " bytes of the body");
        }
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (mayEnd && line.length() == 0) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            if (next == '\n') {
                return line.length() > 0 && line.charAt(line.length() - 1) == '\r'
                        ? line.substring(0, line.length() - 1)
                        : line.toString();
            }
            line.append((char) next);
        }
    }
}
