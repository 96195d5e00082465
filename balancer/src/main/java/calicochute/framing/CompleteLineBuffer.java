package calicochute.framing;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * An input buffer that returns only complete lines. At the end of a connection HttpCore treats a partial line as a
 * complete one, and a chunk size that was cut after a leading zero as the last chunk, so a truncated message would pass
 * as a complete one.
 */
public final class CompleteLineBuffer implements SessionInputBuffer {
    private final SessionInputBuffer buffer;

    public CompleteLineBuffer(SessionInputBuffer buffer) {
        this.buffer = buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean complete = buffer.readLine(line, false);
        if (!complete && endOfStream) {
            throw new ConnectionClosedException("truncated message");
        }
        return complete;
    }

    @Override
    public boolean hasData() {
        return buffer.hasData();
    }

    @Override
    public int length() {
        return buffer.length();
    }

    @Override
    public int fill(ReadableByteChannel source) throws IOException {
        return buffer.fill(source);
    }

    @Override
    public int read() {
        return buffer.read();
    }

    @Override
    public int read(ByteBuffer target, int maxBytes) {
        return buffer.read(target, maxBytes);
    }

    @Override
    public int read(ByteBuffer target) {
        return buffer.read(target);
    }

    @Override
    public int read(WritableByteChannel target, int maxBytes) throws IOException {
        return buffer.read(target, maxBytes);
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return buffer.read(target);
    }
}
