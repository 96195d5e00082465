import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A small reader of HTTP/1.1 messages, for the stand-ins. Bodies are read whole. */
final class Http {
    /** One message: its first line, its header fields and its body. */
    static final class Message {
        final String firstLine;
        final List<String[]> fields = new ArrayList<>();
        byte[] body = new byte[0];

        Message(String firstLine) {
            this.firstLine = firstLine;
        }

        /** The first value of a field, or null. */
        String field(String name) {
            for (String[] field : fields) {
                if (field[0].equalsIgnoreCase(name)) {
                    return field[1];
                }
            }
            return null;
        }

        /** The second word of the first line: a request's target, a response's status. */
        String secondWord() {
            String[] words = firstLine.split(" ");
            return words.length > 1 ? words[1] : "";
        }

        int status() {
            try {
                return Integer.parseInt(secondWord());
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static BufferedInputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16384);
    }

    /** Reads a line; null at the end of the stream before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(80);
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (out.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut");
            }
            if (c == '\n') {
                String text = out.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            out.write(c);
        }
    }

    /** Reads a message head; null at the end of the stream before its first byte. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        for (String field = line(in); ; field = line(in)) {
            if (field == null) {
                throw new EOFException("a head is cut");
            }
            if (field.isEmpty()) {
                return message;
            }
            int colon = field.indexOf(':');
            message.fields.add(new String[] {
                field.substring(0, colon).trim(), field.substring(colon + 1).trim()
            });
        }
    }

    /** Reads a whole message; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        String length = message.field("Content-Length");
        String coding = message.field("Transfer-Encoding");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("a body is cut");
                }
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(exactly(in, bytes));
                if (bytes == 0) {
                    while (!line(in).isEmpty()) {
                        // Trailers are dropped.
                    }
                    break;
                }
                line(in);
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] all = in.readNBytes(bytes);
        if (all.length < bytes) {
            throw new EOFException("a body is cut");
        }
        return all;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
