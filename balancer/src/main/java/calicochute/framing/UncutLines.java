package calicochute.framing;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * What has come on a connection, with its lines only where they have come whole. Guards against a message cut short
 * that is taken for a whole one: at the connection's end HttpCore takes what there is of a line for all of it, and a
 * chunk's size that was cut behind a leading zero for the last chunk.
 */
public final class UncutLines implements SessionInputBuffer {
    private final SessionInputBuffer buffer;

    public UncutLines(SessionInputBuffer buffer) {
        this.buffer = buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean whole = buffer.readLine(line, false);
        if (!whole && endOfStream) {
            throw new ConnectionClosedException("message cut short");
        }
        return whole;
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
    public int fill(ReadableByteChannel from) throws IOException {
        return buffer.fill(from);
    }

    @Override
    public int read() {
        return buffer.read();
    }

    @Override
    public int read(ByteBuffer to, int most) {
        return buffer.read(to, most);
    }

    @Override
    public int read(ByteBuffer to) {
        return buffer.read(to);
    }

    @Override
    public int read(WritableByteChannel to, int most) throws IOException {
        return buffer.read(to, most);
    }

    @Override
    public int read(WritableByteChannel to) throws IOException {
        return buffer.read(to);
    }
}
