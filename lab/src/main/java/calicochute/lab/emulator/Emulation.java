package calicochute.lab.emulator;

import calicochute.lab.chance.Streams;
import calicochute.lab.emulator.Outcome.BalancerSample;
import calicochute.lab.emulator.Outcome.ServerSample;
import calicochute.lab.plan.Arrival;
import calicochute.lab.plan.ArrivalPlan;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.RequestClass;
import calicochute.lab.server.MachineSpec;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One run of a scenario: everything but the balancers on sockets in this process, the balancers as processes of their
 * own. Prepared outside the world, then all of it happens on the world's thread.
 */
public final class Emulation {
    /** A cold server falls over under more than this multiple of what it can do, within this span (microseconds). */
    static final double FALL_MULTIPLE = 3;

    static final long FALL_SPAN = 3_000_000;
    /** What a request beyond its tenant's share is worth, as a part of its class's worth. */
    public static final double OVER_SHARE_WORTH = 0.05;

    private static final long SECOND = 1_000_000;
    private static final long STOP_LIMIT_S = 15;
    /** Balancers that start at one time: more would share the cores until none is ready within its limit. */
    private static final int WAVE = 2 * Runtime.getRuntime().availableProcessors();

    private static final Pattern COUNTERS = Pattern.compile("INFO counters (.*)");
    private static final Pattern COUNTER = Pattern.compile("(\\w+) (\\d+)");
    private final Scenario scenario;
    private final long seed;
    private final Path folder;
    private final Streams streams;
    private final Site site;
    private final Progress progress;
    private final List<Arrival> arrivals;
    private final List<TroublePlan> troubles;
    private final Map<String, ServerHost> servers = new LinkedHashMap<>();
    private final Map<String, BalancerHost> balancers = new LinkedHashMap<>();
    private final DiscoveryHost discovery;
    private final ClientHost clients;
    private final BadClients badClients;
    private final Troubles troubleMaker;
    private final FleetHost fleet;
    private final List<ServerSample> serverSamples = new ArrayList<>();
    private final Map<String, long[]> lastCounts = new HashMap<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile String ended;
    private long startedAt;
    private long cpuAtStart;
    private long cpuAtEnd;
    private long wallAtEnd;
    private final Deque<BalancerHost> toStart = new ArrayDeque<>();
    private int awaited;
    private long done;
    private double asked;
    private double served;
    private boolean running;

    /** Hears how a run goes, once a second. */
    public interface Progress {
        /** @param served worth served so far over worth asked for so far, of requests that have ended */
        void second(double seconds, double length, long ended, double served, int open);
    }

    /** How balancers are started: a shell command, and the folder it is run in. */
    public record Balancers(String command, Path folder) {}

    /** Draws the run from its seed and opens all of the emulator's sockets; {@code work} takes files and logs. */
    public Emulation(Scenario scenario, long seed, Path work, Balancers start, Progress progress) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.folder = Files.createDirectories(work);
        this.progress = progress;
        streams = new Streams(seed);
        Deployment deployment = Deployment.draw(scenario, streams);
        arrivals = ArrivalPlan.draw(deployment, streams);
        troubles = TroublePlan.draw(deployment, streams);
        site = new Site(deployment, streams);
        discovery =
                new DiscoveryHost(site, (server, zone) -> servers.get(server).address(zone));
        clients = new ClientHost(site, this::rootEnded);
        badClients = new BadClients(site);
        fleet = scenario.fleet() == null ? null : new FleetHost(site, folder);
        troubleMaker = new Troubles(site, servers, balancers, discovery, clients, badClients, fleet);
        for (MachineSpec machine : deployment.machines()) {
            ServerHost server = new ServerHost(site, machine, discovery::informed);
            server.open();
            servers.put(machine.id(), server);
        }
        discovery.open();
        Settings settings = new Settings(site);
        for (BalancerSpec spec : deployment.balancers()) {
            balancers.put(
                    spec.name(),
                    new BalancerHost(
                            site,
                            spec,
                            folder,
                            start,
                            (s, listen, n) -> settings.configuration(
                                    s,
                                    listen,
                                    discovery.at(s),
                                    streams.of("balancer " + s.name(), n).nextLong(),
                                    discovery.known(s)),
                            s -> fleet == null ? Map.of() : fleet.environment(s)));
        }
    }

    /** Runs to the end and returns what it brought; nothing is left behind, whatever happens. */
    public Outcome run() throws InterruptedException {
        try {
            site.eventLoop.start();
            site.eventLoop.post(this::startBalancers);
            while (!over.await(200, TimeUnit.MILLISECONDS)) {
                if (site.eventLoop.failure() != null) {
                    StackTraceElement[] trace = site.eventLoop.failure().getStackTrace();
                    ended = "the lab itself failed: " + site.eventLoop.failure()
                            + (trace.length > 0 ? " at " + trace[0] : "");
                    break;
                }
            }
            if (ended == null) {
                stopBalancers();
            }
            site.eventLoop.stop();
            site.eventLoop.join(5000);
            return outcome();
        } finally {
            destroy();
            if (fleet != null) {
                fleet.close();
            }
            site.sockets.close();
        }
    }

    /** Ends the run at once, from any thread; {@link #run} then returns what there is. */
    public void abort(String reason) {
        if (ended == null) {
            ended = reason;
        }
        over.countDown();
    }

    /** Leaves no process behind; from any thread. */
    public void destroy() {
        balancers.values().forEach(BalancerHost::destroy);
    }

    private void startBalancers() {
        awaited = balancers.size();
        troubleMaker.onCrash(this::abort);
        toStart.addAll(balancers.values());
        for (int i = 0; i < WAVE; i++) {
            startNext();
        }
    }

    /** One more as one has come up, so that a fleet comes up as fast as the machine allows and each is ready soon. */
    private void startNext() {
        BalancerHost next = toStart.poll();
        if (next != null) {
            next.listeners(this::firstReady, this::abort);
            next.start();
        }
    }

    private void firstReady(BalancerHost balancer) {
        balancer.listeners(this::readyAgain, this::abort);
        readyAgain(balancer);
        startNext();
        if (--awaited == 0) {
            site.eventLoop.scheduleAfter(scenario.settle().micros(), this::begin);
        }
    }

    private void readyAgain(BalancerHost balancer) {
        if (balancer.spec().owner() == null) {
            clients.takeIn(balancer);
        } else {
            servers.get(balancer.spec().owner()).callsThrough(balancer);
        }
    }

    /** The run's start lies behind the lead-in, whose requests have planned times before it. */
    private void begin() {
        startedAt = site.eventLoop.now() + scenario.leadIn().micros();
        servers.values().forEach(ServerHost::begin);
        clients.send(arrivals, startedAt);
        troubleMaker.schedule(troubles, startedAt);
        site.eventLoop.scheduleAt(startedAt, this::measure);
    }

    private void measure() {
        running = true;
        site.eventLoop.resetLateness();
        cpuAtStart = cpu();
        sample();
        site.eventLoop.scheduleEvery(SECOND, this::sample);
        Thread sampler = new Thread(this::sampleBalancers, "sampler");
        sampler.setDaemon(true);
        sampler.start();
        long longest = scenario.classes().stream()
                .map(RequestClass::giveUp)
                .mapToLong(t -> t.micros())
                .max()
                .orElse(0);
        long length = scenario.length().micros();
        // The last of the clients', then the last call that a server made for one of them.
        site.eventLoop.scheduleAt(startedAt + length, () -> awaitEnd(startedAt + length + 2 * longest + SECOND));
    }

    /** Reads of /proc take their time: on a thread of their own. */
    private void sampleBalancers() {
        try {
            while (over.getCount() > 0) {
                balancers.values().forEach(BalancerHost::sample);
                Thread.sleep(SECOND / 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * After the last arrival the run goes on until all is answered, in every tier: a server may wait for the tier
     * behind it though its client has had an answer, and what a balancer owes it must not be cut off by the run's end.
     */
    private void awaitEnd(long latest) {
        site.closing = clients.open() == 0;
        if (site.closing && site.awaited == 0 || site.eventLoop.now() > latest) {
            running = false;
            cpuAtEnd = cpu();
            wallAtEnd = site.eventLoop.now();
            // The last look, so that a run shorter than two seconds has its use of CPU too.
            balancers.values().forEach(BalancerHost::sample);
            over.countDown();
        } else {
            site.eventLoop.scheduleAfter(SECOND / 20, () -> awaitEnd(latest));
        }
    }

    private static long cpu() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private void sample() {
        if (!running) {
            return;
        }
        long at = site.eventLoop.now() - startedAt;
        for (ServerHost server : servers.values()) {
            long[] last = lastCounts.computeIfAbsent(server.spec().id(), s -> new long[2]);
            serverSamples.add(new ServerSample(
                    at,
                    server.spec().id(),
                    server.spec().tier(),
                    server.model().busySlots(),
                    server.model().queueLength(),
                    server.dispatches() - last[0],
                    server.turnedAway() - last[1],
                    server.up() ? server.model().capacityShare(site.eventLoop.now()) : 0,
                    server.model().isSluggish()));
            last[0] = server.dispatches();
            last[1] = server.turnedAway();
        }
        progress.second(at / 1e6, scenario.length().seconds(), done, asked == 0 ? 1 : served / asked, clients.open());
    }

    /** Sums up as requests end: a look at all of them each second would make the world's timers late. */
    private void rootEnded(Root root) {
        double worth = worth(scenario, root);
        done++;
        asked += worth;
        served += root.end == Root.End.SERVED ? worth : 0;
    }

    /** What a request is worth: its class's worth for each unit of work, little beyond its tenant's share. */
    public static double worth(Scenario scenario, Root root) {
        RequestClass c = scenario.classes().get(root.arrival.classIndex());
        return c.worth() * root.arrival.work() * (root.arrival.overShare() ? OVER_SHARE_WORTH : 1);
    }

    /** A planned stop of all; a balancer that does not end or ends wrongly has failed. */
    private void stopBalancers() throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(balancers.size());
        site.eventLoop.post(() -> balancers.values().forEach(b -> b.stop(stopped::countDown)));
        // Many end side by side on few cores.
        long limit = STOP_LIMIT_S + balancers.size() / 10;
        if (!stopped.await(limit, TimeUnit.SECONDS)) {
            ended = stopped.getCount() + " balancers did not end within " + limit + " s of SIGTERM";
        }
    }

    private Outcome outcome() {
        Map<BalancerSpec, List<BalancerSample>> usage = new LinkedHashMap<>();
        Map<BalancerSpec, Map<String, Long>> counters = new LinkedHashMap<>();
        for (BalancerHost balancer : balancers.values()) {
            List<BalancerSample> samples = new ArrayList<>();
            BalancerHost.Sample last = null;
            for (BalancerHost.Sample s : balancer.samples()) {
                // A restarted process counts from nothing.
                if (last != null && s.at() > last.at() && s.cpuSeconds() >= last.cpuSeconds()) {
                    samples.add(new BalancerSample(
                            s.at() - startedAt,
                            (s.cpuSeconds() - last.cpuSeconds()) * 1e6 / (s.at() - last.at()),
                            s.resident()));
                }
                last = s;
            }
            usage.put(balancer.spec(), samples);
            counters.put(balancer.spec(), counters(balancer.log()));
        }
        double wall = wallAtEnd > startedAt ? wallAtEnd - startedAt : site.eventLoop.now() - startedAt;
        double labCpu = startedAt == 0 ? 0 : ((cpuAtEnd == 0 ? cpu() : cpuAtEnd) - cpuAtStart) / 1e3 / wall;
        long probes = counters.values().stream()
                .mapToLong(c -> c.getOrDefault("probes_sent", 0L))
                .sum();
        var late = site.eventLoop.lateness();
        return new Outcome(
                site.deployment,
                seed,
                ended,
                startedAt,
                scenario.length().micros(),
                clients.roots().stream().filter(r -> r.arrival.at() >= 0).toList(),
                troubles,
                serverSamples,
                usage,
                counters,
                site.ruleChecker.allBreaches(),
                new long[] {late.getValueAtPercentile(50), late.getValueAtPercentile(99), late.getMaxValue()},
                labCpu,
                probes,
                site.ruleChecker.dispatches(),
                servers.values().stream().mapToLong(ServerHost::crossings).sum(),
                new Outcome.BadClientCount(badClients.sent(), badClients.neglected(), badClients.served()),
                fleet == null ? Map.of() : fleet.counts(),
                site.dispatches,
                coldStarts());
    }

    private Outcome.ColdStarts coldStarts() {
        return new Outcome.ColdStarts(
                servers.values().stream().mapToInt(ServerHost::coldStarts).sum(),
                servers.values().stream().mapToInt(s -> s.work().falls).sum(),
                servers.values().stream()
                        .mapToDouble(s -> s.model().coldStartBudget().worstShare())
                        .max()
                        .orElse(0),
                servers.values().stream()
                        .mapToDouble(s -> s.model().coldStartBudget().worstInformedShare())
                        .max()
                        .orElse(0));
    }

    /** The counters that a balancer printed at its ends, summed over its starts; none where it was killed. */
    private static Map<String, Long> counters(Path log) {
        Map<String, Long> sums = new LinkedHashMap<>();
        try {
            if (Files.exists(log)) {
                Matcher lines = COUNTERS.matcher(Files.readString(log));
                while (lines.find()) {
                    Matcher one = COUNTER.matcher(lines.group(1));
                    while (one.find()) {
                        sums.merge(one.group(1), Long.parseLong(one.group(2)), Long::sum);
                    }
                }
            }
        } catch (IOException e) {
            return Map.of();
        }
        return sums;
    }
}
