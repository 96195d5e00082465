package calicochute.connection;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.exchange.Body;
import calicochute.exchange.ByteBudget;
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
    /** A channel that accepts all bytes and sends none. */
    private static final class StalledChannel extends EndpointDetails implements DataStreamChannel {
        long sent;

        StalledChannel() {
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
     * Guards against treating a request as not written, and so as safe to repeat, when the connection broke after all
     * bytes of its body were sent but before the end of the body was reported.
     */
    @Test
    public void requestCountsAsWrittenOnceAllBytesOfKnownLengthAreSent() throws Exception {
        long headBytes = "POST / HTTP/1.1\r\n\r\n".length();
        for (long missingBytes : new long[] {1, 0}) {
            Pipe body = new Pipe();
            body.put(ByteBuffer.allocate(1000));
            List<CallResult> results = new ArrayList<>();
            Call call = new Call(
                    new BasicHttpRequest("POST", "/"),
                    new Body.Streamed(body, 1000),
                    Call.Limits.streamed(8192, new ByteBudget(0).newShare()),
                    results::add);
            StalledChannel connection = new StalledChannel();
            call.attach(connection);
            call.produce(connection);
            connection.sent = headBytes + 1000 - missingBytes;
            call.failed(new IOException("reset"));
            assertEquals(missingBytes == 0, results.get(0).requestWritten());
        }
    }

    /**
     * Guards against repeating a call without the start of its body: the server closed a kept-alive connection just as
     * the first bytes were taken from the pipe, so none was sent but they are lost.
     */
    @Test
    public void requestCountsAsStartedOnceItsBodyWasRead() throws Exception {
        Pipe body = new Pipe();
        body.put(ByteBuffer.allocate(100));
        List<CallResult> results = new ArrayList<>();
        Call call = new Call(
                new BasicHttpRequest("POST", "/"),
                new Body.Streamed(body, 1000),
                Call.Limits.streamed(8192, new ByteBudget(0).newShare()),
                results::add);
        StalledChannel connection = new StalledChannel();
        call.attach(connection);
        call.produce(connection);
        call.failed(new IOException("reset"));
        assertTrue(body.bufferedBytes() == 0
                && results.size() == 1
                && results.get(0).requestStarted());
    }
}
