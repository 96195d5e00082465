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
        return new Http(text, in.readNBytes(length == null ? 0 : Integer.parseInt(length)));
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
