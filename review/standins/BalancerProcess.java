import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One balancer as a process of its own, started with the run line of the deploy file. */
final class BalancerProcess implements AutoCloseable {
    /** Settings of the first deployment, with one tenant and one zone; the classes and limits are its own. */
    static final String SETTINGS = """
            {"accounts":[{"allowance_per_s":1000.0,"name":"state-archive","portion":1.0}],"balancers":1,
            "caps":{"cancel":true,"conn_idle":30000000,"connect_timeout":150000,"max_attempts":3,"max_open":20000,
            "max_retry_after":3000000,"peers":PEERS,"probes":true,"retry_after":true,"second_copies":false,
            "streams_per_conn":1},
            "classes":[
            {"name":"view-map","deadline":7500000,"objective":2500000,"effect":"repeatable","key_scope":"all",
            "points":1.0,"late_worth":0.0,"streaming":false,"window":5000000},
            {"name":"order-copy","deadline":8000000,"objective":3000000,"effect":"once","key_scope":"all",
            "points":5.0,"late_worth":0.0,"streaming":false,"window":5000000},
            {"name":"register-scan","deadline":4000000,"objective":1500000,"effect":"by_key","key_scope":"all",
            "points":3.0,"late_worth":0.0,"streaming":false,"window":7500000}],
            "client_habits":{"marks_retry":true},"dcs":["a"],"discovery":"on_request",
            "domain":{"passes_deadline":false},"family":"chain","flavors":["front-std"],
            "goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.25,"worst_window":0.15},
            "layer":LAYER,"layers":["front","catalogue"],"me":0,
            "obligations":{"answer_slack":20000,"ask_every":10000000,"cold_from":0.32,"drain_grace":3000000,
            "fall":3000000,"fall_multiple":3.0,"warm_up":8900000},
            "over_share_worth":0.05,"prices":{"cross_zone":0.0,"late_fail":0.03,"probe":0.0081,"waste":0.2},
            "report":{"fields":["rif","rate"],"source":"pull"},"tick":5000,"weights":"nominal","worth_by":"work",
            "zone":"a"}""";

    final Process process;
    final int port;
    final int adminPort;
    final Path config;
    final Path log;

    /** Writes the configuration of a balancer. */
    static Path configuration(
            Path folder, String name, int port, int adminPort, String discovery, String known, String settings)
            throws IOException {
        Path file = folder.resolve(name + "-" + port + "-" + adminPort + ".json");
        Files.writeString(
                file,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\","
                        + (adminPort == 0 ? "" : "\"admin_addr\":\"127.0.0.1:" + adminPort + "\",")
                        + "\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                        + ",\"settings\":" + settings + "}");
        return file;
    }

    /** The run line of the deploy file. */
    static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    BalancerProcess(Path root, Path config, Path temporary, int port, int adminPort, Path log, Map<String, String> more)
            throws IOException {
        this.port = port;
        this.adminPort = adminPort;
        this.config = config;
        this.log = log;
        Files.createDirectories(temporary);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", runLine(root));
        builder.directory(root.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().putAll(more);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
        // Also where the case itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Waits until {@code GET /ready} says yes; false if it does not in time. */
    boolean awaitReady(long ms) {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            if (get("/ready").startsWith("200 ")) {
                return true;
            }
            Threads.sleep(50);
        }
        return false;
    }

    /** Status and text of one of the balancer's own pages; empty if there is no answer. */
    String get(String path) {
        return call(port, "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }

    static String call(int port, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(Http.bytes(request));
            Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
            return answer == null ? "" : answer.status() + " " + answer.text();
        } catch (IOException e) {
            return "";
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
