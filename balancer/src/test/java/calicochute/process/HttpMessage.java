package calicochute.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP/1.1 message: the text of its head, as read from a socket, and its decoded body. */
record HttpMessage(String head, byte[] body) {
    /** Reads one message; returns null if the input ends within the head. */
    static HttpMessage read(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String end = "\r\n\r\n";
        for (int matched = 0; matched < end.length(); ) {
            int octet = input.read();
            if (octet < 0) {
                return null;
            }
            head.write(octet);
            matched = octet == end.charAt(matched) ? matched + 1 : octet == '\r' ? 1 : 0;
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String length = new HttpMessage(text, null).header("Content-Length");
        if ("chunked".equalsIgnoreCase(new HttpMessage(text, null).header("Transfer-Encoding"))) {
            return new HttpMessage(text, readChunkedBody(input));
        }
        return new HttpMessage(text, input.readNBytes(length == null ? 0 : Integer.parseInt(length)));
    }

    private static byte[] readChunkedBody(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(input).replaceFirst(";.*", ""), 16);
            byte[] chunk = input.readNBytes(size);
            if (chunk.length < size) {
                throw new IOException("body ended after " + (body.size() + chunk.length) + " bytes");
            }
            body.write(chunk);
            String end = readLine(input);
            while (size == 0 && !end.isEmpty()) {
                end = readLine(input);
            }
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (!line.toString().endsWith("\r\n")) {
            int octet = input.read();
            if (octet < 0) {
                throw new IOException("input ended within a line");
            }
            line.append((char) octet);
        }
        return line.substring(0, line.length() - 2);
    }

    /**
     * Returns the bytes of a message; {@code head} ends with CRLF, and Content-Length is added unless the method is
     * GET.
     */
    static byte[] encode(String head, byte[] body) {
        byte[] start = (head + (head.startsWith("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] response(int status, String fields, String body) {
        return encode("HTTP/1.1 " + status + " x\r\n" + fields, body.getBytes(StandardCharsets.UTF_8));
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
