package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.Before;
import org.junit.Test;

/**
 * Guards against long responses that are cut because their client reads slowly (hundreds of readers at 64 kB a second),
 * and against clients that read nothing and stay.
 */
public class SlowReaderTest extends SingleServerFixture {
    private static final int RESPONSE_BYTES = 30_000_000;
    /** How long a client may leave a response unread, and the time for noticing it. */
    private static final long UNREAD_MS = 15_000;

    private static final long NOTICE_MS = 3_000;
    /** What the slowest reader reads in the time that a client may leave a response unread. */
    private static final long SLOWEST_READER_BYTES = 64 * UNREAD_MS;

    private static final long FILLING_MS = 1_000;
    private static final int HEXADECIMAL = 16;

    @Before
    public void respondAtLength() {
        byte[] body = new byte[RESPONSE_BYTES];
        server.script = r -> HttpMessage.encode("HTTP/1.1 200 OK\r\n", body);
    }

    private Socket request() throws Exception {
        Socket client = balancer.connect();
        client.getOutputStream().write(HttpMessage.encode(session(newSessionId(), "view"), new byte[0]));
        await("the response has begun", () -> balancer.counter("answers_in_pieces") > 0);
        return client;
    }

    /** Bytes in the send buffer of the balancer's side of a connection, as the system shows them. */
    private long unsentBytes(Socket client) throws IOException {
        String local = String.format(":%04X ", balancer.port);
        String remote = String.format(":%04X ", client.getLocalPort());
        for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            for (String line : Files.readAllLines(Path.of(table))) {
                if (line.contains(local) && line.contains(remote) && line.indexOf(local) < line.indexOf(remote)) {
                    return Long.parseLong(line.trim().split("\\s+")[4].split(":")[0], HEXADECIMAL);
                }
            }
        }
        throw new IOException("the system does not show the connection");
    }

    /**
     * The system takes further bytes only once a good part of a full buffer was read, which shows that a client reads.
     */
    @Test
    public void theSendBufferIsReadInTimeByTheSlowestReader() throws Exception {
        try (Socket client = request()) {
            Thread.sleep(FILLING_MS);
            long bytes = unsentBytes(client);
            assertTrue(bytes + " bytes", bytes > 0 && bytes < SLOWEST_READER_BYTES);
        }
    }

    @Test
    public void clientThatReadsNothingIsClosed() throws Exception {
        try (Socket client = request()) {
            long startNanos = System.nanoTime();
            await("the client is closed", () -> balancer.counter("clients_closed_slow") == 1);
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMs + " ms", elapsedMs > UNREAD_MS - NOTICE_MS && elapsedMs < UNREAD_MS + NOTICE_MS);
            assertTrue(client.isConnected());
        }
    }
}
