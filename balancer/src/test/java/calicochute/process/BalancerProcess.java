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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A balancer that runs in a child process with the configuration of a small site. */
final class BalancerProcess {
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
    /** Port of the admin address; 0 without one. */
    final int adminPort;

    final Path config;
    private final Path log;

    BalancerProcess(ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        this("", 1024, discovery, servers);
    }

    /** {@code shell} is run before the command, for example to set a resource limit. */
    BalancerProcess(String shell, int sockets, ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        this(shell, sockets, 0, discovery, addresses(servers));
    }

    /** With an admin address. */
    static BalancerProcess withAdmin(ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        return new BalancerProcess("", 1024, freePort(), discovery, addresses(servers));
    }

    /** With a shell command that is run before. */
    static BalancerProcess withShell(String shell, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return new BalancerProcess(shell, 1024, discovery, servers);
    }

    /** With the addresses of backend servers that are not {@link ScriptedServer}s. */
    static BalancerProcess withBackends(ScriptedServer discovery, String... servers) throws Exception {
        return new BalancerProcess("", 1024, 0, discovery, servers);
    }

    /** With an admin address, and the address of one backend server that is not a {@link ScriptedServer}. */
    static BalancerProcess withAdminAndBackend(ScriptedServer discovery, String server) throws Exception {
        return new BalancerProcess("", 1024, freePort(), discovery, server);
    }

    /** With an admin address, and a descriptor limit below the one in its configuration. */
    static BalancerProcess withTooFewDescriptors(int descriptors, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return new BalancerProcess("ulimit -n " + descriptors + "; ", 1024, freePort(), discovery, addresses(servers));
    }

    /** With an admin address, and a descriptor limit that equals the one in its configuration. */
    static BalancerProcess withDescriptorLimit(int descriptors, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return new BalancerProcess(
                "ulimit -n " + descriptors + "; ", descriptors, freePort(), discovery, addresses(servers));
    }

    /** With an admin address and a maximum heap size in the notation of {@code -Xmx}. */
    static BalancerProcess withMaxHeap(String heap, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return new BalancerProcess(
                "export JAVA_TOOL_OPTIONS=-Xmx" + heap + "; ", 1024, freePort(), discovery, addresses(servers));
    }

    /** With the JVM flags of the deploy file and a configuration that is edited before the start. */
    static BalancerProcess withDeployedFlags(
            UnaryOperator<String> edit, ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        return new BalancerProcess(exportDeployedFlags(), 1024, 0, edit, discovery, addresses(servers));
    }

    /**
     * Returns a shell command that sets the JVM flags of the deploy file, without the class data archive and the log
     * options, which belong to the built files and not to the memory limits.
     */
    static String exportDeployedFlags() throws IOException {
        return "export JAVA_TOOL_OPTIONS='" + deployedFlags() + "'; ";
    }

    /** Returns the JVM flags of the deploy file, as for {@link #exportDeployedFlags}. */
    static String deployedFlags() throws IOException {
        Matcher runCommand = Pattern.compile("(?m)^run = \"exec java (.*) -jar ")
                .matcher(Files.readString(Path.of("../deploy/balancer.toml")));
        assertTrue(runCommand.find());
        return runCommand
                .group(1)
                .replaceAll("-XX:SharedArchiveFile=\\S+|-Xlog:\\S+", "")
                .trim();
    }

    /** With a configuration that is edited before the start. */
    static BalancerProcess withEditedConfig(
            UnaryOperator<String> edit, ScriptedServer discovery, ScriptedServer... servers) throws Exception {
        return new BalancerProcess("", 1024, 0, edit, discovery, addresses(servers));
    }

    private static String[] addresses(ScriptedServer... servers) {
        return Arrays.stream(servers).map(ScriptedServer::address).toArray(String[]::new);
    }

    /** Returns a port that stays free until the balancer binds it. */
    static int freePort() throws IOException {
        return Ports.free();
    }

    private BalancerProcess(String shell, int sockets, int adminPort, ScriptedServer discovery, String... servers)
            throws Exception {
        this(shell, sockets, adminPort, UnaryOperator.identity(), discovery, servers);
    }

    private BalancerProcess(
            String shell,
            int sockets,
            int adminPort,
            UnaryOperator<String> edit,
            ScriptedServer discovery,
            String... servers)
            throws Exception {
        port = freePort();
        this.adminPort = adminPort;
        config = Files.createTempFile("calicochute", ".json");
        Files.writeString(config, edit.apply(configuration(port, adminPort, sockets, discovery, servers)));
        log = Files.createTempFile("calicochute", ".log");
        process = start(shell, log, "serve", "--config", config.toString());
        boolean started = false;
        try {
            await("ready", () -> {
                assertTrue("exited during startup: " + log(), process.isAlive());
                // /ready can answer before startup is complete, or from another process at this port, so the log is
                // checked too.
                return log().contains(" INFO serving ")
                        && send("GET /ready HTTP/1.1\r\nHost: a\r\n").status() == 200;
            });
            started = true;
        } finally {
            if (!started) {
                process.destroyForcibly();
            }
        }
    }

    /** Returns the text of a configuration file; {@code adminPort} 0 stands for no admin address. */
    static String configuration(
            int port, int adminPort, int sockets, ScriptedServer discovery, ScriptedServer... servers) {
        return configuration(port, adminPort, sockets, discovery, addresses(servers));
    }

    private static String configuration(
            int port, int adminPort, int sockets, ScriptedServer discovery, String... servers) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                + (adminPort == 0 ? "" : "\"admin_addr\":\"127.0.0.1:" + adminPort + "\",") + "\"discovery\":\""
                + discovery.address()
                + "\",\"seed\":\"2a\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":" + sockets
                + "},\"known\":"
                + discoveryList(1, "Ready", servers) + ",\"settings\":" + SETTINGS + "}";
    }

    /** The command that starts the compiled balancer with assertions enabled. */
    static List<String> command(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-ea",
                "-cp",
                JarredClassPath.path(),
                "calicochute.cli.Main"));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Starts the compiled balancer with assertions enabled and writes its output to a file. */
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
        // A balancer that outlives its tests could connect to a port that another test uses by then.
        Thread killer = new Thread(started::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(killer);
        started.onExit().thenRun(() -> removeHook(killer));
        return started;
    }

    private static void removeHook(Thread killer) {
        try {
            Runtime.getRuntime().removeShutdownHook(killer);
        } catch (IllegalStateException e) {
            // The shutdown hooks are already running.
        }
    }

    /**
     * Returns discovery's list of the servers, all in one lifecycle state; generation 1 is a full list, others are
     * changes.
     */
    static String discoveryList(int generation, String lifecycle, ScriptedServer... servers) {
        return discoveryList(generation, lifecycle, addresses(servers));
    }

    static String discoveryList(int generation, String lifecycle, String... servers) {
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

    /** Polls until the condition holds, for 30 s at most; an {@link IOException} counts as false. */
    static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // The condition does not hold yet.
            }
            assertTrue("timed out waiting for: " + what, System.nanoTime() < deadline);
            Thread.sleep(10);
        }
    }

    /** Returns the request head of a session of one class, without the final empty line, for {@link #send}. */
    static String session(String sessionId, String lane) {
        return (lane.equals("view") ? "GET" : "POST") + " /api?q=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: "
                + sessionId
                + "\r\nX-Lane: " + lane + "\r\nX-Org: library\r\nX-Remaining-Ms: 8000\r\n"
                + (lane.equals("scan") ? "Idempotency-Key: k1\r\n" : "");
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(30_000);
        return socket;
    }

    HttpMessage send(String head) throws IOException {
        return send(head, new byte[0]);
    }

    HttpMessage send(String head, byte[] body) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(HttpMessage.encode(head, body));
            HttpMessage response = HttpMessage.read(socket.getInputStream());
            if (response == null) {
                throw new EOFException("connection closed without a response");
            }
            return response;
        }
    }

    /** Calls the admin address; {@code call} is for example {@code GET health}. */
    HttpMessage callAdmin(String call, String body) throws IOException {
        return callAdmin(adminPort, call, body);
    }

    static HttpMessage callAdmin(int port, String call, String body) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write(HttpMessage.encode(
                            call.replace(" ", " /admin/") + " HTTP/1.1\r\nHost: a\r\n",
                            body.getBytes(StandardCharsets.UTF_8)));
            HttpMessage response = HttpMessage.read(socket.getInputStream());
            if (response == null) {
                throw new EOFException("connection closed without a response");
            }
            return response;
        }
    }

    /** Returns one of the statistics of the admin address, or -1 if there is none of that name. */
    long stat(String name) throws IOException {
        for (String line : new String(callAdmin("GET stats", "").body(), StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("app." + name + ":")) {
                return Long.parseLong(line.replaceAll(".*:(\\d+)\\|[cg]", "$1"));
            }
        }
        return -1;
    }

    /** Returns the body of an admin call that concerns one backend server. */
    static String hostBody(ScriptedServer server) {
        return "{\"host\":\"s" + server.address() + "\"}";
    }

    long counter(String name) throws IOException {
        String text = new String(send("GET /counters HTTP/1.1\r\nHost: a\r\n").body());
        return Long.parseLong(text.replaceAll("(?s).*\\b" + name + " (\\d+).*", "$1"));
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Reads and discards until the other side closes or resets the connection; always true. */
    static boolean awaitEnd(Socket socket) throws IOException {
        socket.setSoTimeout(30_000);
        try {
            while (socket.getInputStream().read() >= 0) {
                // The rest of a body is discarded.
            }
        } catch (SocketException e) {
            // A reset ends the connection too.
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

    /** Stops the balancer with SIGTERM and checks the error counters that it logs at the end. */
    void stop() throws Exception {
        process.destroy();
        assertTrue("did not exit", process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(log(), log().contains("invariants_broken 0") && log().contains("module_faults 0"));
    }
}
