package calicochute.process;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Prints a table of the time that balancer processes take to become ready when many start at once on few cores; it is
 * the second table of docs/measurements/cold-fleet-processes.md. Run from the root of the repository after a build:
 * {@code ReadyTable PROCESSES CORES}, for example {@code 24 2,3}.
 */
final class ReadyTable {
    /** Limit of the column "ready within 10 s". */
    private static final long READY_LIMIT_MS = 10_000;
    /** Processes that are not ready after this time are given up. */
    private static final long READY_TIMEOUT_MS = 40_000;
    /** Time for which the clients continue after the last readiness probe has ended. */
    private static final long EXTRA_LOAD_MS = 3000;

    private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");
    private final int processes;
    private final String cores;
    private final String run;

    /** How the discovery service responds. */
    private enum DiscoveryBehavior {
        ANSWERED,
        REFUSED,
        SILENT,
        SLOW
    }

    private ReadyTable(int processes, String cores) throws IOException {
        this.processes = processes;
        this.cores = cores;
        Matcher line = RUN_COMMAND.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("no run command in deploy/balancer.toml");
        }
        run = line.group(1);
    }

    public static void main(String[] args) throws Exception {
        ReadyTable table = new ReadyTable(Integer.parseInt(args[0]), args[1]);
        System.out.println(
                "| list known at the start | calls to discovery | ready within 10 s "
                        + "| to ready, s: median, nine in ten, last | to the first connection, s: median, last "
                        + "| to the first answer, s: median, last | answered 200, denied, else, broken | load of the machine before |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (boolean known : new boolean[] {true, false}) {
            for (DiscoveryBehavior behavior : DiscoveryBehavior.values()) {
                // Without a known list no process becomes ready before discovery reports one, so these rows would
                // only time out.
                if (known || behavior == DiscoveryBehavior.ANSWERED || behavior == DiscoveryBehavior.SLOW) {
                    table.row(known, behavior);
                }
            }
        }
    }

    private void row(boolean known, DiscoveryBehavior behavior) throws Exception {
        String loadAverage = Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
        CountDownLatch release = new CountDownLatch(1);
        List<Instance> instances = new ArrayList<>();
        try (ScriptedServer server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
                ScriptedServer discovery = discovery(behavior, server, release);
                Socket refusing = new Socket()) {
            // Bound but not listening: connections are refused, and no other socket gets the port.
            refusing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String discoveryAddress = behavior == DiscoveryBehavior.REFUSED
                    ? "127.0.0.1:" + refusing.getLocalPort()
                    : discovery.address();
            for (int i = 0; i < processes; i++) {
                instances.add(new Instance(i, known, discovery, discoveryAddress, server));
            }
            for (Instance instance : instances) {
                instance.start();
            }
            for (Instance instance : instances) {
                instance.readinessProbe.join();
            }
            Thread.sleep(EXTRA_LOAD_MS);
            for (Instance instance : instances) {
                instance.stopping = true;
                instance.client.join();
            }
            instances.forEach(instance -> instance.process.destroy());
            for (Instance instance : instances) {
                instance.awaitExit();
            }
        } finally {
            release.countDown();
            instances.forEach(instance -> instance.process.destroyForcibly());
        }
        long readyInTime = instances.stream()
                .filter(instance -> instance.readyMs >= 0 && instance.readyMs <= READY_LIMIT_MS)
                .count();
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d of %d | %s, %s, %s | %s, %s | %s, %s | %d, %d, %d, %d | %s |%n",
                known ? "yes" : "no",
                behavior.name().toLowerCase(Locale.ROOT),
                readyInTime,
                processes,
                quantileSeconds(instances, 0.5, 'r'),
                quantileSeconds(instances, 0.9, 'r'),
                quantileSeconds(instances, 1, 'r'),
                quantileSeconds(instances, 0.5, 'l'),
                quantileSeconds(instances, 1, 'l'),
                quantileSeconds(instances, 0.5, 'a'),
                quantileSeconds(instances, 1, 'a'),
                sum(instances, 0),
                sum(instances, 1),
                sum(instances, 2),
                sum(instances, 3),
                loadAverage);
    }

    private static ScriptedServer discovery(DiscoveryBehavior behavior, ScriptedServer server, CountDownLatch release)
            throws IOException {
        return behavior == DiscoveryBehavior.SILENT
                ? ScriptedServer.silent(release)
                : new ScriptedServer(r -> {
                    Thread.sleep(behavior == DiscoveryBehavior.SLOW ? 2000 : 0);
                    Matcher watch = Pattern.compile("since=2&timeout_ms=(\\d+)").matcher(r.firstLine());
                    if (watch.find()) {
                        // Without changes to report, a watch is held for the requested time.
                        release.await(Long.parseLong(watch.group(1)), TimeUnit.MILLISECONDS);
                        return HttpMessage.response(200, "", "{\"generation\":2,\"reset\":false,\"instances\":[]}");
                    }
                    return HttpMessage.response(
                            200,
                            "",
                            BalancerProcess.discoveryList(1, "Ready", server)
                                    .replace("\"generation\":1", "\"generation\":2"));
                });
    }

    private static long sum(List<Instance> instances, int outcome) {
        return instances.stream()
                .mapToInt(instance -> instance.outcomes[outcome].get())
                .sum();
    }

    /**
     * Returns the time in seconds within which this share of the processes reached the moment ('r' ready, 'l'
     * listening, 'a' first answer), or a dash if fewer did.
     */
    private static String quantileSeconds(List<Instance> instances, double share, char moment) {
        long[] times = instances.stream()
                .mapToLong(instance ->
                        moment == 'r' ? instance.readyMs : moment == 'l' ? instance.listensMs : instance.answeredMs)
                .map(t -> t < 0 ? Long.MAX_VALUE : t)
                .sorted()
                .toArray();
        long timeMs = times[(int) Math.ceil(share * times.length) - 1];
        return timeMs == Long.MAX_VALUE ? "-" : String.format(Locale.ROOT, "%.2f", timeMs / 1e3);
    }

    /** One balancer process with a readiness probe and a client, both of which start before it listens. */
    private final class Instance {
        /**
         * A loopback address that no connection is made from. Otherwise a connection could get the port before the
         * process binds it, or connect to itself.
         */
        final InetAddress address;

        final int port;
        final Path config = Files.createTempFile("calicochute", ".json");
        final Path log = Files.createTempFile("calicochute", ".log");
        final Thread readinessProbe = new Thread(this::awaitReady);
        final Thread client = new Thread(this::sendSessions);
        /** Counts by outcome: status 200, status 503, any other status, connection failed. */
        final AtomicInteger[] outcomes = {
            new AtomicInteger(), new AtomicInteger(), new AtomicInteger(), new AtomicInteger()
        };

        Process process;
        volatile boolean stopping;
        volatile long readyMs = -1;
        volatile long listensMs = -1;
        volatile long answeredMs = -1;
        private long startNanos;

        Instance(int number, boolean known, ScriptedServer discovery, String discoveryAddress, ScriptedServer server)
                throws IOException {
            this.address = InetAddress.getByName("127.0.1." + (1 + number));
            try (ServerSocket free = new ServerSocket(0, 1, this.address)) {
                port = free.getLocalPort();
            }
            String configuration = BalancerProcess.configuration(port, 0, 1024, discovery, server)
                    .replace("\"127.0.0.1:" + port + "\"", "\"" + this.address.getHostAddress() + ":" + port + "\"")
                    .replace("\"" + discovery.address() + "\"", "\"" + discoveryAddress + "\"");
            Files.writeString(config, known ? configuration : configuration.replaceAll("\"known\":\\{.*?\\]\\},", ""));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("taskset", "-c", cores, "/bin/sh", "-c", run);
            builder.environment().put("PROXY_CONFIG", config.toString());
            startNanos = System.nanoTime();
            process = builder.redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            readinessProbe.start();
            client.start();
        }

        private long elapsedMs() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        }

        private HttpMessage send(String head, boolean firstConnection) throws IOException {
            try (Socket socket = new Socket(address, port)) {
                socket.setSoTimeout(30_000);
                if (firstConnection && listensMs < 0) {
                    listensMs = elapsedMs();
                }
                try {
                    socket.getOutputStream().write(HttpMessage.encode(head, new byte[0]));
                    HttpMessage response = HttpMessage.read(socket.getInputStream());
                    if (response == null) {
                        throw new EOFException("connection closed without a response");
                    }
                    return response;
                } catch (IOException e) {
                    outcomes[3].incrementAndGet();
                    return null;
                }
            }
        }

        private void awaitReady() {
            while (elapsedMs() < READY_TIMEOUT_MS) {
                try {
                    HttpMessage response = send("GET /ready HTTP/1.1\r\nHost: a\r\n", false);
                    if (response != null && response.status() == 200) {
                        readyMs = elapsedMs();
                        return;
                    }
                } catch (IOException e) {
                    // The process does not listen yet.
                }
                pause(25);
            }
        }

        private void sendSessions() {
            for (int sent = 0; !stopping; sent++) {
                try {
                    HttpMessage response =
                            send(BalancerProcess.session(String.format("%08x%08x", port, sent), "view"), true);
                    if (response != null) {
                        outcomes[response.status() == 200 ? 0 : response.status() == 503 ? 1 : 2].incrementAndGet();
                        answeredMs = answeredMs < 0 && response.status() == 200 ? elapsedMs() : answeredMs;
                        pause(200);
                    }
                } catch (IOException e) {
                    pause(10);
                }
            }
        }

        private void pause(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void awaitExit() throws Exception {
            if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
                throw new IOException("did not exit with status 0; its log: " + Files.readString(log));
            }
            Files.delete(config);
            Files.delete(log);
        }
    }
}
