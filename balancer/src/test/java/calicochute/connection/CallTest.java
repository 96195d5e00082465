package calicochute.connection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.exchange.Body;
import calicochute.exchange.Pipe;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.util.Timeout;
import org.junit.Test;

public class CallTest {
    /** A connection that never gets a byte out. */
    private static final class Stuck extends EndpointDetails implements DataStreamChannel {
        long sent;

        Stuck() {
            super(null, null, Timeout.DISABLED);
        }

        @Override
        public int write(ByteBuffer bytes) {
            int length = bytes.remaining();
            bytes.position(bytes.limit());
            return length;
        }

        @Override
        public long getSentBytesCount() {
            return sent;
        }

        @Override
        public long getReceivedBytesCount() {
            return 0;
        }

        @Override
        public long getRequestCount() {
            return 1;
        }

        @Override
        public long getResponseCount() {
            return 0;
        }

        @Override
        public void requestOutput() {
            throw new AssertionError("nothing more to write");
        }

        @Override
        public void endStream() {
            throw new AssertionError("not at its end");
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            endStream();
        }
    }

    /**
     * All bytes of a body of known length had been taken and written, but its end was not told yet, as the connection
     * broke. Held for not written, what may have run was taken for what has not.
     */
    @Test
    public void aCallIsWrittenWithItsLastByteThoughItsEndIsNotToldYet() throws Exception {
        long head = "POST / HTTP/1.1\r\n\r\n".length();
        for (long missing : new long[] {1, 0}) {
            Pipe body = new Pipe();
            body.put(ByteBuffer.allocate(1000));
            List<Reply> ends = new ArrayList<>();
            Call call = new Call(
                    new BasicHttpRequest("POST", "/"),
                    new Body.Streamed(body, 1000),
                    new Call.Limits(1000, 8192),
                    ends::add);
            Stuck connection = new Stuck();
            call.on(connection);
            call.produce(connection);
            connection.sent = head + 1000 - missing;
            call.failed(new IOException("reset"));
            assertEquals(missing == 0, ends.get(0).written());
        }
    }

    /**
     * The server ended a kept connection just as the first piece of a long body was taken for it: no byte went out, but
     * the piece is gone. Told as not begun, the call was made again on another connection without its first piece.
     */
    @Test
    public void aCallWhoseBodyWasTakenHasBegunThoughNoByteWentOut() throws Exception {
        Pipe body = new Pipe();
        body.put(ByteBuffer.allocate(100));
        List<Reply> ends = new ArrayList<>();
        Call call = new Call(
                new BasicHttpRequest("POST", "/"),
                new Body.Streamed(body, 1000),
                new Call.Limits(1000, 8192),
                ends::add);
        Stuck connection = new Stuck();
        call.on(connection);
        call.produce(connection);
        call.failed(new IOException("reset"));
        assertTrue(body.held() == 0 && ends.size() == 1 && ends.get(0).begun());
    }
}
