package calicochute.lab.emulator;

import calicochute.lab.chance.Streams;
import calicochute.lab.plan.Arrival;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
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
 * What a balancer adds: the same requests to the same server direct, through a bare relay, and through the balancer, in
 * turn and several times over, so that the machine's moods meet all three. Latency counts from the planned sending.
 */
public final class OverheadRun {
    private static final long HIGHEST = 60_000_000;
    private static final long START_LIMIT_S = 30;
    private static final long WARM_UP = 3_000_000;
    private static final int REQUEST_WORK = 1;
    private final Site site;
    private final Path folder;
    private final Emulation.Balancers start;
    private final List<String> relayCommand;
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private ServerHost server;
    private DiscoveryHost discovery;
    private int numbers;

    /** One way to the server. {@code pid} is the process on it, 0 for none. */
    private static final class Route {
        final Caller caller;
        final long pid;
        final Histogram latency = new Histogram(HIGHEST, 3);
        double cpu;
        long sent;
        long failed;
        long resident;
        double highest;

        Route(Caller caller, long pid) {
            this.caller = caller;
            this.pid = pid;
        }
    }

    /**
     * One way's figures: latency in milliseconds, CPU in microseconds a request (of the process between, 0 for none),
     * resident memory in megabytes, and the most requests a second with that process on one core.
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

    /** @param relayCommand starts a relay when given its address and that of the server as two more arguments */
    public OverheadRun(Scenario scenario, Path folder, Emulation.Balancers start, List<String> relayCommand)
            throws IOException {
        Streams streams = new Streams(1);
        site = new Site(Deployment.draw(scenario, streams), streams);
        this.folder = Files.createDirectories(folder);
        this.start = start;
        this.relayCommand = relayCommand;
        MachineSpec machine = site.deployment.machines().get(0);
        discovery = new DiscoveryHost(site, (id, zone) -> server.address(zone));
        server = new ServerHost(site, machine, discovery::informed);
        server.open();
        discovery.open();
    }

    /**
     * Runs all of it: {@code rounds} turns of {@code seconds} on each way, then each way's highest rate with
     * {@code together} requests always out.
     */
    public List<Result> run(double rate, int seconds, int rounds, int together) throws Exception {
        List<Process> processes = new ArrayList<>();
        BalancerHost balancer = null;
        try {
            site.eventLoop.start();
            BalancerSpec spec = site.deployment.balancers().get(0);
            Settings settings = new Settings(site);
            balancer = new BalancerHost(
                    site,
                    spec,
                    folder,
                    start,
                    (s, listen, n) -> settings.configuration(s, listen, discovery.at(s), 1, discovery.known(s)),
                    s -> java.util.Map.of());
            CountDownLatch ready = new CountDownLatch(1);
            balancer.listeners(b -> ready.countDown(), reason -> System.err.println(reason));
            site.eventLoop.post(balancer::start);
            if (!ready.await(START_LIMIT_S, TimeUnit.SECONDS)) {
                throw new StartException("", "the balancer was not ready within " + START_LIMIT_S + " s");
            }
            InetSocketAddress behind = server.address(spec.zone());
            InetSocketAddress relay = site.freeAddress();
            List<String> command = new ArrayList<>(relayCommand);
            command.add(Site.text(relay));
            command.add(Site.text(behind));
            Process relaying = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("relay.log").toFile())
                    .start();
            processes.add(relaying);
            awaitListening(relay);
            routes.put("direct", new Route(caller(spec, behind), 0));
            routes.put("relay", new Route(caller(spec, relay), relaying.pid()));
            routes.put("balancer", new Route(caller(spec, balancer.address()), balancer.pid()));
            for (Route route : routes.values()) {
                turn(route, rate, Math.min(WARM_UP, seconds * 1_000_000L), false);
            }
            for (int i = 0; i < rounds; i++) {
                for (Route route : routes.values()) {
                    turn(route, rate, seconds * 1_000_000L, true);
                }
            }
            int core = 1;
            for (Route route : routes.values()) {
                if (route.pid != 0 && pin(route.pid, core++)) {
                    saturate(route, 2_000_000, together);
                    route.highest = saturate(route, seconds * 1_000_000L, together);
                }
            }
            return results();
        } finally {
            if (balancer != null) {
                balancer.destroy();
            }
            processes.forEach(Process::destroyForcibly);
            site.eventLoop.stop();
            site.sockets.close();
        }
    }

    private Caller caller(BalancerSpec spec, InetSocketAddress to) {
        return new Caller(site, spec, to, 0, Integer.MAX_VALUE);
    }

    private static void awaitListening(InetSocketAddress at) throws IOException, InterruptedException {
        long latest = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_LIMIT_S);
        while (true) {
            try {
                new java.net.Socket(at.getAddress(), at.getPort()).close();
                return;
            } catch (IOException e) {
                if (System.nanoTime() > latest) {
                    throw new IOException("the relay does not listen: " + e.getMessage(), e);
                }
                Thread.sleep(20);
            }
        }
    }

    private Request request() {
        Arrival arrival = new Arrival(numbers++, 0, 0, 0, 0, REQUEST_WORK, 1, List.of(0), 0, false, false);
        return site.request(
                new Root(arrival, site.eventLoop.now(), 1),
                0,
                site.deployment.balancers().get(0));
    }

    private long patience() {
        return site.scenario.classes().get(0).giveUp().micros();
    }

    /** Sends at a rate for a time, and waits for the last answer. */
    private void turn(Route route, double rate, long micros, boolean counts) throws Exception {
        double before = route.pid == 0 ? 0 : ProcessUsage.of(route.pid).cpuSeconds();
        CountDownLatch over = new CountDownLatch(1);
        UniformRandomProvider times = site.streams.of("overhead", 0);
        site.eventLoop.post(() -> {
            long begin = site.eventLoop.now() + 50_000;
            long[] open = new long[1];
            send(route, times, rate, begin + micros, begin, counts, open, over);
        });
        if (!over.await(micros / 1_000_000 + 20, TimeUnit.SECONDS)) {
            throw new IOException("the run did not end");
        }
        if (counts && route.pid != 0) {
            ProcessUsage usage = ProcessUsage.of(route.pid);
            route.cpu += usage.cpuSeconds() - before;
            route.resident = Math.max(route.resident, usage.resident());
        }
    }

    private void send(
            Route route,
            UniformRandomProvider times,
            double rate,
            long end,
            long at,
            boolean counts,
            long[] open,
            CountDownLatch over) {
        long next = at + Math.round(Streams.exponential(times, 1e6 / rate));
        if (next >= end) {
            site.eventLoop.scheduleAt(end, () -> awaitNone(open, over));
            return;
        }
        site.eventLoop.scheduleAt(next, () -> {
            send(route, times, rate, end, next, counts, open, over);
            open[0]++;
            route.caller.ask(request(), null, false, patience(), result -> {
                open[0]--;
                if (counts) {
                    route.sent++;
                    route.failed += result.served() ? 0 : 1;
                    route.latency.recordValue(Math.min(HIGHEST, site.eventLoop.now() - next));
                }
            });
        });
    }

    private void awaitNone(long[] open, CountDownLatch over) {
        if (open[0] == 0) {
            over.countDown();
        } else {
            site.eventLoop.scheduleAfter(5000, () -> awaitNone(open, over));
        }
    }

    /** Keeps a fixed number of requests out, each followed by the next; the rate at which they are answered. */
    private double saturate(Route route, long micros, int together) throws InterruptedException {
        CountDownLatch over = new CountDownLatch(together);
        long[] done = new long[1];
        long[] end = new long[1];
        site.eventLoop.post(() -> {
            end[0] = site.eventLoop.now() + micros;
            for (int i = 0; i < together; i++) {
                again(route, end, done, over);
            }
        });
        over.await(micros / 1_000_000 + 20, TimeUnit.SECONDS);
        return done[0] * 1e6 / micros;
    }

    private void again(Route route, long[] end, long[] done, CountDownLatch over) {
        if (site.eventLoop.now() >= end[0]) {
            over.countDown();
            return;
        }
        route.caller.ask(request(), null, false, patience(), result -> {
            done[0] += result.served() ? 1 : 0;
            again(route, end, done, over);
        });
    }

    /** Holds a process on one core; false where the system has no means for it. */
    private static boolean pin(long pid, int core) throws InterruptedException {
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
        routes.forEach((name, r) -> results.add(new Result(
                name,
                r.sent,
                r.failed,
                r.latency.getValueAtPercentile(50) / 1e3,
                r.latency.getValueAtPercentile(99) / 1e3,
                r.sent == 0 ? 0 : r.cpu * 1e6 / r.sent,
                r.resident / 1e6,
                r.highest)));
        return results;
    }
}
