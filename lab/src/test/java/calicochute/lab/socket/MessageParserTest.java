package calicochute.lab.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class MessageParserTest {
    private static final byte[] TWO = concat(
            HttpMessage.bytes("POST /api?n=1 HTTP/1.1", "X-Txn: 1\r\nx-txn: 2\r\n", "a\r\n\r\nb".getBytes()),
            HttpMessage.bytes("GET /api HTTP/1.1", "Host: a\r\n", new byte[0]));

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] both = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, both, a.length, b.length);
        return both;
    }

    /** Wherever the network cuts the bytes, the same messages come out, with the times of their first and last byte. */
    @Property(tries = 300)
    void cutsDoNotMatter(@ForAll @Size(max = 8) List<@IntRange(min = 0, max = 200) Integer> cuts) throws Exception {
        List<Integer> at =
                new ArrayList<>(cuts.stream().map(c -> c % TWO.length).sorted().toList());
        at.add(TWO.length);
        MessageParser parser = new MessageParser();
        List<HttpMessage> found = new ArrayList<>();
        int from = 0;
        for (int to : at) {
            parser.feed(Arrays.copyOfRange(TWO, from, to), to - from, to, found::add);
            from = to;
        }
        assertEquals(2, found.size());
        assertEquals("/api?n=1", found.get(0).target());
        assertEquals("1", found.get(0).field("x-txn"));
        assertEquals("a\r\n\r\nb", found.get(0).text());
        assertEquals("/api", found.get(1).target());
        assertEquals(TWO.length, found.get(1).lastByteAt());
        assertTrue(found.get(1).firstByteAt() <= found.get(1).lastByteAt());
        assertFalse(parser.begun());
    }

    @Test
    void whatCannotBeReadIsSaidSo() {
        for (String bad : List.of(
                "noise\r\n\r\n",
                "GET / HTTP/1.1\r\nno colon\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: 99999999999\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "a".repeat(70_000))) {
            byte[] bytes = bad.getBytes(StandardCharsets.ISO_8859_1);
            assertThrows(
                    MessageParser.Unreadable.class,
                    () -> new MessageParser().feed(bytes, bytes.length, 0, m -> {}),
                    bad.substring(0, 8));
        }
    }
}
