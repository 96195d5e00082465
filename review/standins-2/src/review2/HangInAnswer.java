package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Long answers while one of nine servers hangs for 12 s in the middle of its work: it goes on afterwards and gives the
 * rest.
 */
final class HangInAnswer {
    private static final int SERVERS = 9;
    private static final int CLIENTS = 18;
    private static final int LENGTH = 6 << 20;
    private static final int PIECE = 16 << 10;
    private static final long HANG_MS = 12_000;
    private static final long HANG_AT_MS = 1_500;

    private static volatile long hangFromNanos;
    private static volatile String hung = "";
    private static final ConcurrentHashMap<String, String> GIVEN = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws IOException {
        Rig.run(arguments, HangInAnswer::test);
    }

    /** The body made for a request: each byte depends on the request's id and its place. */
    static byte[] body(String id, int length) {
        byte[] body = new byte[length];
        int seed = id.hashCode();
        for (int i = 0; i < length; i++) {
            body[i] = (byte) (seed * 31 + i * 7 + (i >> 8));
        }
        return body;
    }

    private static void answer(Http.Message request, Upstream.Connection connection) throws Exception {
        String id = request.field("X-Txn");
        byte[] body = body(id, LENGTH);
        connection.out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n").getBytes());
        int sent = 0;
        try {
            // 2 MB a second, in pieces.
            while (sent < LENGTH) {
                waitWhileHung(connection.server.id);
                int length = Math.min(PIECE, LENGTH - sent);
                connection.out.write(body, sent, length);
                sent += length;
                Rig.sleep(8);
            }
            GIVEN.put(id, "gave all " + LENGTH + " bytes");
            Rig.say("server " + connection.server.id + " gave all of " + id);
        } catch (IOException e) {
            GIVEN.put(id, "could give only " + sent + " bytes: " + e.getMessage());
            Rig.say("server " + connection.server.id + " wanted to go on with " + id + " after " + sent + " bytes: "
                    + e.getMessage());
            throw e;
        }
    }

    private static void waitWhileHung(String server) {
        long since = System.nanoTime() - hangFromNanos;
        if (server.equals(hung) && since >= 0 && since < HANG_MS * 1_000_000) {
            Rig.sleep(HANG_MS - since / 1_000_000);
        }
    }

    private static String test() throws Exception {
        Discovery discovery = new Discovery();
        List<Upstream> servers = new ArrayList<>();
        ConcurrentHashMap<String, String> ranAt = new ConcurrentHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            Upstream server = new Upstream("s-" + i, (request, connection) -> {
                Rig.say("server " + connection.server.id + " runs " + request.field("X-Txn"));
                ranAt.put(request.field("X-Txn"), connection.server.id);
                answer(request, connection);
            });
            servers.add(server);
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
                                "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}"),
                        port,
                        Rig.folder,
                        "balancer.log")
                .awaitReady();
        Rig.sleep(500);
        AtomicInteger lost = new AtomicInteger();
        List<String> cut = java.util.Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = Client.newId();
            clients.add(Rig.start(() -> {
                int received = -1;
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(60_000);
                    client.send(id, "view-map", "/api", 7000, new byte[0]);
                    Http.Message head = Http.readHead(client.in);
                    if (head == null || head.status() != 200) {
                        Rig.say("client " + id + " got " + (head == null ? "a close" : head.startLine));
                        return;
                    }
                    received = 0;
                    byte[] wanted = body(id, LENGTH);
                    byte[] got = new byte[LENGTH];
                    while (received < LENGTH) {
                        int n = client.in.read(got, received, LENGTH - received);
                        if (n < 0) {
                            throw new IOException("the balancer ended the connection");
                        }
                        received += n;
                    }
                    if (!Arrays.equals(wanted, got)) {
                        throw new IOException("another body");
                    }
                    Rig.say("client " + id + " got all " + LENGTH + " bytes");
                } catch (IOException e) {
                    if (received < 0) {
                        Rig.say("client " + id + " got no answer: " + e.getMessage());
                        return;
                    }
                    lost.incrementAndGet();
                    cut.add(id);
                    Rig.say("client " + id + " got " + received + " of " + LENGTH + " bytes: " + e.getMessage());
                }
            }));
            Rig.sleep(30);
        }
        Rig.sleep(HANG_AT_MS - CLIENTS * 30);
        if (Rig.TROUBLE) {
            // One that has an answer under way.
            hung = ranAt.values().iterator().next();
            hangFromNanos = System.nanoTime();
            Rig.say("server " + hung + " hangs for " + HANG_MS + " ms");
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        Rig.sleep(HANG_MS);
        if (!balancer.process.isAlive()) {
            return "the balancer has ended";
        }
        for (String id : cut) {
            Rig.say("request " + id + " at " + ranAt.get(id) + ": the server " + GIVEN.get(id));
        }
        return lost.get() == 0
                ? null
                : lost.get() + " of " + CLIENTS + " answers cut off, though their server went on giving them";
    }
}
