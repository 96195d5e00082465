package calicochute.lab.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.lab.network.DatagramProxy;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A few real balancer processes in front of scripted backend servers; the balancers' datagrams pass through a proxy
 * that can inject faults.
 */
final class SmallFleet implements AutoCloseable {
    private static final String SETTINGS = """
        {"accounts":[{"allowance_per_s":1000.0,"name":"library","portion":1.0}],"balancers":%d,"me":%d,
        "caps":{"cancel":true,"conn_idle":30000000,"connect_timeout":500000,"max_attempts":3,"max_open":2000,"peers":%s,
        "max_retry_after":3000000,"retry_after":true,"second_copies":false},
        "classes":[
        {"deadline":900000,"effect":"repeatable","key_scope":"all","name":"view","objective":800000,"points":1.0},
        {"deadline":900000,"effect":"once","key_scope":"all","name":"order","objective":800000,"points":5.0}],
        "client_habits":{"marks_retry":true},"discovery":"on_request","layer":0,
        "obligations":{"ask_every":1000000,"drain_grace":3000000,"warm_up":1000,"cold_from":0.5,"fall":3000000,
        "fall_multiple":3.0},"tick":5000,"zone":"a"}""";
    private static final String ORDER_METHOD = "POST";

    /** Gives the status code with which a backend server responds. */
    interface Script extends Function<HttpExchange, Integer> {}

    final DatagramProxy proxy;
    final Path folder;
    private final int size;
    private final boolean peers;
    private final String operatorFileRest;
    private final boolean keepsState;
    private final HttpServer discovery;
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, Script> scripts = new ConcurrentHashMap<>();
    private final Map<String, String> kinds = new ConcurrentHashMap<>();
    private final Process[] processes;
    private final int[] listenPorts;
    private final int[] adminPorts;
    private final int[] startCounts;
    private final CountDownLatch closed = new CountDownLatch(1);
    private final AtomicLong sessions = new AtomicLong();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();

    /**
     * @param kinds the kind of each server
     * @param operatorFileRest the part of the operator's file after the peers, such as {@code experiments: [...]}
     * @param peers whether the settings allow datagrams between balancers
     * @param keepsState whether balancers have a state folder
     */
    SmallFleet(int size, long seed, List<String> kinds, String operatorFileRest, boolean peers, boolean keepsState)
            throws Exception {
        this.size = size;
        this.operatorFileRest = operatorFileRest;
        this.peers = peers;
        this.keepsState = keepsState;
        folder = Files.createTempDirectory("calicochute-fleet");
        proxy = DatagramProxy.onLoopback(size, seed);
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        discovery.setExecutor(Executors.newCachedThreadPool(task -> daemon(task)));
        discovery.createContext("/", this::watch);
        discovery.start();
        for (String kind : kinds) {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            String id = "s" + servers.size();
            this.kinds.put(id, kind);
            scripts.put(id, exchange -> 200);
            server.setExecutor(Executors.newCachedThreadPool(task -> daemon(task)));
            server.createContext(
                    "/", exchange -> respond(exchange, scripts.get(id).apply(exchange), "a map"));
            server.start();
            servers.add(server);
        }
        processes = new Process[size];
        listenPorts = new int[size];
        adminPorts = new int[size];
        startCounts = new int[size];
        for (int i = 0; i < size; i++) {
            listenPorts[i] = freePort();
            adminPorts[i] = freePort();
        }
        for (int i = 0; i < size; i++) {
            launch(i);
        }
        for (int i = 0; i < size; i++) {
            awaitReady(i);
        }
    }

    /** Sends the complete list first; as nothing changes, later calls wait until their timeout or the fleet's end. */
    private void watch(HttpExchange exchange) throws IOException {
        String query = String.valueOf(exchange.getRequestURI().getQuery());
        if (!query.contains("since=1")) {
            respond(exchange, 200, list());
            return;
        }
        try {
            closed.await(Long.parseLong(query.replaceAll(".*timeout_ms=(\\d+).*", "$1")), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        respond(exchange, 200, "{\"generation\":1,\"reset\":false,\"instances\":[]}");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static int freePort() throws IOException {
        return Ports.free();
    }

    /** Sets how a server responds. */
    void script(int server, Script script) {
        scripts.put("s" + server, script);
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getRequestBody().readAllBytes();
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private String list() {
        return IntStream.range(0, servers.size())
                .mapToObj(i -> "{\"instanceId\":\"s" + i + "\",\"hostPort\":\"127.0.0.1:"
                        + servers.get(i).getAddress().getPort() + "\",\"zone\":\"a\",\"cell\":0,\"machineType\":\""
                        + kinds.get("s" + i)
                        + "\",\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}")
                .collect(Collectors.joining(",", "{\"generation\":1,\"reset\":true,\"instances\":[", "]}"));
    }

    /** Starts a balancer, for the first time or again; {@link #awaitReady} waits for it. */
    void launch(int i) throws IOException {
        Path config = folder.resolve("n" + i + ".json");
        Files.writeString(
                config,
                "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + listenPorts[i] + "\",\"admin_addr\":\"127.0.0.1:"
                        + adminPorts[i]
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.getAddress().getPort() + "\",\"seed\":\"" + (i + 1)
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512},\"known\":" + list()
                        + ",\"settings\":"
                        + SETTINGS.formatted(size, i, peers) + "}");
        Path file = operatorFile(i);
        writeOperatorFile(i, operatorFileRest);
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-ea",
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "calicochute.cli.Main",
                "serve",
                "--config",
                config.toString()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log(i, startCounts[i]++).toFile());
        builder.environment().put("PROXY_FLEET", file.toString());
        processes[i] = builder.start();
    }

    Path operatorFile(int i) {
        return folder.resolve("n" + i + ".yaml");
    }

    void writeOperatorFile(int i, String rest) throws IOException {
        Files.writeString(
                operatorFile(i),
                "cluster: archive\nme: n" + i + "\nlisten: 127.0.0.1:"
                        + proxy.processAddress(i).getPort() + "\npeers:\n"
                        + IntStream.range(0, size)
                                .mapToObj(p -> "  - {id: n" + p + ", address: \"127.0.0.1:"
                                        + proxy.proxyAddress(p).getPort() + "\"}\n")
                                .collect(Collectors.joining())
                        + (keepsState ? "state: " + folder.resolve("state") + "\n" : "") + rest);
    }

    private Path log(int i, int start) {
        return folder.resolve("n" + i + "." + start + ".log");
    }

    /** The log of the present process, or of the last one. */
    String log(int i) throws IOException {
        return Files.readString(log(i, startCounts[i] - 1));
    }

    void awaitReady(int i) throws Exception {
        await(
                "balancer " + i + " ready",
                () -> get(listenPorts[i], "/ready", Map.of()).statusCode() == 200);
    }

    private HttpResponse<String> get(int port, String path, Map<String, String> fields) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(10));
        fields.forEach(request::header);
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a session of class view through a balancer and returns its status. */
    int view(int balancer) throws Exception {
        return get(listenPorts[balancer], "/api", fields("view")).statusCode();
    }

    /** Sends a session of class order through a balancer and returns its status. */
    int order(int balancer) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listenPorts[balancer] + "/api"))
                .timeout(Duration.ofSeconds(10));
        fields("order").forEach(request::header);
        return client.send(
                        request.method(ORDER_METHOD, HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    private Map<String, String> fields(String lane) {
        return Map.of(
                "X-Txn",
                String.format("%016x", sessions.incrementAndGet()),
                "X-Lane",
                lane,
                "X-Org",
                "library",
                "X-Remaining-Ms",
                "800");
    }

    String admin(int balancer, String call) throws Exception {
        return get(adminPorts[balancer], "/admin/" + call, Map.of()).body();
    }

    /** The value of a name in the answer of {@code /admin/fleet}; -1 if there is none. */
    long figure(int balancer, String name) throws Exception {
        return Arrays.stream(admin(balancer, "fleet").split("\n"))
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(
                        line -> Long.parseLong(line.substring(name.length() + 1).trim()))
                .findFirst()
                .orElse(-1);
    }

    long pid(int i) {
        return processes[i].pid();
    }

    boolean runs(int i) {
        return processes[i].isAlive();
    }

    void signal(int i, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid()))
                        .start()
                        .waitFor());
    }

    void kill(int i) throws Exception {
        processes[i].destroyForcibly();
        assertTrue(processes[i].waitFor(30, TimeUnit.SECONDS));
    }

    /** Waits for the latch, at most 30 s. */
    static void awaitRelease(CountDownLatch release) {
        try {
            release.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static <T> T unchecked(Callable<T> call) {
        try {
            return call.call();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits for a condition, for as long as a slow machine may need. */
    static void await(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(90);
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // Retried until the deadline.
            }
            assertTrue("condition not met in time: " + description, System.nanoTime() < deadline);
            Thread.sleep(20);
        }
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        for (int i = 0; i < size; i++) {
            if (processes[i] != null) {
                processes[i].destroyForcibly();
            }
        }
        proxy.close();
        servers.forEach(server -> server.stop(0));
        discovery.stop(0);
        for (int i = 0; i < size; i++) {
            String log = log(i);
            assertTrue(log, !log.contains("decision-fault") && !log.contains("invariant-broken"));
        }
    }
}
