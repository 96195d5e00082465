package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Guards against a process that passes its memory limit under hundreds of clients that write or read slowly, stop half
 * way, or send heads of very many short fields, with the JVM flags of the deploy file.
 */
public class CrowdMemoryTest {
    private static final int MEMORY_LIMIT_MB = 192;
    private static final int CLIENTS = 450;
    private static final int SERVERS = 12;
    private static final int LONG_BODY_BYTES = 1_000_000;
    private static final long DURATION_MS = 6000;
    private static final int PIECE_BYTES = 2000;
    private static final int PIECE_INTERVAL_MS = 50;
    private static final int SHORT_FIELDS = 55;

    private final CountDownLatch release = new CountDownLatch(1);
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    private final AtomicInteger nextId = new AtomicInteger(1);
    private ScriptedServer discovery;
    private BalancerProcess balancer;

    @Before
    public void start() throws Exception {
        discovery = ScriptedServer.silent(release);
        byte[] response = HttpMessage.encode("HTTP/1.1 200 OK\r\n", new byte[LONG_BODY_BYTES]);
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ScriptedServer(r -> response));
        }
        balancer = BalancerProcess.withDeployedFlags(
                config -> config.replace("\"memory_mb\":128", "\"memory_mb\":" + MEMORY_LIMIT_MB),
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

    private interface Client {
        void run(Socket socket) throws Exception;
    }

    /** Runs many clients at once, whose connections may be ended, and checks the process after them. */
    private void crowd(Client client) throws Exception {
        List<Future<?>> running = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            running.add(clients.submit(() -> {
                long endNanos = System.nanoTime() + DURATION_MS * 1_000_000;
                while (System.nanoTime() < endNanos) {
                    try (Socket socket = balancer.connect()) {
                        client.run(socket);
                    } catch (IOException e) {
                        Thread.sleep(PIECE_INTERVAL_MS);
                    }
                }
                return null;
            }));
        }
        for (Future<?> future : running) {
            future.get();
        }
        assertTrue(balancer.log(), balancer.process.isAlive());
        await("serves again", () -> balancer.send(session(id(), "view")).status() == 200);
        assertTrue(
                ProcessMemory.peakMb(balancer.process) + " MB",
                ProcessMemory.peakMb(balancer.process) < MEMORY_LIMIT_MB);
        assertEquals(0, balancer.counter("module_faults"));
    }

    private String id() {
        return String.format("%016x", nextId.getAndIncrement());
    }

    private static void writeSlowly(OutputStream output, byte[] bytes, int length) throws Exception {
        for (int written = 0; written < length; written += PIECE_BYTES) {
            output.write(bytes, written, Math.min(PIECE_BYTES, length - written));
            Thread.sleep(PIECE_INTERVAL_MS);
        }
    }

    @Test
    public void clientsThatWriteSlowly() throws Exception {
        byte[] body = new byte[LONG_BODY_BYTES];
        crowd(socket -> {
            socket.getOutputStream()
                    .write((session(id(), "order") + "Content-Length: " + body.length + "\r\n\r\n").getBytes());
            writeSlowly(socket.getOutputStream(), body, 200_000);
        });
    }

    @Test
    public void clientsThatStopHalfWay() throws Exception {
        byte[] half = new byte[LONG_BODY_BYTES / 2];
        crowd(socket -> {
            socket.getOutputStream()
                    .write((session(id(), "order") + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n").getBytes());
            socket.getOutputStream().write(half);
            Thread.sleep(1500);
        });
    }

    @Test
    public void headsOfVeryManyShortFields() throws Exception {
        crowd(socket -> {
            int fields = ThreadLocalRandom.current().nextBoolean() ? SHORT_FIELDS : 100 * SHORT_FIELDS;
            StringBuilder head = new StringBuilder(session(id(), "view"));
            for (int i = 0; i < fields; i++) {
                head.append((char) ('a' + i % 26)).append(':').append(i % 10).append("\r\n");
            }
            byte[] bytes = head.append("\r\n").toString().getBytes();
            socket.getOutputStream().write(bytes, 0, bytes.length / 2);
            Thread.sleep(200);
            socket.getOutputStream().write(bytes, bytes.length / 2, bytes.length - bytes.length / 2);
            HttpMessage.read(socket.getInputStream());
        });
    }

    @Test
    public void clientsThatReadSlowly() throws Exception {
        crowd(socket -> {
            socket.getOutputStream().write(HttpMessage.encode(session(id(), "view"), new byte[0]));
            InputStream input = socket.getInputStream();
            for (int i = 0; i < 60 && input.readNBytes(PIECE_BYTES).length > 0; i++) {
                Thread.sleep(PIECE_INTERVAL_MS);
            }
        });
    }
}
