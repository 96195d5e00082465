package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long messages, written and read slowly, at a balancer with a memory limit of 68 MB. The platform looks at the memory of
 * the process and kills it if it is over the limit.
 */
final class SmallMemory {
    private static final int MEMORY_MB = 68;
    private static final int SOCKETS = 1024;
    /** A third of the descriptors. */
    private static final int CLIENTS = 340;
    private static final int SERVERS = 9;
    private static final int BODY = Rig.TROUBLE ? 1_000_000 : 2_000;
    private static final int ANSWER = Rig.TROUBLE ? 8_000_000 : 2_000;
    private static final int BYTES_PER_SECOND = 64_000;
    private static final double SECONDS = 45;
    private static final int KB = 1024;

    private static volatile boolean ended;
    private static volatile boolean killed;
    private static final AtomicInteger DONE = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final ConcurrentHashMap<String, Double> OPEN = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws IOException {
        Rig.run(arguments, SmallMemory::test);
    }

    /** The memory of a process in KB: its private pages, and its part of those that it shares with others. */
    private static long proportionalKb(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup"))) {
            if (line.startsWith("Pss:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("no Pss of " + pid);
    }

    private static void client(int port, boolean writes) {
        byte[] body = new byte[writes ? BODY : 0];
        byte[] buffer = new byte[BYTES_PER_SECOND / 10];
        while (!ended && !killed) {
            String id = Client.newId();
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(20_000);
                while (!ended && !killed) {
                    id = Client.newId();
                    if (writes) {
                        client.out.write(("POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
                                        + "\r\nX-Lane: register-scan\r\nX-Org: " + Balancer.TENANT
                                        + "\r\nX-Remaining-Ms: 4000\r\nIdempotency-Key: " + id + "\r\nContent-Length: "
                                        + BODY + "\r\n\r\n")
                                .getBytes());
                        long start = System.nanoTime();
                        for (int sent = 0; sent < BODY; ) {
                            int length = Math.min(buffer.length, BODY - sent);
                            client.out.write(body, sent, length);
                            sent += length;
                            pace(start, sent);
                        }
                    } else {
                        client.send(id, "view-map", "/api", 7000, body);
                    }
                    OPEN.put(id, Rig.seconds());
                    Http.Message head = Http.readHead(client.in);
                    if (head == null) {
                        throw new IOException("closed without an answer");
                    }
                    String text = head.field("Content-Length");
                    long left = text == null ? 0 : Long.parseLong(text);
                    long start = System.nanoTime();
                    for (long got = 0; got < left; ) {
                        if (ended && !killed) {
                            return;
                        }
                        int n = client.in.read(buffer, 0, (int) Math.min(buffer.length, left - got));
                        if (n < 0) {
                            throw new IOException("cut after " + got + " of " + left);
                        }
                        got += n;
                        if (!killed) {
                            pace(start, got);
                        }
                    }
                    OPEN.remove(id);
                    (head.status() == 200 ? DONE : REFUSED).incrementAndGet();
                    Rig.sleep(5000);
                    if ("close".equalsIgnoreCase(head.field("Connection"))) {
                        break;
                    }
                }
            } catch (IOException e) {
                if (OPEN.remove(id) != null && killed) {
                    LOST.incrementAndGet();
                    Rig.say("lost " + id + ": " + e.getMessage());
                }
                Rig.sleep(200);
            }
        }
    }

    private static void pace(long startNanos, long bytes) {
        Rig.sleep(bytes * 1000 / BYTES_PER_SECOND - (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static String test() throws Exception {
        Discovery discovery = new Discovery();
        byte[] answer = new byte[ANSWER];
        byte[] small = "registered".getBytes();
        for (int i = 0; i < SERVERS; i++) {
            Upstream server = new Upstream("s-" + i, (request, connection) -> {
                Rig.sleep(200);
                connection.answer(200, "", request.field("X-Lane").equals("view-map") ? answer : small);
            });
            discovery.set(server.id, Discovery.entry(server.id, server.address(), "ub-east", "Ready", 0));
        }
        int port = Rig.freePort();
        Balancer balancer = Balancer.launch(
                        Balancer.configure(
                                "config.json",
                                port,
                                0,
                                discovery.address(),
                                discovery.list(-1),
                                Balancer.mapsSettings(),
                                "{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":" + SOCKETS + "}"),
                        port,
                        Rig.folder,
                        "balancer.log")
                .awaitReady();
        Rig.say("at rest " + proportionalKb(balancer.process.pid()) + " KB");
        double until = Rig.seconds() + SECONDS;
        for (int i = 0; i < CLIENTS; i++) {
            boolean writes = i % 2 == 0;
            Rig.start(() -> client(port, writes));
            Rig.sleep(20);
        }
        long most = 0;
        while (Rig.seconds() < until && balancer.process.isAlive()) {
            long kb = proportionalKb(balancer.process.pid());
            if (kb > most) {
                most = kb;
                Rig.say("memory " + kb + " KB, done=" + DONE + " refused=" + REFUSED + " open=" + OPEN.size());
            }
            if (kb > (long) MEMORY_MB * KB) {
                Rig.say("over the limit of " + MEMORY_MB + " MB: the platform kills the balancer, " + OPEN.size()
                        + " requests are open");
                killed = true;
                balancer.process.destroyForcibly().waitFor();
            }
            Rig.sleep(100);
        }
        ended = true;
        Rig.sleep(5000);
        Rig.say("most=" + most + " KB done=" + DONE + " refused=" + REFUSED + " lost=" + LOST);
        if (killed) {
            return "over " + MEMORY_MB + " MB and killed, " + LOST + " requests lost with it";
        }
        return balancer.process.isAlive() ? null : "the balancer has ended";
    }
}
