package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version takes over while discovery is down for 8 s. The old process was told long before that a server drains;
 * the list in the configuration is older than that.
 */
final class UpgradeInOutage {
    private static final int SERVERS = 9;
    private static final int CLIENTS = 24;
    private static final long GRACE_MICROS = 3_000_000;
    /** The slack of the rules on sockets. */
    private static final double SLACK_SECONDS = 0.05;
    /** News counts as told so long after the new process's yes, at the latest. */
    private static final double NEWS_AFTER_YES_SECONDS = 2;

    private static final long OUTAGE_MS = 8_000;
    private static final String DRAINED = "s-0";
    private static volatile double toldAt = Double.MAX_VALUE;
    private static volatile double yesAt = Double.MAX_VALUE;
    private static final AtomicInteger BEFORE = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();
    private static volatile boolean ended;

    public static void main(String[] arguments) throws IOException {
        Rig.run(arguments, UpgradeInOutage::test);
    }

    private static void handle(Http.Message request, Upstream.Connection connection) throws IOException {
        if (connection.server.id.equals(DRAINED)) {
            double at = Rig.seconds();
            double allowed = toldAt + GRACE_MICROS / 1e6 + SLACK_SECONDS;
            boolean newProcess = at > yesAt;
            if (newProcess) {
                allowed = Math.max(allowed, yesAt + NEWS_AFTER_YES_SECONDS + GRACE_MICROS / 1e6 + SLACK_SECONDS);
            }
            if (at > allowed) {
                LATE.incrementAndGet();
                Rig.say(String.format(
                        "draining server %s is sent %s %s, %.2f s after the balancer was told, %.2f s after the new"
                                + " process's yes",
                        DRAINED, request.field("X-Lane"), request.field("X-Txn"), at - toldAt, at - yesAt));
            } else if (at > toldAt) {
                BEFORE.incrementAndGet();
            }
        }
        Rig.sleep(ThreadLocalRandom.current().nextInt(50, 150));
        connection.answer(200, "", ("answer made for " + request.field("X-Txn")).getBytes());
    }

    private static void client(int port) {
        while (!ended) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(10_000);
                for (boolean open = true; open && !ended; ) {
                    String requestClass = ThreadLocalRandom.current().nextBoolean() ? "view-map" : "order-copy";
                    client.send(Client.newId(), requestClass, "/api", 6000, new byte[0]);
                    Http.Message answer = Http.read(client.in);
                    open = answer != null && !"close".equalsIgnoreCase(answer.field("Connection"));
                    (answer != null && answer.status() == 200 ? SERVED : OTHER).incrementAndGet();
                    Rig.sleep(ThreadLocalRandom.current().nextInt(100, 300));
                }
            } catch (IOException e) {
                Rig.sleep(50);
            }
        }
    }

    private static String test() throws Exception {
        int port = Integer.parseInt(System.getenv("REVIEW_PORT"));
        Path tmp = Files.createDirectory(Rig.folder.resolve("tmp"));
        Discovery discovery = new Discovery();
        Upstream drained = null;
        for (int i = 0; i < SERVERS; i++) {
            Upstream server = new Upstream("s-" + i, UpgradeInOutage::handle);
            drained = i == 0 ? server : drained;
            discovery.set(server.id, Discovery.entry(server.id, server.address(), "ub-east", "Ready", 0));
        }
        String known = discovery.list(-1);
        String settings = Balancer.mapsSettings();
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
        int oldAdmin = Rig.freePort();
        int newAdmin = Rig.freePort();
        Balancer old = Balancer.launch(
                        Balancer.configure(
                                "old.json", port, oldAdmin, discovery.address(), known, settings, limits),
                        port,
                        tmp,
                        "old.log")
                .awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.start(() -> client(port));
        }
        Rig.sleep(3000);
        discovery.set(DRAINED, Discovery.entry(DRAINED, drained.address(), "ub-east", "Terminating", 0));
        Rig.sleep(200);
        toldAt = Rig.seconds();
        Rig.sleep(5000);
        if (Rig.TROUBLE) {
            discovery.setDown(true);
            Rig.start(() -> {
                Rig.sleep(OUTAGE_MS);
                try {
                    discovery.setDown(false);
                } catch (IOException e) {
                    Rig.say(e.toString());
                }
            });
        }
        Rig.sleep(100);
        Balancer next = Balancer.launch(
                Balancer.configure("new.json", port, newAdmin, discovery.address(), known, settings, limits),
                port,
                tmp,
                "new.log");
        next.awaitHealth(newAdmin);
        yesAt = Rig.seconds();
        old.replaced();
        Rig.sleep(15_000);
        ended = true;
        Rig.sleep(500);
        Rig.say("served=" + SERVED + " other=" + OTHER + " sent to " + DRAINED + " within the grace=" + BEFORE
                + " later=" + LATE);
        if (!next.process.isAlive()) {
            return "the new process has ended";
        }
        return LATE.get() == 0 ? null : LATE + " requests sent to a server that the balancer was told drains";
    }
}
