package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A balancer is killed outright and started again, several times. Lists are pushed: the agent on its machine holds that
 * two servers drain, and answers at once. The list in the configuration is older.
 */
final class RestartStaleList {
    private static final int SERVERS = 8;
    private static final int CLIENTS = 16;
    private static final int RESTARTS = 12;
    private static final long GRACE_MICROS = 250_000;
    /** The slack of the rules on sockets. */
    private static final double SLACK_SECONDS = 0.05;
    /** The front asks whether a balancer is ready this often. */
    private static final long FRONT_POLL_MS = 100;

    private static volatile double toldAt = Double.MAX_VALUE;
    private static volatile boolean takenIn;
    private static volatile boolean ended;
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        Rig.run(arguments, RestartStaleList::test);
    }

    private static boolean drains(String id) {
        return id.equals("s-0") || id.equals("s-1");
    }

    private static void handle(Http.Message request, Upstream.Connection connection) throws IOException {
        double at = Rig.seconds();
        if (drains(connection.server.id) && at > toldAt + GRACE_MICROS / 1e6 + SLACK_SECONDS) {
            LATE.incrementAndGet();
            Rig.say(String.format(
                    "draining server %s is sent %s %s, %.3f s after the start of the process",
                    connection.server.id, request.field("X-Lane"), request.field("X-Txn"), at - toldAt));
        }
        Rig.sleep(ThreadLocalRandom.current().nextInt(20, 60));
        connection.answer(200, "", ("answer made for " + request.field("X-Txn")).getBytes());
    }

    private static void client(int port) {
        while (!ended) {
            if (!takenIn) {
                Rig.sleep(5);
                continue;
            }
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(3_000);
                for (boolean open = true; open && !ended && takenIn; ) {
                    String requestClass = ThreadLocalRandom.current().nextBoolean() ? "balance" : "repay";
                    client.send(Client.newId(), requestClass, "/api", 1000, new byte[0]);
                    Http.Message answer = Http.read(client.in);
                    open = answer != null && !"close".equalsIgnoreCase(answer.field("Connection"));
                    (answer != null && answer.status() == 200 ? SERVED : OTHER).incrementAndGet();
                    Rig.sleep(ThreadLocalRandom.current().nextInt(100, 300));
                }
            } catch (IOException e) {
                Rig.sleep(20);
            }
        }
    }

    private static String test() throws Exception {
        int port = Rig.freePort();
        Path tmp = Files.createDirectory(Rig.folder.resolve("tmp"));
        Discovery agent = new Discovery();
        Upstream[] servers = new Upstream[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new Upstream("s-" + i, RestartStaleList::handle);
            agent.set("s-" + i, Discovery.entry("s-" + i, servers[i].address(), "kigali-dc", "Ready", 0));
        }
        String known = agent.list(-1);
        String settings = Balancer.kigaliSettings();
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
        Path config = Balancer.configure("config.json", port, 0, agent.address(), known, settings, limits);
        Balancer balancer = Balancer.launch(config, port, tmp, "balancer.log").awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.start(() -> client(port));
        }
        takenIn = true;
        Rig.sleep(2000);
        for (int i = 0; i < 2; i++) {
            agent.set("s-" + i, Discovery.entry("s-" + i, servers[i].address(), "kigali-dc", "Terminating", 0));
        }
        toldAt = Rig.seconds();
        Rig.sleep(2000);
        for (int i = 0; i < RESTARTS; i++) {
            if (Rig.TROUBLE) {
                takenIn = false;
                Rig.say("SIGKILL to " + balancer.process.pid());
                balancer.process.destroyForcibly().waitFor();
                Rig.sleep(300);
                Balancer.configure("config.json", port, 0, agent.address(), known, settings, limits);
                balancer = Balancer.launch(config, port, tmp, "balancer.log");
                toldAt = Rig.seconds();
                boolean ready = false;
                for (int poll = 0; poll < 300 && !ready; poll++) {
                    Rig.sleep(FRONT_POLL_MS);
                    try (Client front = new Client(port)) {
                        ready = front.get("/ready").status() == 200;
                    } catch (IOException e) {
                        // Not listening yet.
                    }
                }
                if (!ready) {
                    throw new IOException("not ready within 30 s");
                }
                Rig.say(String.format("the front takes it in %.3f s after its start", Rig.seconds() - toldAt));
                takenIn = true;
            }
            Rig.sleep(1500);
        }
        ended = true;
        Rig.sleep(500);
        Rig.say("served=" + SERVED + " other=" + OTHER + " late=" + LATE);
        return LATE.get() == 0 ? null : LATE + " requests sent to servers that drain";
    }
}
