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
 * Prints the second table of docs/measurements/cold-fleet-processes.md: how long processes of the program take to be
 * ready that are started together on few cores. Started from the root of the repository, as built: {@code ReadyTable
 * PROCESSES CORES}, such as {@code 24 2,3}.
 */
final class ReadyTable {
    private static final long WITHIN_MS = 10_000;
    private static final long LATEST_MS = 40_000;
    private static final long AFTERWARDS_MS = 3000;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private final int processes;
    private final String cores;
    private final String run;

    /** What becomes of calls to discovery. */
    private enum Calls {
        ANSWERED,
        REFUSED,
        SILENT,
        SLOW
    }

    private ReadyTable(int processes, String cores) throws IOException {
        this.processes = processes;
        this.cores = cores;
        Matcher line = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("no run in deploy/balancer.toml");
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
            for (Calls calls : Calls.values()) {
                // Without a list nobody is ready before discovery has told one: the limit would only pass.
                if (known || calls == Calls.ANSWERED || calls == Calls.SLOW) {
                    table.row(known, calls);
                }
            }
        }
    }

    private void row(boolean known, Calls calls) throws Exception {
        String load = Files.readString(Path.of("/proc/loadavg")).split(" ")[0];
        CountDownLatch release = new CountDownLatch(1);
        List<Started> all = new ArrayList<>();
        try (Peer server = new Peer(r -> Http.answer(200, "", "a map"));
                Peer discovery = discovery(calls, server, release);
                Socket none = new Socket()) {
            // Bound and not listening: whoever calls is refused, and nobody else gets the port.
            none.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = calls == Calls.REFUSED ? "127.0.0.1:" + none.getLocalPort() : discovery.address();
            for (int i = 0; i < processes; i++) {
                all.add(new Started(i, known, discovery, address, server));
            }
            for (Started one : all) {
                one.start();
            }
            for (Started one : all) {
                one.ready.join();
            }
            Thread.sleep(AFTERWARDS_MS);
            for (Started one : all) {
                one.over = true;
                one.client.join();
            }
            all.forEach(one -> one.process.destroy());
            for (Started one : all) {
                one.ended();
            }
        } finally {
            release.countDown();
            all.forEach(one -> one.process.destroyForcibly());
        }
        long within = all.stream()
                .filter(one -> one.readyMs >= 0 && one.readyMs <= WITHIN_MS)
                .count();
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d of %d | %s, %s, %s | %s, %s | %s, %s | %d, %d, %d, %d | %s |%n",
                known ? "yes" : "no",
                calls.name().toLowerCase(Locale.ROOT),
                within,
                processes,
                at(all, 0.5, 'r'),
                at(all, 0.9, 'r'),
                at(all, 1, 'r'),
                at(all, 0.5, 'l'),
                at(all, 1, 'l'),
                at(all, 0.5, 'a'),
                at(all, 1, 'a'),
                sum(all, 0),
                sum(all, 1),
                sum(all, 2),
                sum(all, 3),
                load);
    }

    private static Peer discovery(Calls calls, Peer server, CountDownLatch release) throws IOException {
        return calls == Calls.SILENT
                ? Peer.silent(release)
                : new Peer(r -> {
                    Thread.sleep(calls == Calls.SLOW ? 2000 : 0);
                    Matcher watch = Pattern.compile("since=2&timeout_ms=(\\d+)").matcher(r.firstLine());
                    if (watch.find()) {
                        // With nothing newer to tell it holds a watch for as long as it is asked to.
                        release.await(Long.parseLong(watch.group(1)), TimeUnit.MILLISECONDS);
                        return Http.answer(200, "", "{\"generation\":2,\"reset\":false,\"instances\":[]}");
                    }
                    return Http.answer(
                            200, "", Program.list(1, "Ready", server).replace("\"generation\":1", "\"generation\":2"));
                });
    }

    private static long sum(List<Started> all, int what) {
        return all.stream().mapToInt(one -> one.ends[what].get()).sum();
    }

    /** The smallest time that this part of the processes kept to, in seconds; a dash where fewer got there. */
    private static String at(List<Started> all, double part, char what) {
        long[] times = all.stream()
                .mapToLong(one -> what == 'r' ? one.readyMs : what == 'l' ? one.listensMs : one.answeredMs)
                .map(t -> t < 0 ? Long.MAX_VALUE : t)
                .sorted()
                .toArray();
        long time = times[(int) Math.ceil(part * times.length) - 1];
        return time == Long.MAX_VALUE ? "-" : String.format(Locale.ROOT, "%.2f", time / 1e3);
    }

    /** One process, who asks whether it is ready, and a client that is there before it. */
    private final class Started {
        /**
         * An address that no connection comes from: else one could take the port before the process has it, or meet
         * itself there.
         */
        final InetAddress host;

        final int port;
        final Path config = Files.createTempFile("calicochute", ".json");
        final Path log = Files.createTempFile("calicochute", ".log");
        final Thread ready = new Thread(this::awaitReady);
        final Thread client = new Thread(this::ask);
        /** Answered 200, denied, any other answer, broken. */
        final AtomicInteger[] ends = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger(), new AtomicInteger()
        };

        Process process;
        volatile boolean over;
        volatile long readyMs = -1;
        volatile long listensMs = -1;
        volatile long answeredMs = -1;
        private long from;

        Started(int number, boolean known, Peer discovery, String address, Peer server) throws IOException {
            host = InetAddress.getByName("127.0.1." + (1 + number));
            try (ServerSocket free = new ServerSocket(0, 1, host)) {
                port = free.getLocalPort();
            }
            String text = Program.configuration(port, 0, 1024, discovery, server)
                    .replace("\"127.0.0.1:" + port + "\"", "\"" + host.getHostAddress() + ":" + port + "\"")
                    .replace("\"" + discovery.address() + "\"", "\"" + address + "\"");
            Files.writeString(config, known ? text : text.replaceAll("\"known\":\\{.*?\\]\\},", ""));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("taskset", "-c", cores, "/bin/sh", "-c", run);
            builder.environment().put("PROXY_CONFIG", config.toString());
            from = System.nanoTime();
            process = builder.redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            ready.start();
            client.start();
        }

        private long since() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        }

        private Http send(String head, boolean first) throws IOException {
            try (Socket socket = new Socket(host, port)) {
                socket.setSoTimeout(30_000);
                if (first && listensMs < 0) {
                    listensMs = since();
                }
                try {
                    socket.getOutputStream().write(Http.message(head, new byte[0]));
                    Http answer = Http.read(socket.getInputStream());
                    if (answer == null) {
                        throw new EOFException("no answer");
                    }
                    return answer;
                } catch (IOException e) {
                    ends[3].incrementAndGet();
                    return null;
                }
            }
        }

        private void awaitReady() {
            while (since() < LATEST_MS) {
                try {
                    Http answer = send("GET /ready HTTP/1.1\r\nHost: a\r\n", false);
                    if (answer != null && answer.status() == 200) {
                        readyMs = since();
                        return;
                    }
                } catch (IOException e) {
                    // Does not listen yet.
                }
                pause(25);
            }
        }

        private void ask() {
            for (int n = 0; !over; n++) {
                try {
                    Http answer = send(Program.session(String.format("%08x%08x", port, n), "view"), true);
                    if (answer != null) {
                        ends[answer.status() == 200 ? 0 : answer.status() == 503 ? 1 : 2].incrementAndGet();
                        answeredMs = answeredMs < 0 && answer.status() == 200 ? since() : answeredMs;
                        pause(200);
                    }
                } catch (IOException e) {
                    pause(10);
                }
            }
        }

        private void pause(long ms) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void ended() throws Exception {
            if (!process.waitFor(60, TimeUnit.SECONDS) || process.exitValue() != 0) {
                throw new IOException("did not end as planned; its log: " + Files.readString(log));
            }
            Files.delete(config);
            Files.delete(log);
        }
    }
}
