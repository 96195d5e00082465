package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Long requests that the balancer stops reading because no server takes them: the client may have written all of it,
 * and may have gone, without the balancer having read that.
 */
public class UnreadRequestTest {
    private static final int CLIENT_TIMEOUT_MS = 1500;
    /** How late a final response may be before the request counts as lost. */
    private static final int LATENESS_MS = 500;
    /** Fits the buffers that the system has for a connection on the loopback interface, so that a write returns. */
    private static final int WRITTEN_AT_ONCE_BYTES = 1_000_000;
    /** Fits the buffers of both connections together, that to the balancer and that to the server, but not of one. */
    private static final int FILLS_BOTH_CONNECTIONS_BYTES = 6_000_000;

    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private ScriptedServer discovery;
    private ServerSocket listener;
    private BalancerProcess balancer;

    /** What a server does with a connection. */
    private interface Reader {
        void read(InputStream input) throws Exception;
    }

    @Before
    public void listen() throws Exception {
        discovery = ScriptedServer.silent(release);
        listener = new ServerSocket();
        listener.setReceiveBufferSize(1 << 14);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free()), 1);
    }

    @After
    public void stop() throws Exception {
        for (Socket socket : accepted) {
            socket.close();
        }
        balancer.stop();
        listener.close();
        release.countDown();
        discovery.close();
    }

    private void startBalancer(UnaryOperator<String> edit) throws Exception {
        String address = "127.0.0.1:" + listener.getLocalPort();
        balancer = BalancerProcess.withEditedConfig(
                c -> edit.apply(c).replace(discovery.address() + "\",\"zone\"", address + "\",\"zone\""),
                discovery,
                discovery);
    }

    /** Accepts connections and serves each on a thread of its own. */
    private void accept(Reader reader) {
        ScriptedServer.start(() -> {
            while (true) {
                Socket socket = listener.accept();
                accepted.add(socket);
                ScriptedServer.start(() -> reader.read(socket.getInputStream()));
            }
        });
    }

    /** Less memory than one request needs to be read ahead of its server. */
    private static String withLittleMemory(String config) {
        return config.replace("\"memory_mb\":128", "\"memory_mb\":16");
    }

    private static String shortSession(String id) {
        return session(id, "scan").replace("X-Remaining-Ms: 8000", "X-Remaining-Ms: " + CLIENT_TIMEOUT_MS);
    }

    /** Writes a request at once and checks that its final response comes in time after the last byte was written. */
    private void checkAnsweredInTime(byte[] request) throws Exception {
        try (Socket client = balancer.connect()) {
            client.getOutputStream().write(request);
            long writtenNanos = System.nanoTime();
            HttpMessage response = HttpMessage.read(client.getInputStream());
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos);
            assertNotNull("closed without a response", response);
            assertTrue(
                    response.firstLine() + " after " + elapsedMs + " ms", elapsedMs < CLIENT_TIMEOUT_MS + LATENESS_MS);
        }
    }

    /** Guards against a final response that never comes because the server stops reading a long request. */
    @Test
    public void requestThatItsServerStopsReadingIsAnsweredInTime() throws Exception {
        accept(input -> {
            input.readNBytes(6442);
            Thread.sleep(60_000);
        });
        startBalancer(UnreadRequestTest::withLittleMemory);
        checkAnsweredInTime(
                HttpMessage.encode(shortSession("00000000000000a1"), new byte[FILLS_BOTH_CONNECTIONS_BYTES]));
        checkAnsweredInTime(StreamedBodiesTest.chunked(
                shortSession("00000000000000a2"), new byte[FILLS_BOTH_CONNECTIONS_BYTES], 60_000));
    }

    /**
     * Guards against a final response that is timed from when the server has read a long request, not its client's end.
     */
    @Test
    public void requestThatItsServerReadsSlowlyIsAnsweredInTime() throws Exception {
        accept(input -> {
            while (input.readNBytes(10_000).length > 0) {
                Thread.sleep(100);
            }
        });
        startBalancer(UnreadRequestTest::withLittleMemory);
        checkAnsweredInTime(StreamedBodiesTest.chunked(
                shortSession("00000000000000b1"), new byte[FILLS_BOTH_CONNECTIONS_BYTES], 60_000));
        checkAnsweredInTime(
                HttpMessage.encode(shortSession("00000000000000b2"), new byte[FILLS_BOTH_CONNECTIONS_BYTES]));
    }

    /**
     * Guards against requests that are sent on after their clients have left: nothing is read of the connection, so its
     * end is not seen, when a connection to a server comes up late.
     */
    @Test
    public void requestIsNotSentOnAfterItsClientLeftUnread() throws Exception {
        checkNotSentOn(c -> c.replace("\"memory_mb\":128", "\"memory_mb\":1"), 12, 150_000);
    }

    /** Guards against the same fault where a single body is longer than may be read ahead. */
    @Test
    public void longRequestIsNotSentOnAfterItsClientLeftUnread() throws Exception {
        checkNotSentOn(UnreadRequestTest::withLittleMemory, 2, WRITTEN_AT_ONCE_BYTES);
    }

    private void checkNotSentOn(UnaryOperator<String> edit, int clients, int bodyBytes) throws Exception {
        List<Socket> queue = new ArrayList<>();
        // Fills the accept queue: the kernel takes further connections only at the repetition of their first packet.
        for (int i = 0; i < 2; i++) {
            queue.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        startBalancer(c -> edit.apply(c).replace("\"connect_timeout\":500000", "\"connect_timeout\":8000000"));
        for (int i = 0; i < clients; i++) {
            try (Socket client = balancer.connect()) {
                String id = String.format("%016x", i + 1);
                client.getOutputStream().write(HttpMessage.encode(session(id, "order"), new byte[bodyBytes]));
                int taken = i + 1;
                await("the session is taken", () -> balancer.counter("sessions_taken") == taken);
            }
        }
        // An attempt may begin up to 0.1 s after its client left.
        Thread.sleep(100);
        List<Integer> received = new CopyOnWriteArrayList<>();
        accept(input -> received.add(input.read()));
        for (Socket socket : queue) {
            socket.close();
        }
        await("the sessions end", () -> ended() == clients);
        Thread.sleep(1000);
        List<Integer> bytes = received.stream().filter(octet -> octet >= 0).toList();
        assertEquals("connections that carried a request: " + bytes, 0, bytes.size());
    }

    private long ended() throws IOException {
        return balancer.counter("sessions_client_gone")
                + balancer.counter("sessions_denied")
                + balancer.counter("sessions_failed")
                + balancer.counter("sessions_served");
    }
}
