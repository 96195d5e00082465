package calicochute.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** The real program as a process of its own, with the configuration of a small site. */
final class Program {
    private static final String SETTINGS = """
        {"accounts":[{"allowance_per_s":100.0,"name":"library","portion":1.0}],"balancers":1,
        "caps":{"cancel":true,"conn_idle":30000000,"connect_timeout":500000,"max_attempts":3,"max_open":20000,
        "max_retry_after":3000000,"probes":true,"retry_after":true,"second_copies":false},
        "classes":[
        {"deadline":9000000,"effect":"repeatable","key_scope":"all","name":"view","objective":8000000,"points":1.0},
        {"deadline":9000000,"effect":"once","key_scope":"all","name":"order","objective":8000000,"points":5.0},
        {"deadline":9000000,"effect":"by_key","key_scope":"all","name":"scan","objective":8000000,"points":3.0,
        "window":7500000}],
        "client_habits":{"marks_retry":true},"discovery":"on_request","layer":0,
        "obligations":{"ask_every":1000000,"drain_grace":3000000,"warm_up":1000,"cold_from":0.5,"fall":3000000,
        "fall_multiple":3.0},"tick":5000,"zone":"a"}""";
    final Process process;
    final int port;
    /** The second address's port, or 0. */
    final int admin;

    final Path config;
    private final Path log;

    Program(Peer discovery, Peer... servers) throws Exception {
        this("", 1024, discovery, servers);
    }

    /** {@code shell} goes before the command, such as a limit to run under. */
    Program(String shell, int sockets, Peer discovery, Peer... servers) throws Exception {
        this(shell, sockets, 0, discovery, addresses(servers));
    }

    /** With a second address. */
    static Program withAdmin(Peer discovery, Peer... servers) throws Exception {
        return new Program("", 1024, freePort(), discovery, addresses(servers));
    }

    /** With servers that are no peers of ours. */
    static Program with(Peer discovery, String... servers) throws Exception {
        return new Program("", 1024, 0, discovery, servers);
    }

    /** With a second address, and a server that listens there but is no peer of ours. */
    static Program before(Peer discovery, String server) throws Exception {
        return new Program("", 1024, freePort(), discovery, server);
    }

    /** With a second address, and fewer descriptors than its configuration promises. */
    static Program scarce(int descriptors, Peer discovery, Peer... servers) throws Exception {
        return new Program("ulimit -n " + descriptors + "; ", 1024, freePort(), discovery, addresses(servers));
    }

    /** With a second address, and as many descriptors as its configuration promises. */
    static Program limited(int descriptors, Peer discovery, Peer... servers) throws Exception {
        return new Program("ulimit -n " + descriptors + "; ", descriptors, freePort(), discovery, addresses(servers));
    }

    /** With a second address and no larger heap. */
    static Program withHeap(String heap, Peer discovery, Peer... servers) throws Exception {
        return new Program(
                "export JAVA_TOOL_OPTIONS=-Xmx" + heap + "; ", 1024, freePort(), discovery, addresses(servers));
    }

    /** With a configuration changed before the start. */
    static Program edited(UnaryOperator<String> edit, Peer discovery, Peer... servers) throws Exception {
        return new Program("", 1024, 0, edit, discovery, addresses(servers));
    }

    private static String[] addresses(Peer... servers) {
        return Arrays.stream(servers).map(Peer::address).toArray(String[]::new);
    }

    /** One that nobody takes before the program binds it. */
    static int freePort() throws IOException {
        return Ports.free();
    }

    private Program(String shell, int sockets, int admin, Peer discovery, String... servers) throws Exception {
        this(shell, sockets, admin, UnaryOperator.identity(), discovery, servers);
    }

    private Program(String shell, int sockets, int admin, UnaryOperator<String> edit, Peer discovery, String... servers)
            throws Exception {
        port = freePort();
        this.admin = admin;
        config = Files.createTempFile("calicochute", ".json");
        Files.writeString(config, edit.apply(configuration(port, admin, sockets, discovery, servers)));
        log = Files.createTempFile("calicochute", ".log");
        process = start(shell, log, "serve", "--config", config.toString());
        boolean serves = false;
        try {
            await("ready", () -> {
                assertTrue("ended at its start: " + log(), process.isAlive());
                // Its own word, and not only that of whoever answers at its port: that comes before the start is over.
                return log().contains(" INFO serving ")
                        && send("GET /ready HTTP/1.1\r\nHost: a\r\n").status() == 200;
            });
            serves = true;
        } finally {
            if (!serves) {
                process.destroyForcibly();
            }
        }
    }

    /** A configuration file's text; {@code admin} 0 for no second address. */
    static String configuration(int port, int admin, int sockets, Peer discovery, Peer... servers) {
        return configuration(port, admin, sockets, discovery, addresses(servers));
    }

    private static String configuration(int port, int admin, int sockets, Peer discovery, String... servers) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                + (admin == 0 ? "" : "\"admin_addr\":\"127.0.0.1:" + admin + "\",") + "\"discovery\":\""
                + discovery.address()
                + "\",\"seed\":\"2a\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":" + sockets
                + "},\"known\":"
                + list(1, "Ready", servers) + ",\"settings\":" + SETTINGS + "}";
    }

    /** The command that starts the program, as built and with assertions on. */
    static List<String> command(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-ea",
                "-cp",
                PackedClasses.path(),
                "calicochute.cli.Main"));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Starts the program with assertions on, as built, and sends what it prints to a file. */
    static Process start(Path log, String... arguments) throws IOException {
        return start("", log, arguments);
    }

    private static Process start(String shell, Path log, String... arguments) throws IOException {
        List<String> command = command(arguments);
        command.addAll(0, List.of("sh", "-c", shell + "exec \"$@\"", "sh"));
        Process started = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(new File(log.toString()))
                .start();
        // Guards against a program that outlives its tests and calls a port that is another test's by then.
        Thread end = new Thread(started::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(end);
        started.onExit().thenRun(() -> forget(end));
        return started;
    }

    private static void forget(Thread end) {
        try {
            Runtime.getRuntime().removeShutdownHook(end);
        } catch (IllegalStateException e) {
            // The hooks are being run.
        }
    }

    static String list(int generation, String lifecycle, Peer... servers) {
        return list(generation, lifecycle, addresses(servers));
    }

    static String list(int generation, String lifecycle, String... servers) {
        StringBuilder entries = new StringBuilder();
        for (String server : servers) {
            entries.append(entries.isEmpty() ? "" : ",")
                    .append("{\"instanceId\":\"s")
                    .append(server)
                    .append("\",\"hostPort\":\"")
                    .append(server)
                    .append("\",\"zone\":\"a\",\"cell\":0,")
                    .append("\"lifecycle\":\"")
                    .append(lifecycle)
                    .append("\",\"weight\":1.0,\"startedAtMs\":0}");
        }
        return "{\"generation\":" + generation + ",\"reset\":" + (generation == 1) + ",\"instances\":[" + entries
                + "]}";
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long latest = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            assertTrue("waited in vain: " + what, System.nanoTime() < latest);
            Thread.sleep(10);
        }
    }

    /** The head of a session of a class, ready for {@link #send}. */
    static String session(String id, String lane) {
        return (lane.equals("view") ? "GET" : "POST") + " /api?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id
                + "\r\nX-Lane: " + lane + "\r\nX-Org: library\r\nX-Remaining-Ms: 8000\r\n"
                + (lane.equals("scan") ? "Idempotency-Key: k1\r\n" : "");
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(30_000);
        return socket;
    }

    Http send(String head) throws IOException {
        return send(head, new byte[0]);
    }

    Http send(String head, byte[] body) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(Http.message(head, body));
            Http answer = Http.read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("no answer");
            }
            return answer;
        }
    }

    /** A call to the second address; {@code call} such as {@code GET health}. */
    Http admin(String call, String body) throws IOException {
        return admin(admin, call, body);
    }

    static Http admin(int port, String call, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write(Http.message(
                            call.replace(" ", " /admin/") + " HTTP/1.1\r\nHost: a\r\n",
                            body.getBytes(StandardCharsets.UTF_8)));
            Http answer = Http.read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("no answer");
            }
            return answer;
        }
    }

    /** One of the figures; -1 if there is none of that name. */
    long figure(String name) throws IOException {
        for (String line : new String(admin("GET stats", "").body(), StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("app." + name + ":")) {
                return Long.parseLong(line.replaceAll(".*:(\\d+)\\|[cg]", "$1"));
            }
        }
        return -1;
    }

    static String host(Peer server) {
        return "{\"host\":\"s" + server.address() + "\"}";
    }

    long counter(String name) throws IOException {
        String text = new String(send("GET /counters HTTP/1.1\r\nHost: a\r\n").body());
        return Long.parseLong(text.replaceAll("(?s).*\\b" + name + " (\\d+).*", "$1"));
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Waits until the other side ends a connection, whatever it still sends. */
    static boolean ended(Socket socket) throws IOException {
        socket.setSoTimeout(30_000);
        try {
            while (socket.getInputStream().read() >= 0) {
                // What is left of a body that ends with the connection.
            }
        } catch (SocketException e) {
            // Reset: ended as well.
        }
        return true;
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Ends the program as a planned restart does, and looks at its last words. */
    void stop() throws Exception {
        process.destroy();
        assertTrue("did not end", process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(log(), log().contains("invariants_broken 0") && log().contains("module_faults 0"));
    }
}
