package calicochute.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One HTTP/1.1 message as it stood on a socket: its head's text and its body's bytes. */
record Http(String head, byte[] body) {
    /** Reads one message; null at the end of input. */
    static Http read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String length = new Http(text, null).header("Content-Length");
        if ("chunked".equalsIgnoreCase(new Http(text, null).header("Transfer-Encoding"))) {
            return new Http(text, chunks(in));
        }
        return new Http(text, in.readNBytes(length == null ? 0 : Integer.parseInt(length)));
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).replaceFirst(";.*", ""), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new IOException("cut short after " + (body.size() + chunk.length) + " bytes");
            }
            body.write(chunk);
            String end = line(in);
            while (size == 0 && !end.isEmpty()) {
                end = line(in);
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (!line.toString().endsWith("\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("cut short");
            }
            line.append((char) b);
        }
        return line.substring(0, line.length() - 2);
    }

    static byte[] message(String head, byte[] body) {
        byte[] start = (head + (head.startsWith("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] answer(int status, String fields, String body) {
        return message("HTTP/1.1 " + status + " x\r\n" + fields, body.getBytes(StandardCharsets.UTF_8));
    }

    String firstLine() {
        return head.substring(0, head.indexOf('\r'));
    }

    int status() {
        return Integer.parseInt(head.split(" ")[1]);
    }

    String header(String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }
}
