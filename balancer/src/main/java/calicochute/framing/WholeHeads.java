package calicochute.framing;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Reads heads to their blank line and not to the connection's end. Guards against a head cut short: told of the end,
 * HttpCore takes what has come for all of it, and a status line alone for a 200 with an empty body.
 *
 * @param <T> the head
 */
public final class WholeHeads<T extends MessageHeaders> implements NHttpMessageParser<T> {
    private final NHttpMessageParser<T> parser;
    /** Some of a head has come, and not its end. */
    private boolean midway;

    public WholeHeads(NHttpMessageParser<T> parser) {
        this.parser = parser;
    }

    @Override
    public void reset() {
        midway = false;
        parser.reset();
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        midway |= buffer.hasData();
        T head = parser.parse(buffer, false);
        if (head == null && endOfStream && midway) {
            throw new ConnectionClosedException("message cut short in its head");
        }
        midway &= head == null;
        return head;
    }
}
