package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Servers that are 1.3 ms away send one answer in a hundred a second time, 7.4 ms after the first, if nothing else waits
 * on the connection. Every client must get the answer made for its own request.
 */
final class SecondAnswer {
    private static final int SERVERS = 30;
    private static final int CLIENTS = 24;
    private static final long ONE_WAY_MICROS = 1_300;
    private static final long LATE_NANOS = 7_400_000;
    /** One answer in so many comes twice. */
    private static final int TWICE_ONE_IN = 100;
    private static final double SECONDS = 20;

    private static final AtomicInteger TWICE = new AtomicInteger();
    private static final Set<String> SENT_TWICE = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) throws IOException {
        Rig.run(arguments, SecondAnswer::test);
    }

    private static void answer(Http.Message request, Upstream.Connection connection) throws IOException {
        String id = request.field("X-Txn");
        Rig.sleep(ThreadLocalRandom.current().nextInt(5, 15));
        byte[] body = ("answer made for " + id).getBytes();
        connection.answer(200, "", body);
        long sentNanos = System.nanoTime();
        if (!Rig.TROUBLE || ThreadLocalRandom.current().nextInt(TWICE_ONE_IN) > 0) {
            return;
        }
        while (System.nanoTime() - sentNanos < LATE_NANOS) {
            LockSupport.parkNanos(100_000);
        }
        if (connection.in.available() == 0) {
            SENT_TWICE.add(id);
            TWICE.incrementAndGet();
            Rig.say(String.format(
                    "server %s sends the answer to %s again, %.1f ms after the first",
                    connection.server.id, id, (System.nanoTime() - sentNanos) / 1e6));
            connection.answer(200, "", body);
        }
    }

    private static String test() throws Exception {
        Discovery discovery = new Discovery();
        ConcurrentHashMap<String, String> ranAt = new ConcurrentHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            Upstream server = new Upstream("s-" + i, (request, connection) -> {
                ranAt.put(request.field("X-Txn"), connection.server.id);
                answer(request, connection);
            });
            DelayLine line = new DelayLine(server.port(), ONE_WAY_MICROS);
            discovery.set(server.id, Discovery.entry(server.id, line.address(), "ub-east", "Ready", 0));
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
        List<String> foreign = java.util.Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        double until = Rig.seconds() + SECONDS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Rig.start(() -> {
                while (Rig.seconds() < until) {
                    try (Client client = new Client(port)) {
                        client.socket.setSoTimeout(10_000);
                        while (Rig.seconds() < until) {
                            String id = Client.newId();
                            client.send(id, "order-copy", "/api", 6000, "copy".getBytes());
                            Http.Message answer = Http.read(client.in);
                            if (answer == null) {
                                break;
                            }
                            String body = new String(answer.body);
                            if (answer.status() != 200) {
                                other.incrementAndGet();
                            } else if (body.equals("answer made for " + id)) {
                                served.incrementAndGet();
                            } else {
                                foreign.add(id);
                                Rig.say("client asked " + id + " (at server " + ranAt.get(id) + ") and got 200 with '"
                                        + body + "', an answer sent twice: "
                                        + SENT_TWICE.contains(body.substring(body.length() - 16)));
                            }
                        }
                    } catch (IOException e) {
                        Rig.say("client: " + e.getMessage());
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.say("served=" + served + " other=" + other + " sent twice=" + TWICE + " foreign=" + foreign.size());
        if (!balancer.process.isAlive()) {
            return "the balancer has ended";
        }
        return foreign.isEmpty() ? null : foreign.size() + " clients got the answer made for another request";
    }
}
