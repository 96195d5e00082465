package calicochute.process;

import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** The memory that the bodies of many sessions take together, with the JVM flags of the deploy file. */
public class BodyMemoryTest {
    private static final int SERVERS = 12;
    /** Longest body that is buffered whole. */
    private static final int LONGEST_BUFFERED_BYTES = 1 << 16;

    /** Fields of a head just below the greatest length, 16 KiB. */
    private static final int LONG_FIELDS = 15;

    private static final int LONG_FIELD_BYTES = 1000;

    /** The most fields of a head, less those that the response has anyway. */
    private static final int MOST_FIELDS = 60;
    /** Below the greatest length of a line, 8 KiB. */
    private static final int LONGEST_LINE_BYTES = 8000;

    private static final int MEMORY_LIMIT_MB = 192;
    /** Below three quarters of the connections from clients, above which a response ends its connection. */
    private static final int CLIENTS = 360;

    private static final int REQUESTS_PER_CLIENT = 4;
    /** Longer than the clients take to send, so that the bodies of all of them are in transit together. */
    private static final int SERVER_WORK_MS = 2000;

    private final CountDownLatch release = new CountDownLatch(1);
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    private ScriptedServer discovery;
    private BalancerProcess balancer;

    @Before
    public void startServers() throws Exception {
        discovery = ScriptedServer.silent(release);
    }

    private void start(int memoryMb, ScriptedServer.Script script) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ScriptedServer(script));
        }
        balancer = BalancerProcess.withDeployedFlags(
                config -> config.replace("\"memory_mb\":128", "\"memory_mb\":" + memoryMb),
                discovery,
                servers.toArray(ScriptedServer[]::new));
    }

    @After
    public void stop() throws Exception {
        clients.shutdownNow();
        release.countDown();
        balancer.stop();
        for (ScriptedServer server : servers) {
            server.close();
        }
        discovery.close();
    }

    /**
     * Guards against OutOfMemoryError in the I/O threads, after which the process stays and answers nothing: bodies and
     * responses of 64 KiB each, of 360 clients at once.
     */
    @Test
    public void manyBodiesOfTheLongestBufferedLengthAreAnswered() throws Exception {
        checkAnswered("");
    }

    /** Guards against the same fault by request heads, which are held beside the bodies. */
    @Test
    public void manyBodiesWithLongHeadsAreAnswered() throws Exception {
        checkAnswered(("X-Padding: " + "a".repeat(LONG_FIELD_BYTES) + "\r\n").repeat(LONG_FIELDS));
    }

    private void checkAnswered(String fields) throws Exception {
        byte[] response = HttpMessage.encode("HTTP/1.1 200 OK\r\n", new byte[LONGEST_BUFFERED_BYTES]);
        start(MEMORY_LIMIT_MB, request -> {
            sleepUntilNextBurst();
            return response;
        });
        List<Future<Integer>> served = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            served.add(clients.submit(() -> sendInTurn(client, fields)));
        }
        int total = 0;
        for (Future<Integer> count : served) {
            total += count.get();
        }
        // The decision module may deny some while it learns how fast the servers are.
        assertTrue("served " + total, total > CLIENTS * REQUESTS_PER_CLIENT / 2);
        assertTrue(
                ProcessMemory.peakMb(balancer.process) + " MB",
                ProcessMemory.peakMb(balancer.process) < MEMORY_LIMIT_MB);
    }

    /**
     * Guards against OutOfMemoryError by response heads that were bounded by lines and their number alone: half a MiB
     * each. Such a response is no answer, but the process has to go on.
     */
    @Test
    public void longResponseHeadsDoNotExhaustMemory() throws Exception {
        byte[] response = HttpMessage.response(
                200, ("X-Padding: " + "a".repeat(LONGEST_LINE_BYTES) + "\r\n").repeat(MOST_FIELDS), "a map");
        start(MEMORY_LIMIT_MB, request -> {
            Thread.sleep(SERVER_WORK_MS);
            return response;
        });
        List<Future<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String head = session(String.format("%016x", i), "order");
            statuses.add(clients.submit(() -> balancer.send(head, new byte[1]).status()));
        }
        for (Future<Integer> status : statuses) {
            assertTrue("status " + status.get(), status.get() >= 500);
        }
        assertTrue(balancer.process.isAlive());
        assertEquals(200, balancer.send("GET /ready HTTP/1.1\r\nHost: a\r\n").status());
        assertTrue(
                ProcessMemory.peakMb(balancer.process) + " MB",
                ProcessMemory.peakMb(balancer.process) < MEMORY_LIMIT_MB);
    }

    /** Sleeps so that all servers respond at the same moments, and responses are in transit together too. */
    private static void sleepUntilNextBurst() throws InterruptedException {
        Thread.sleep(SERVER_WORK_MS - System.currentTimeMillis() % SERVER_WORK_MS);
    }

    /** Sends requests one after the other, each of which has to be answered; returns how many were served. */
    private int sendInTurn(int client, String fields) throws Exception {
        int served = 0;
        try (Socket socket = balancer.connect()) {
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                String head = session(String.format("%016x", client * REQUESTS_PER_CLIENT + i), "order") + fields;
                socket.getOutputStream().write(HttpMessage.encode(head, new byte[LONGEST_BUFFERED_BYTES]));
                HttpMessage response = HttpMessage.read(socket.getInputStream());
                assertNotNull("no answer", response);
                if (response.status() == 200) {
                    assertEquals(LONGEST_BUFFERED_BYTES, response.body().length);
                    served++;
                } else {
                    assertEquals(503, response.status());
                }
            }
        }
        return served;
    }

    /**
     * Guards against bodies that are cut, mixed up or left unread where memory is too short to buffer them: they are
     * streamed in both directions, whatever their framing.
     */
    @Test
    public void bodiesPassUnchangedIfMemoryIsTooShortToBufferThem() throws Exception {
        start(4, request -> {
            Thread.sleep(SERVER_WORK_MS);
            return HttpMessage.encode("HTTP/1.1 200 OK\r\n", request.body());
        });
        List<Future<Integer>> statuses = new ArrayList<>();
        int echoes = 48;
        for (int i = 0; i < echoes; i++) {
            int client = i;
            statuses.add(clients.submit(() -> echo(client)));
        }
        int served = 0;
        for (Future<Integer> status : statuses) {
            served += status.get() == 200 ? 1 : 0;
        }
        assertTrue("served " + served, served > echoes / 2);
        assertTrue(balancer.counter("requests_streamed_for_room") > 0);
        assertTrue(balancer.counter("answers_in_pieces") > 0);
        assertEquals("nothing stays reserved", 200, echo(echoes));
        assertEquals(0, balancer.counter("sessions_ended_by_deadline"));
    }

    /** Sends a random body in one of two framings; what comes back with a 200 has to be the same. */
    private int echo(int client) throws Exception {
        byte[] body = new byte[LONGEST_BUFFERED_BYTES - client * 1001];
        new Random(client).nextBytes(body);
        String head = session(String.format("%016x", client), "order");
        try (Socket socket = balancer.connect()) {
            socket.getOutputStream()
                    .write(
                            client % 2 == 0
                                    ? HttpMessage.encode(head, body)
                                    : StreamedBodiesTest.chunked(head, body, 1000 + client));
            InputStream input = socket.getInputStream();
            HttpMessage response = HttpMessage.read(input);
            if (response.status() == 200) {
                assertArrayEquals(body, response.body());
            }
            return response.status();
        }
    }
}
