package calicochute.lab.emulator;

import calicochute.lab.plan.Arrival;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.server.MachineSpec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Measures the overhead of a balancer. The same requests go to the same server directly, through a minimal relay, and
 * through the balancer, in alternating turns, so that disturbances of the machine affect all three routes. Latency
 * counts from the planned time of sending.
 */
public final class OverheadRun {
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long WARM_UP_MICROS = 3_000_000;
    private static final int REQUEST_WORK_MICROS = 1;
    private final EmulationContext context;
    private final Path folder;
    private final Emulation.BalancerCommand balancerCommand;
    private final List<String> relayCommand;
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private EmulatedServer server;
    private EmulatedDiscovery discovery;
    private int requestCount;

    /** One route to the server. {@code pid} is the process id of the relay or balancer on it, 0 if there is none. */
    private static final class Route {
        final BalancerClient client;
        final long pid;
        final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
        double cpuSeconds;
        long sent;
        long failed;
        long residentBytes;
        double highestRate;

        Route(BalancerClient client, long pid) {
            this.client = client;
            this.pid = pid;
        }
    }

    /**
     * The figures of one route: latency in milliseconds; and for the relay's or balancer's process its CPU time per
     * request in microseconds, its resident memory in megabytes, and the highest rate in requests per second on one
     * core.
     */
    public record Result(
            String route,
            long requests,
            long failed,
            double p50,
            double p99,
            double cpuMicros,
            double residentMb,
            double highestRate) {}

    /** @param relayCommand starts a relay; its address and that of the server are added as arguments */
    public OverheadRun(
            Scenario scenario, Path folder, Emulation.BalancerCommand balancerCommand, List<String> relayCommand)
            throws IOException {
        RandomStreams streams = new RandomStreams(1);
        context = new EmulationContext(Deployment.draw(scenario, streams), streams);
        this.folder = Files.createDirectories(folder);
        this.balancerCommand = balancerCommand;
        this.relayCommand = relayCommand;
        MachineSpec machine = context.deployment.machines().get(0);
        discovery = new EmulatedDiscovery(context, (id, zone) -> server.address(zone));
        server = new EmulatedServer(context, machine, discovery::isInformed);
        server.open();
        discovery.open();
    }

    /**
     * Runs the measurement: {@code rounds} turns of {@code seconds} at {@code rate} requests per second on each route,
     * then the highest rate of each process with {@code concurrency} concurrent requests.
     */
    public List<Result> run(double rate, int seconds, int rounds, int concurrency) throws Exception {
        List<Process> processes = new ArrayList<>();
        BalancerProcess balancer = null;
        try {
            context.eventLoop.start();
            BalancerSpec spec = context.deployment.balancers().get(0);
            BalancerConfiguration settings = new BalancerConfiguration(context);
            balancer = new BalancerProcess(
                    context,
                    spec,
                    folder,
                    balancerCommand,
                    (target, listen, startNumber) -> settings.configuration(
                            target, listen, discovery.address(target), 1, discovery.initialList(target)),
                    target -> java.util.Map.of());
            CountDownLatch ready = new CountDownLatch(1);
            balancer.setListeners(process -> ready.countDown(), reason -> System.err.println(reason));
            context.eventLoop.post(balancer::start);
            if (!ready.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new StartException("", "the balancer was not ready within " + START_TIMEOUT_SECONDS + " s");
            }
            InetSocketAddress serverAddress = server.address(spec.zone());
            InetSocketAddress relayAddress = context.freeAddress();
            List<String> command = new ArrayList<>(relayCommand);
            command.add(EmulationContext.hostPort(relayAddress));
            command.add(EmulationContext.hostPort(serverAddress));
            Process relayProcess = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("relay.log").toFile())
                    .start();
            processes.add(relayProcess);
            awaitListening(relayAddress);
            routes.put("direct", new Route(client(spec, serverAddress), 0));
            routes.put("relay", new Route(client(spec, relayAddress), relayProcess.pid()));
            routes.put("balancer", new Route(client(spec, balancer.address()), balancer.pid()));
            for (Route route : routes.values()) {
                runTurn(route, rate, Math.min(WARM_UP_MICROS, seconds * 1_000_000L), false);
            }
            for (int i = 0; i < rounds; i++) {
                for (Route route : routes.values()) {
                    runTurn(route, rate, seconds * 1_000_000L, true);
                }
            }
            int core = 1;
            for (Route route : routes.values()) {
                if (route.pid != 0 && pinToCore(route.pid, core++)) {
                    saturate(route, 2_000_000, concurrency);
                    route.highestRate = saturate(route, seconds * 1_000_000L, concurrency);
                }
            }
            return results();
        } finally {
            if (balancer != null) {
                balancer.destroy();
            }
            processes.forEach(Process::destroyForcibly);
            context.eventLoop.stop();
            context.sockets.close();
        }
    }

    private BalancerClient client(BalancerSpec spec, InetSocketAddress address) {
        return new BalancerClient(context, spec, address, 0, Integer.MAX_VALUE);
    }

    private static void awaitListening(InetSocketAddress address) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (true) {
            try {
                new java.net.Socket(address.getAddress(), address.getPort()).close();
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadline) {
                    throw new IOException("the relay does not listen: " + e.getMessage(), e);
                }
                Thread.sleep(20);
            }
        }
    }

    private Request request() {
        Arrival arrival = new Arrival(requestCount++, 0, 0, 0, 0, REQUEST_WORK_MICROS, 1, List.of(0), 0, false, false);
        return context.registerRequest(
                new ClientRequest(arrival, context.eventLoop.now(), 1),
                0,
                context.deployment.balancers().get(0));
    }

    private long timeoutMicros() {
        return context.scenario.classes().get(0).giveUp().micros();
    }

    /** Sends requests at a rate for some time, and waits until all have ended. */
    private void runTurn(Route route, double rate, long micros, boolean measured) throws Exception {
        double cpuSecondsBefore =
                route.pid == 0 ? 0 : ProcessUsage.of(route.pid).cpuSeconds();
        CountDownLatch finished = new CountDownLatch(1);
        UniformRandomProvider times = context.streams.of("overhead", 0);
        context.eventLoop.post(() -> {
            long begin = context.eventLoop.now() + 50_000;
            long[] unanswered = new long[1];
            send(route, times, rate, begin + micros, begin, measured, unanswered, finished);
        });
        if (!finished.await(micros / 1_000_000 + 20, TimeUnit.SECONDS)) {
            throw new IOException("the run did not end");
        }
        if (measured && route.pid != 0) {
            ProcessUsage usage = ProcessUsage.of(route.pid);
            route.cpuSeconds += usage.cpuSeconds() - cpuSecondsBefore;
            route.residentBytes = Math.max(route.residentBytes, usage.residentBytes());
        }
    }

    private void send(
            Route route,
            UniformRandomProvider times,
            double rate,
            long end,
            long at,
            boolean measured,
            long[] unanswered,
            CountDownLatch finished) {
        long next = at + Math.round(RandomStreams.exponential(times, 1e6 / rate));
        if (next >= end) {
            context.eventLoop.scheduleAt(end, () -> awaitAllAnswered(unanswered, finished));
            return;
        }
        context.eventLoop.scheduleAt(next, () -> {
            send(route, times, rate, end, next, measured, unanswered, finished);
            unanswered[0]++;
            route.client.send(request(), null, false, timeoutMicros(), result -> {
                unanswered[0]--;
                if (measured) {
                    route.sent++;
                    route.failed += result.served() ? 0 : 1;
                    route.latency.recordValue(Math.min(MAX_LATENCY_MICROS, context.eventLoop.now() - next));
                }
            });
        });
    }

    private void awaitAllAnswered(long[] unanswered, CountDownLatch finished) {
        if (unanswered[0] == 0) {
            finished.countDown();
        } else {
            context.eventLoop.scheduleAfter(5000, () -> awaitAllAnswered(unanswered, finished));
        }
    }

    /** Keeps a fixed number of requests in flight for some time, and returns the number served per second. */
    private double saturate(Route route, long micros, int concurrency) throws InterruptedException {
        CountDownLatch finished = new CountDownLatch(concurrency);
        long[] served = new long[1];
        long[] end = new long[1];
        context.eventLoop.post(() -> {
            end[0] = context.eventLoop.now() + micros;
            for (int i = 0; i < concurrency; i++) {
                sendNext(route, end, served, finished);
            }
        });
        finished.await(micros / 1_000_000 + 20, TimeUnit.SECONDS);
        return served[0] * 1e6 / micros;
    }

    private void sendNext(Route route, long[] end, long[] served, CountDownLatch finished) {
        if (context.eventLoop.now() >= end[0]) {
            finished.countDown();
            return;
        }
        route.client.send(request(), null, false, timeoutMicros(), result -> {
            served[0] += result.served() ? 1 : 0;
            sendNext(route, end, served, finished);
        });
    }

    /** Pins a process to one core; false if that is not possible on this system. */
    private static boolean pinToCore(long pid, int core) throws InterruptedException {
        try {
            return new ProcessBuilder("taskset", "-acp", Integer.toString(core), Long.toString(pid))
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start()
                            .waitFor()
                    == 0;
        } catch (IOException e) {
            return false;
        }
    }

    private List<Result> results() {
        List<Result> results = new ArrayList<>();
        routes.forEach((name, route) -> results.add(new Result(
                name,
                route.sent,
                route.failed,
                route.latency.getValueAtPercentile(50) / 1e3,
                route.latency.getValueAtPercentile(99) / 1e3,
                route.sent == 0 ? 0 : route.cpuSeconds * 1e6 / route.sent,
                route.residentBytes / 1e6,
                route.highestRate)));
        return results;
    }
}
