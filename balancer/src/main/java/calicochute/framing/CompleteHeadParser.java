package calicochute.framing;

import calicochute.settings.Bounds;
import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses message heads and rejects truncated and long ones. At the end of a connection HttpCore treats the part of a
 * head that was received as all of it; a status line alone would become a 200 with an empty body. HttpCore bounds the
 * lines of a head and their number, but not the head, and keeps each line as characters of two bytes; here the fields
 * of a head become strings, which are parsed once and have one byte a character.
 *
 * @param <T> type of the head
 */
public final class CompleteHeadParser<T extends HttpMessage> implements NHttpMessageParser<T> {
    private final NHttpMessageParser<T> parser;
    /** Part of a head was received, but not its end. */
    private boolean headStarted;
    /** Bytes of the current head that were parsed. */
    private int headBytes;

    public CompleteHeadParser(NHttpMessageParser<T> parser) {
        this.parser = parser;
    }

    @Override
    public void reset() {
        headStarted = false;
        headBytes = 0;
        parser.reset();
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        headStarted |= buffer.hasData();
        int bytesBefore = buffer.length();
        T head = parser.parse(buffer, false);
        headBytes += bytesBefore - buffer.length();
        if (headBytes > Bounds.MAX_HEAD_BYTES) {
            throw new MessageConstraintException("head over " + Bounds.MAX_HEAD_BYTES + " bytes");
        }
        if (head == null && endOfStream && headStarted) {
            throw new ConnectionClosedException("truncated message head");
        }
        headStarted &= head == null;
        if (head != null) {
            keepFieldsAsStrings(head);
        }
        return head;
    }

    private static void keepFieldsAsStrings(HttpMessage head) {
        Header[] fields = head.getHeaders();
        for (int i = 0; i < fields.length; i++) {
            fields[i] = new BasicHeader(fields[i].getName(), fields[i].getValue());
        }
        head.setHeaders(fields);
    }
}
