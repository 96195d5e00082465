package calicochute.cli;

import calicochute.connection.Connection;
import calicochute.connection.Connector;
import calicochute.metrics.Counters;
import calicochute.node.Node;
import calicochute.settings.Configuration;
import com.beust.jcommander.Parameters;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Starts a balancer that is its own discovery and its only backend server, sends it a few sessions and exits. The build
 * runs it to record the classes that a start loads, for the class data archive.
 */
@Parameters(commandDescription = "Serve a few sessions to itself on loopback and exit (for the build's class archive)")
final class RehearseCommand implements CommandLine.Command {
    private static final String CONFIGURATION = """
        {"name":"rehearsal","listen":"%1$s","discovery":"%1$s","seed":"1","known":{"generation":1,"reset":true,
        "instances":[{"instanceId":"self","hostPort":"%1$s","zone":"z","lifecycle":"Ready"}]},
        "settings":{"accounts":[{"name":"t"}],"classes":[{"name":"c","effect":"by_key","key_scope":"all"}],
        "caps":{"max_attempts":2,"cancel":true},"report":{"fields":["rif"]},"discovery":"on_request",
        "obligations":{"ask_every":1000000}}}""";
    private static final int SESSIONS = 3;
    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final int ANSWER_TIMEOUT_S = 5;

    @Override
    public void run() throws Exception {
        String address;
        try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + freePort.getLocalPort();
        }
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(file, CONFIGURATION.formatted(address));
        Node node = new Node(Configuration.read(file), new Counters());
        Files.delete(file);
        InetSocketAddress listening = node.start();
        CountDownLatch answers = new CountDownLatch(SESSIONS);
        try (Connector clients = new Connector()) {
            clients.start();
            for (int i = 0; i < SESSIONS; i++) {
                int id = i;
                clients.open(listening, CONNECT_TIMEOUT_MICROS, c -> send(c, address, id, answers), e -> {}, c -> {});
            }
            if (!answers.await(ANSWER_TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new IllegalStateException("not all sessions of the rehearsal were answered");
            }
        }
        node.drain();
        // The decision thread is never stopped and would keep the process alive.
        System.exit(0);
    }

    private static void send(Connection connection, String address, int id, CountDownLatch answers) {
        BasicHttpRequest request = new BasicHttpRequest("POST", "/api");
        request.addHeader("Host", address);
        request.addHeader("X-Txn", String.format("%016x", id));
        request.addHeader("X-Lane", "c");
        request.addHeader("X-Org", "t");
        request.addHeader("X-Remaining-Ms", "2000");
        request.addHeader("Idempotency-Key", "k" + id);
        request.addHeader("Content-Length", "2");
        connection.call(request, new byte[2], MAX_RESPONSE_BYTES, reply -> answers.countDown());
    }
}
