package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.freePort;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/** Guards against two processes of an upgrade that together pass the memory limit, which holds for both. */
public class UpgradeMemoryTest {
    private static final int MEMORY_LIMIT_MB = 256;
    private static final int CLIENTS = 400;
    private static final int SERVERS = 12;
    private static final int LONG_BODY_BYTES = 400_000;
    /** The old process is killed this long after SIGTERM. */
    private static final long KILL_MS = 3700;

    private final AtomicInteger nextId = new AtomicInteger(1);
    private final AtomicBoolean ended = new AtomicBoolean();

    @Test
    public void memoryOfBothProcessesStaysWithinTheLimit() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        byte[] response = HttpMessage.encode("HTTP/1.1 200 OK\r\n", new byte[LONG_BODY_BYTES]);
        ScriptedServer[] servers = new ScriptedServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new ScriptedServer(r -> response);
        }
        ScriptedServer discovery = ScriptedServer.silent(release);
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        Supervisor supervisor = new Supervisor(BalancerProcess.deployedFlags());
        try {
            int old = supervisor.start(UpgradeMemoryTest::limited, freePort(), discovery, servers);
            List<Long> sums = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.submit(() -> runClient(supervisor));
            }
            Thread.sleep(4000);
            Thread sampler = new Thread(() -> sample(supervisor, sums));
            int next = supervisor.start(UpgradeMemoryTest::limited, freePort(), discovery, servers);
            sampler.start();
            supervisor.signal(old, "TERM");
            Thread.sleep(KILL_MS);
            if (!supervisor.hasExited(old)) {
                supervisor.signal(old, "KILL");
            }
            ended.set(true);
            sampler.join();
            clients.shutdownNow();
            await("the old process has exited", () -> supervisor.hasExited(old));
            assertFalse(supervisor.log(next), supervisor.hasExited(next));
            long peak = sums.stream().mapToLong(Long::longValue).max().orElse(0);
            assertTrue(peak + " MB", peak > 0 && peak < MEMORY_LIMIT_MB);
        } finally {
            clients.shutdownNow();
            supervisor.close();
            release.countDown();
            for (ScriptedServer server : servers) {
                server.close();
            }
            discovery.close();
        }
    }

    private static String limited(String config) {
        return config.replace("\"memory_mb\":128", "\"memory_mb\":" + MEMORY_LIMIT_MB);
    }

    private void sample(Supervisor supervisor, List<Long> sums) {
        while (!ended.get()) {
            try {
                sums.add(ProcessMemory.residentMb(supervisor.pid(0)) + ProcessMemory.residentMb(supervisor.pid(1)));
                Thread.sleep(20);
            } catch (IOException | InterruptedException e) {
                // The old process has ended.
                return;
            }
        }
    }

    /** Sends long requests and reads long responses, fast or slowly, until the test ends. */
    private void runClient(Supervisor supervisor) {
        byte[] body = new byte[LONG_BODY_BYTES];
        while (!ended.get()) {
            try (Socket socket = supervisor.connect()) {
                boolean slow = ThreadLocalRandom.current().nextBoolean();
                String head = session(String.format("%016x", nextId.getAndIncrement()), "order");
                byte[] request = HttpMessage.encode(head, body);
                for (int written = 0; written < request.length && !ended.get(); written += 20_000) {
                    socket.getOutputStream().write(request, written, Math.min(20_000, request.length - written));
                    Thread.sleep(slow ? 100 : 1);
                }
                for (int i = 0; i < 40 && socket.getInputStream().readNBytes(10_000).length > 0; i++) {
                    Thread.sleep(slow ? 50 : 1);
                }
            } catch (IOException e) {
                // The connection was ended; the next one is opened.
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
