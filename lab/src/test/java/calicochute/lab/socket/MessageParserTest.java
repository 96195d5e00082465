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
    private static final byte[] TWO_MESSAGES = concat(
            HttpMessage.encode("POST /api?n=1 HTTP/1.1", "X-Txn: 1\r\nx-txn: 2\r\n", "a\r\n\r\nb".getBytes()),
            HttpMessage.encode("GET /api HTTP/1.1", "Host: a\r\n", new byte[0]));

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    /** However the bytes are split into reads, the parser yields the same messages, with the times of their bytes. */
    @Property(tries = 300)
    void messagesDoNotDependOnHowBytesAreSplit(
            @ForAll @Size(max = 8) List<@IntRange(min = 0, max = 200) Integer> splits) throws Exception {
        List<Integer> ends = new ArrayList<>(
                splits.stream().map(c -> c % TWO_MESSAGES.length).sorted().toList());
        ends.add(TWO_MESSAGES.length);
        MessageParser parser = new MessageParser();
        List<HttpMessage> messages = new ArrayList<>();
        int from = 0;
        for (int to : ends) {
            parser.feed(Arrays.copyOfRange(TWO_MESSAGES, from, to), to - from, to, messages::add);
            from = to;
        }
        assertEquals(2, messages.size());
        assertEquals("/api?n=1", messages.get(0).target());
        assertEquals("1", messages.get(0).field("x-txn"));
        assertEquals("a\r\n\r\nb", messages.get(0).text());
        assertEquals("/api", messages.get(1).target());
        assertEquals(TWO_MESSAGES.length, messages.get(1).lastByteAt());
        assertTrue(messages.get(1).firstByteAt() <= messages.get(1).lastByteAt());
        assertFalse(parser.hasPartialMessage());
    }

    @Test
    void malformedMessagesAreRejected() {
        for (String malformed : List.of(
                "noise\r\n\r\n",
                "GET / HTTP/1.1\r\nno colon\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 -\r\nContent-Length: 99999999999\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "a".repeat(70_000))) {
            byte[] bytes = malformed.getBytes(StandardCharsets.ISO_8859_1);
            assertThrows(
                    MessageParser.MalformedMessageException.class,
                    () -> new MessageParser().feed(bytes, bytes.length, 0, m -> {}),
                    malformed.substring(0, 8));
        }
    }
}
