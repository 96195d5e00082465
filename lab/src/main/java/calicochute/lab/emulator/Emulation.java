package calicochute.lab.emulator;

import calicochute.lab.emulator.EmulationResult.BalancerSample;
import calicochute.lab.emulator.EmulationResult.ServerSample;
import calicochute.lab.plan.Arrival;
import calicochute.lab.plan.ArrivalPlan;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.random.RandomStreams;
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
 * One run of a scenario. Clients, servers and discovery are emulated on sockets of this process, while the balancers
 * are processes of their own. The run is prepared before the event loop starts; then everything happens on its thread.
 */
public final class Emulation {
    /** A cold server collapses if the work sent to it within a span exceeds this multiple of its capacity. */
    static final double COLLAPSE_MULTIPLE = 3;

    /** The span over which that work is counted. */
    static final long COLLAPSE_SPAN_MICROS = 3_000_000;
    /** The worth of a request beyond its tenant's share, as a share of its class's worth. */
    public static final double OVER_SHARE_WORTH = 0.05;

    private static final long SECOND_MICROS = 1_000_000;
    private static final long STOP_TIMEOUT_SECONDS = 15;
    /** With more balancers starting at a time, none would get enough CPU time to be ready within the timeout. */
    private static final int MAX_CONCURRENT_STARTS = 2 * Runtime.getRuntime().availableProcessors();

    private static final Pattern COUNTERS_LINE = Pattern.compile("INFO counters (.*)");
    private static final Pattern COUNTER = Pattern.compile("(\\w+) (\\d+)");
    private final Scenario scenario;
    private final long seed;
    private final Path folder;
    private final RandomStreams streams;
    private final EmulationContext context;
    private final Progress progress;
    private final List<Arrival> arrivals;
    private final List<TroublePlan> troubles;
    private final Map<String, EmulatedServer> servers = new LinkedHashMap<>();
    private final Map<String, BalancerProcess> balancers = new LinkedHashMap<>();
    private final EmulatedDiscovery discovery;
    private final EmulatedClients clients;
    private final BadClients badClients;
    private final TroubleScheduler troubleScheduler;
    private final FleetNetwork fleet;
    private final List<ServerSample> serverSamples = new ArrayList<>();
    private final Map<String, long[]> previousCounts = new HashMap<>();
    private final CountDownLatch finished = new CountDownLatch(1);
    private volatile String endedBecause;
    private long startedAt;
    private long cpuNanosAtStart;
    private long cpuNanosAtEnd;
    private long endedAt;
    private final Deque<BalancerProcess> startQueue = new ArrayDeque<>();
    private int pendingStarts;
    private long endedRequests;
    private double askedWorth;
    private double servedWorth;
    private boolean measuring;

    /** Receives the progress of a run once a second. */
    public interface Progress {
        /**
         * Called once a second.
         *
         * @param seconds time since the start of the run
         * @param length planned length of the run in seconds
         * @param ended requests that have ended so far
         * @param served share of the worth of those requests that was served
         * @param open requests that have not ended
         */
        void second(double seconds, double length, long ended, double served, int open);
    }

    /** How balancers are started: a shell command, and its working folder. */
    public record BalancerCommand(String shellCommand, Path folder) {}

    /**
     * Draws the run from its seed and opens all sockets of the emulator.
     *
     * @param workFolder where the balancers' files and logs are written
     */
    public Emulation(Scenario scenario, long seed, Path workFolder, BalancerCommand balancerCommand, Progress progress)
            throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.folder = Files.createDirectories(workFolder);
        this.progress = progress;
        streams = new RandomStreams(seed);
        Deployment deployment = Deployment.draw(scenario, streams);
        arrivals = ArrivalPlan.draw(deployment, streams);
        troubles = TroublePlan.draw(deployment, streams);
        context = new EmulationContext(deployment, streams);
        discovery = new EmulatedDiscovery(
                context, (server, zone) -> servers.get(server).address(zone));
        clients = new EmulatedClients(context, this::requestEnded);
        badClients = new BadClients(context);
        fleet = scenario.fleet() == null ? null : new FleetNetwork(context, folder);
        troubleScheduler = new TroubleScheduler(context, servers, balancers, discovery, clients, badClients, fleet);
        for (MachineSpec machine : deployment.machines()) {
            EmulatedServer server = new EmulatedServer(context, machine, discovery::isInformed);
            server.open();
            servers.put(machine.id(), server);
        }
        discovery.open();
        BalancerConfiguration settings = new BalancerConfiguration(context);
        for (BalancerSpec spec : deployment.balancers()) {
            balancers.put(
                    spec.name(),
                    new BalancerProcess(
                            context,
                            spec,
                            folder,
                            balancerCommand,
                            (target, listen, startNumber) -> settings.configuration(
                                    target,
                                    listen,
                                    discovery.address(target),
                                    streams.of("balancer " + target.name(), startNumber)
                                            .nextLong(),
                                    discovery.initialList(target)),
                            target -> fleet == null ? Map.of() : fleet.environment(target)));
        }
    }

    /** Runs to the end and returns the result. Leaves no process and no socket behind, whatever happens. */
    public EmulationResult run() throws InterruptedException {
        try {
            context.eventLoop.start();
            context.eventLoop.post(this::startBalancers);
            while (!finished.await(200, TimeUnit.MILLISECONDS)) {
                if (context.eventLoop.failure() != null) {
                    StackTraceElement[] trace = context.eventLoop.failure().getStackTrace();
                    endedBecause = "the lab itself failed: " + context.eventLoop.failure()
                            + (trace.length > 0 ? " at " + trace[0] : "");
                    break;
                }
            }
            if (endedBecause == null) {
                stopBalancers();
            }
            context.eventLoop.stop();
            context.eventLoop.join(5000);
            return result();
        } finally {
            destroy();
            if (fleet != null) {
                fleet.close();
            }
            context.sockets.close();
        }
    }

    /** Ends the run at once; {@link #run} then returns a partial result. May be called from any thread. */
    public void abort(String reason) {
        if (endedBecause == null) {
            endedBecause = reason;
        }
        finished.countDown();
    }

    /** Kills all balancers; may be called from any thread. */
    public void destroy() {
        balancers.values().forEach(BalancerProcess::destroy);
    }

    private void startBalancers() {
        pendingStarts = balancers.size();
        troubleScheduler.setBalancerFailureListener(this::abort);
        startQueue.addAll(balancers.values());
        for (int i = 0; i < MAX_CONCURRENT_STARTS; i++) {
            startNext();
        }
    }

    /**
     * Starts the next balancer; called as each one becomes ready, which keeps the number of concurrent starts constant.
     */
    private void startNext() {
        BalancerProcess next = startQueue.poll();
        if (next != null) {
            next.setListeners(this::balancerFirstReady, this::abort);
            next.start();
        }
    }

    private void balancerFirstReady(BalancerProcess balancer) {
        balancer.setListeners(this::balancerReady, this::abort);
        balancerReady(balancer);
        startNext();
        if (--pendingStarts == 0) {
            context.eventLoop.scheduleAfter(scenario.settle().micros(), this::beginLoad);
        }
    }

    private void balancerReady(BalancerProcess balancer) {
        if (balancer.spec().owner() == null) {
            clients.addBalancer(balancer);
        } else {
            servers.get(balancer.spec().owner()).setBalancer(balancer);
        }
    }

    /** Begins the load with the lead-in, whose requests have planned times before the run's start. */
    private void beginLoad() {
        startedAt = context.eventLoop.now() + scenario.leadIn().micros();
        servers.values().forEach(EmulatedServer::startBackgroundTasks);
        clients.send(arrivals, startedAt);
        troubleScheduler.schedule(troubles, startedAt);
        context.eventLoop.scheduleAt(startedAt, this::beginMeasurement);
    }

    private void beginMeasurement() {
        measuring = true;
        context.eventLoop.resetLateness();
        cpuNanosAtStart = processCpuNanos();
        sample();
        context.eventLoop.scheduleEvery(SECOND_MICROS, this::sample);
        Thread sampler = new Thread(this::sampleBalancers, "sampler");
        sampler.setDaemon(true);
        sampler.start();
        long longestGiveUp = scenario.classes().stream()
                .map(RequestClass::giveUp)
                .mapToLong(time -> time.micros())
                .max()
                .orElse(0);
        long length = scenario.length().micros();
        // The last client may wait for the give-up time, and a server's last call for one of the clients as long again.
        context.eventLoop.scheduleAt(
                startedAt + length, () -> awaitLastResponses(startedAt + length + 2 * longestGiveUp + SECOND_MICROS));
    }

    /** Samples balancers on a thread of its own, since reading /proc would delay the event loop. */
    private void sampleBalancers() {
        try {
            while (finished.getCount() > 0) {
                balancers.values().forEach(BalancerProcess::sample);
                Thread.sleep(SECOND_MICROS / 1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits after the last arrival until all requests of all tiers have ended, or until the deadline. A server may
     * still wait for the next tier when its client has a response, and the end of the run must not cut that call off.
     */
    private void awaitLastResponses(long deadline) {
        context.closing = clients.openRequests() == 0;
        if (context.closing && context.pendingCalls == 0 || context.eventLoop.now() > deadline) {
            measuring = false;
            cpuNanosAtEnd = processCpuNanos();
            endedAt = context.eventLoop.now();
            // A last sample, since CPU usage needs two samples and a run may be shorter than two seconds.
            balancers.values().forEach(BalancerProcess::sample);
            finished.countDown();
        } else {
            context.eventLoop.scheduleAfter(SECOND_MICROS / 20, () -> awaitLastResponses(deadline));
        }
    }

    private static long processCpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private void sample() {
        if (!measuring) {
            return;
        }
        long at = context.eventLoop.now() - startedAt;
        for (EmulatedServer server : servers.values()) {
            long[] previous = previousCounts.computeIfAbsent(server.spec().id(), id -> new long[2]);
            serverSamples.add(new ServerSample(
                    at,
                    server.spec().id(),
                    server.spec().tier(),
                    server.model().busySlots(),
                    server.model().queueLength(),
                    server.dispatches() - previous[0],
                    server.rejected() - previous[1],
                    server.up() ? server.model().capacityShare(context.eventLoop.now()) : 0,
                    server.model().isSluggish()));
            previous[0] = server.dispatches();
            previous[1] = server.rejected();
        }
        progress.second(
                at / 1e6,
                scenario.length().seconds(),
                endedRequests,
                askedWorth == 0 ? 1 : servedWorth / askedWorth,
                clients.openRequests());
    }

    /** Sums are kept as requests end: iterating over all of them each second would delay timers. */
    private void requestEnded(ClientRequest request) {
        double worth = worth(scenario, request);
        endedRequests++;
        askedWorth += worth;
        servedWorth += request.end == ClientRequest.End.SERVED ? worth : 0;
    }

    /** The worth of a request: its class's worth times its work, reduced if it is beyond its tenant's share. */
    public static double worth(Scenario scenario, ClientRequest request) {
        RequestClass requestClass = scenario.classes().get(request.arrival.classIndex());
        return requestClass.worth()
                * request.arrival.workMicros()
                * (request.arrival.overShare() ? OVER_SHARE_WORTH : 1);
    }

    /** Stops all balancers; the run has failed if one does not end in time. */
    private void stopBalancers() throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(balancers.size());
        context.eventLoop.post(() -> balancers.values().forEach(balancer -> balancer.stop(stopped::countDown)));
        // Many balancers end at the same time on few cores, which takes longer.
        long limit = STOP_TIMEOUT_SECONDS + balancers.size() / 10;
        if (!stopped.await(limit, TimeUnit.SECONDS)) {
            endedBecause = stopped.getCount() + " balancers did not end within " + limit + " s of SIGTERM";
        }
    }

    private EmulationResult result() {
        Map<BalancerSpec, List<BalancerSample>> usage = new LinkedHashMap<>();
        Map<BalancerSpec, Map<String, Long>> counters = new LinkedHashMap<>();
        for (BalancerProcess balancer : balancers.values()) {
            List<BalancerSample> samples = new ArrayList<>();
            BalancerProcess.Sample previous = null;
            for (BalancerProcess.Sample sample : balancer.samples()) {
                // CPU time counts from zero after a restart; that interval is left out.
                if (previous != null && sample.at() > previous.at() && sample.cpuSeconds() >= previous.cpuSeconds()) {
                    samples.add(new BalancerSample(
                            sample.at() - startedAt,
                            (sample.cpuSeconds() - previous.cpuSeconds()) * 1e6 / (sample.at() - previous.at()),
                            sample.residentBytes()));
                }
                previous = sample;
            }
            usage.put(balancer.spec(), samples);
            counters.put(balancer.spec(), counters(balancer.log()));
        }
        double measuredMicros = endedAt > startedAt ? endedAt - startedAt : context.eventLoop.now() - startedAt;
        double labCores = startedAt == 0
                ? 0
                : ((cpuNanosAtEnd == 0 ? processCpuNanos() : cpuNanosAtEnd) - cpuNanosAtStart) / 1e3 / measuredMicros;
        long probes = counters.values().stream()
                .mapToLong(counts -> counts.getOrDefault("probes_sent", 0L))
                .sum();
        var lateness = context.eventLoop.lateness();
        return new EmulationResult(
                context.deployment,
                seed,
                endedBecause,
                startedAt,
                scenario.length().micros(),
                clients.clientRequests().stream()
                        .filter(request -> request.arrival.atMicros() >= 0)
                        .toList(),
                troubles,
                serverSamples,
                usage,
                counters,
                context.ruleChecker.allBreaches(),
                new long[] {lateness.getValueAtPercentile(50), lateness.getValueAtPercentile(99), lateness.getMaxValue()
                },
                labCores,
                probes,
                context.ruleChecker.dispatches(),
                servers.values().stream()
                        .mapToLong(EmulatedServer::crossZoneDispatches)
                        .sum(),
                new EmulationResult.BadClientCount(badClients.sent(), badClients.unanswered(), badClients.served()),
                fleet == null ? Map.of() : fleet.counts(),
                context.dispatches,
                coldStarts());
    }

    private EmulationResult.ColdStarts coldStarts() {
        return new EmulationResult.ColdStarts(
                servers.values().stream().mapToInt(EmulatedServer::coldStarts).sum(),
                servers.values().stream()
                        .mapToInt(server -> server.requestHandler().collapses)
                        .sum(),
                servers.values().stream()
                        .mapToDouble(server -> server.model().coldStartBudget().worstShare())
                        .max()
                        .orElse(0),
                servers.values().stream()
                        .mapToDouble(server -> server.model().coldStartBudget().worstInformedShare())
                        .max()
                        .orElse(0));
    }

    /** The counters that a balancer logged at its ends, summed over its starts; a killed process logs none. */
    private static Map<String, Long> counters(Path log) {
        Map<String, Long> sums = new LinkedHashMap<>();
        try {
            if (Files.exists(log)) {
                Matcher lines = COUNTERS_LINE.matcher(Files.readString(log));
                while (lines.find()) {
                    Matcher counter = COUNTER.matcher(lines.group(1));
                    while (counter.find()) {
                        sums.merge(counter.group(1), Long.parseLong(counter.group(2)), Long::sum);
                    }
                }
            }
        } catch (IOException e) {
            return Map.of();
        }
        return sums;
    }
}
