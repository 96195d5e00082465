package calicochute.framing;

import calicochute.settings.Bounds;
import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses message heads and rejects truncated and long ones. At the end of a connection HttpCore treats the part of a
 * head that was received as all of it; a status line alone would become a 200 with an empty body. HttpCore bounds the
 * lines of a head and their number, but not the head.
 *
 * @param <T> type of the head
 */
public final class CompleteHeadParser<T extends MessageHeaders> implements NHttpMessageParser<T> {
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
        return head;
    }
}
