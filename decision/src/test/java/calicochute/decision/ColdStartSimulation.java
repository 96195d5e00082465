package calicochute.decision;

import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendList;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Rules;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Timer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Simulates a fleet of instances in virtual time and measures what their sends add up to at cold servers. */
final class ColdStartSimulation {
    /** One second in microseconds. */
    static final long SECOND = 1_000_000;

    static final Rules RULES = new Rules(20_000, 10 * SECOND, 0.32, 8_900_000, 3 * SECOND, 3, 3 * SECOND);
    private static final int SERVERS = 60;
    /** When the scenario's starts or losses begin. */
    private static final long SCENARIO_AT_MICROS = 10 * SECOND;

    private static final long END_MICROS = 26 * SECOND;
    private static final long SAMPLE_INTERVAL_MICROS = 50_000;
    /** Longest time after which an instance hears of a change of the list. */
    private static final long MAX_NOTICE_MICROS = 1_500_000;
    /**
     * Work of a request by class, in requests of mean work. Both classes are equally frequent; the second takes four
     * times the work of the first.
     */
    private static final double[] WORK = {0.4, 1.6};

    /**
     * What happens to the fleet. ROLL: 60% of the servers are replaced within 7 s. FRESH: like ROLL, and all balancers
     * restart right before. FEW: two servers are replaced at once. LOST: all servers are replaced within 2 s. WHOLE:
     * all servers and all balancers start. LAST: all servers are lost, and six of them are back 2 s later. LATER: six
     * servers are replaced, and all others are lost 4 s later. KILLED: half of the balancers are killed during the cold
     * starts and restart within a second, a third of those twice. JOIN: half of the servers are there at first, and the
     * others join one after another within 10 s. ILL: 3 s before a rolling replacement a third of the servers that stay
     * become faulty: half of them fail all calls at once, and half are slow.
     */
    enum Scenario {
        ROLL(0.6, 7 * SECOND),
        FRESH(0.6, 7 * SECOND),
        FEW(0.033, 1),
        LOST(1, 2 * SECOND),
        WHOLE(0, 1),
        LAST(0.1, 1),
        LATER(0.1, 1),
        KILLED(0.6, 7 * SECOND),
        JOIN(0.5, 10 * SECOND),
        ILL(0.5, 7 * SECOND);

        final double replacedShare;
        final long withinMicros;

        Scenario(double replacedShare, long withinMicros) {
            this.replacedShare = replacedShare;
            this.withinMicros = withinMicros;
        }
    }

    /**
     * {@code perBalancer}: requests a second of the mean balancer; {@code load}: share of all servers' warm capacity.
     */
    record Setup(Scenario scenario, int balancers, double perBalancer, double load, long seed, Site site) {
        Setup(Scenario scenario, int balancers, double perBalancer, double load, long seed) {
            this(scenario, balancers, perBalancer, load, seed, PLAIN);
        }
    }

    /**
     * The servers of a site. {@code sizes}: the servers take these in turn; {@code weights}: whether the list gives the
     * sizes, within 10%; with more than one zone, crossing zones has a price. {@code burst}: factor of the arrival rate
     * during the burst.
     */
    record Site(
            int servers,
            double[] sizes,
            boolean weights,
            int zones,
            double coldCapacityShare,
            long warmUp,
            double burst) {}

    static final Site PLAIN =
            new Site(SERVERS, new double[] {1}, false, 1, RULES.coldCapacityShare(), RULES.warmUp(), 1.5);

    /**
     * What was measured.
     *
     * @param worst worst window of any cold server as a share of its budget, by all sends
     * @param worstInformed the same by the sends of balancers that knew of the start
     * @param overBudget servers over the budget by the sends of balancers that knew of the start
     * @param broken servers for which the rule was broken
     * @param use work sent to cold servers as a share of what they could do, within a second of a denied request
     * @param idle longest time that one of them had nothing to do then, seconds
     * @param denied share of requests denied
     * @param starts starts of servers
     * @param crashed starts after which the server would have crashed, by all sends
     */
    record Result(
            double worst,
            double worstInformed,
            int overBudget,
            int broken,
            double use,
            double idle,
            double denied,
            int starts,
            int crashed) {}

    private final Setup setup;
    private final SplittableRandom random;
    private final EventQueue events = new EventQueue(SECOND);
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, SimulatedServer> serverById = new HashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    /** Requests of mean work a second of a warm server of size 1. */
    private final double unitCapacity;

    private final Rules rules;
    private long requests;
    private long denied;
    private long lastDeniedAt = -SECOND;
    private double possibleWork;
    private double sentWork;
    private double longestIdleSeconds;

    ColdStartSimulation(Setup setup) {
        this.setup = setup;
        random = new SplittableRandom(setup.seed);
        Site site = setup.site;
        rules = new Rules(
                RULES.answerSlack(),
                RULES.listRefreshInterval(),
                site.coldCapacityShare,
                site.warmUp,
                RULES.drainGrace(),
                RULES.overloadMultiple(),
                RULES.overloadWindow());
        double totalSize = 0;
        for (int i = 0; i < site.servers; i++) {
            totalSize += size(i);
        }
        unitCapacity = setup.balancers * setup.perBalancer / setup.load / totalSize;
    }

    private record OpenRequest(int classIndex, boolean retry, double work, int attempts, boolean pending) {
        OpenRequest withAttempts(int count, boolean isPending) {
            return new OpenRequest(classIndex, retry, work, count, isPending);
        }
    }

    /** The host of one balancer. */
    private final class Host implements Actions {
        final double rate;
        final int index;
        final String zone;
        boolean killed;
        /** Starts that the balancer has heard of, by server. */
        final Map<String, Long> knownStarts = new HashMap<>();

        final Map<Long, OpenRequest> open = new HashMap<>();
        Balancer balancer;

        Host(int index, double rate) {
            this.index = index;
            this.rate = rate;
            // Balancers are spread unevenly over the zones, unlike the servers.
            zone = "z" + (setup.site.zones == 1 ? 0 : (int) (setup.site.zones * Math.pow(random.nextDouble(), 2)));
        }

        void start(List<SimulatedServer> listed) {
            open.clear();
            knownStarts.clear();
            killed = false;
            var classes = List.of(requestClass("light", 1), requestClass("heavy", 4));
            balancer = Balancer.create(new Settings(
                    random.nextLong(),
                    index,
                    setup.balancers,
                    0,
                    true,
                    false,
                    true,
                    zone,
                    5_000,
                    0.1,
                    List.of(),
                    classes,
                    List.of(),
                    Fixture.LIMITS,
                    rules,
                    new Balancer.Goal(1, 0, 0, 0, setup.site.zones > 1 ? 0.1 : 0, 0, 0)));
            var entries = listed.stream()
                    .map(server -> server.entry(BackendState.READY))
                    .toList();
            entries.forEach(entry -> knownStarts.put(entry.id(), entry.startedAt()));
            balancer.on(events.now, new BackendList(ListKind.FULL, entries), this);
        }

        void updateList(SimulatedServer old, SimulatedServer fresh) {
            // The list that the balancer got at its own start may be newer.
            if (killed || fresh != null && serverById.get(fresh.id) != fresh) {
                return;
            }
            List<Backend> entries = new ArrayList<>();
            if (old != null && (fresh == null || !old.id.equals(fresh.id))) {
                entries.add(old.entry(BackendState.GONE));
            }
            if (fresh != null) {
                knownStarts.put(fresh.id, fresh.startedAt);
                entries.add(fresh.entry(BackendState.READY));
            }
            balancer.on(events.now, new BackendList(ListKind.CHANGES, entries), this);
        }

        /** Poisson arrivals, with a burst for 3 s during the cold starts. */
        void arriveNext() {
            boolean burst =
                    events.now > SCENARIO_AT_MICROS + 5 * SECOND && events.now < SCENARIO_AT_MICROS + 8 * SECOND;
            events.after((long) (random.nextExponential() / (rate * (burst ? setup.site.burst : 1)) * SECOND), () -> {
                if (!killed) {
                    arrive(random.nextInt(2), false);
                }
                arriveNext();
            });
        }

        private void arrive(int classIndex, boolean retry) {
            if (killed) {
                return;
            }
            long id = ++requests;
            open.put(
                    id,
                    new OpenRequest(classIndex, retry, WORK[classIndex] * (0.7 + 0.6 * random.nextDouble()), 0, false));
            balancer.on(events.now, new Arrival(id, classIndex, -1, null, objective(WORK[classIndex]), retry), this);
        }

        @Override
        public void send(long request, String backend, long timeout) {
            OpenRequest openRequest = open.get(request);
            int attempt = openRequest.attempts;
            open.put(request, openRequest.withAttempts(attempt + 1, true));
            Balancer sender = balancer;
            SimulatedServer server = serverById.get(backend);
            long at = events.now;
            boolean known = knownStarts.getOrDefault(backend, 0L) == server.startedAt;
            boolean accepted = server.accept(
                    openRequest.work, known, () -> ended(sender, request, attempt, server, Outcome.OK, at));
            long delay = accepted ? timeout : 1000;
            events.after(
                    delay,
                    () -> ended(
                            sender,
                            request,
                            attempt,
                            server,
                            accepted ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED,
                            at));
        }

        private void ended(
                Balancer sender, long request, int attempt, SimulatedServer server, Outcome outcome, long sentAt) {
            OpenRequest openRequest = sender == balancer && !killed ? open.get(request) : null;
            if (openRequest == null || openRequest.attempts != attempt + 1 || !openRequest.pending) {
                return;
            }
            boolean ok = outcome == Outcome.OK;
            if (ok) {
                open.remove(request);
            } else {
                open.put(request, openRequest.withAttempts(openRequest.attempts, false));
            }
            balancer.on(
                    events.now,
                    new AttemptEnded(request, attempt, server.id, ok, outcome, events.now - sentAt, null),
                    this);
        }

        private void deny(long request) {
            OpenRequest openRequest = open.remove(request);
            if (openRequest != null) {
                denied++;
                lastDeniedAt = events.now;
                // Most clients retry once, and half of those a second time.
                if (random.nextDouble() < (openRequest.retry ? 0.5 : 0.8)) {
                    events.after(SECOND / 3, () -> arrive(openRequest.classIndex, true));
                }
            }
        }

        @Override
        public void refuse(long request, long retryAfter) {
            deny(request);
        }

        @Override
        public void fail(long request) {
            deny(request);
        }

        @Override
        public void startTimer(long delay, int purpose, long subject) {
            Balancer sender = balancer;
            events.after(delay, () -> {
                if (sender == balancer && !killed) {
                    balancer.on(events.now, new Timer(purpose, subject), this);
                }
            });
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchList() {}

        @Override
        public void probe(String backend) {}

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {}

        @Override
        public void log(String text) {}
    }

    /** Latency objective: six times what the work takes on a warm server. */
    private long objective(double work) {
        return (long) (6 * SimulatedServer.SLOTS * work / unitCapacity * SECOND);
    }

    private RequestClass requestClass(String name, double worth) {
        long objective = objective(WORK[name.equals("light") ? 0 : 1]);
        return new RequestClass(name, Effect.REPEATABLE, KeyScope.ALL, SECOND, objective, objective, worth, 0.5, false);
    }

    /** Sizes alternate, so that servers of one size are not neighbours in any instance's order. */
    private double size(int i) {
        return setup.site.sizes[i % setup.site.sizes.length];
    }

    private SimulatedServer startServer(String id, int i, long startedAt) {
        double weight = setup.site.weights ? size(i) * (0.9 + 0.2 * random.nextDouble()) : 1;
        SimulatedServer server = new SimulatedServer(
                id,
                "z" + i / setup.site.sizes.length % setup.site.zones,
                startedAt,
                unitCapacity,
                size(i),
                weight,
                rules,
                events);
        serverById.put(id, server);
        servers.add(server);
        return server;
    }

    Result run() {
        int size = setup.site.servers;
        int replaced = (int) Math.round(setup.scenario.replacedShare * size);
        for (int i = setup.scenario == Scenario.JOIN ? replaced : 0; i < size; i++) {
            startServer("b" + i, i, setup.scenario == Scenario.WHOLE ? events.now : 0);
        }
        List<SimulatedServer> first = List.copyOf(servers);
        // Some balancers get several times the mean rate, most less than the mean.
        double[] parts =
                random.doubles(setup.balancers).map(u -> 0.25 + 3 * u * u * u).toArray();
        for (int i = 0; i < parts.length; i++) {
            Host host = new Host(i, setup.perBalancer * parts[i]);
            hosts.add(host);
            host.start(first);
            host.arriveNext();
            if (setup.scenario == Scenario.FRESH) {
                events.at(SCENARIO_AT_MICROS - random.nextLong(SECOND), () -> host.start(first));
            }
            if (setup.scenario == Scenario.KILLED && i % 2 == 0) {
                kill(host, SCENARIO_AT_MICROS + random.nextLong(9 * SECOND));
            }
            if (setup.scenario == Scenario.KILLED && i % 6 == 0) {
                kill(host, SCENARIO_AT_MICROS + random.nextLong(9 * SECOND));
            }
        }
        for (int i = 0; i < replaced; i++) {
            int number = i;
            SimulatedServer old = setup.scenario == Scenario.JOIN ? null : first.get(i);
            String id = old != null && i % 2 == 0 ? old.id : "n" + i;
            events.at(SCENARIO_AT_MICROS + setup.scenario.withinMicros * i / replaced, () -> {
                SimulatedServer fresh = startServer(id, number, events.now);
                if (old != null) {
                    old.replaced = true;
                }
                announce(old, fresh);
            });
        }
        if (setup.scenario == Scenario.ILL) {
            for (int i = replaced; i < size; i += 3) {
                SimulatedServer server = first.get(i);
                var fault = i % 2 == 0 ? SimulatedServer.Fault.FAILS : SimulatedServer.Fault.SLOW;
                events.at(SCENARIO_AT_MICROS - 3 * SECOND, () -> server.fault = fault);
            }
        }
        if (setup.scenario == Scenario.LAST || setup.scenario == Scenario.LATER) {
            long when =
                    setup.scenario == Scenario.LAST ? SCENARIO_AT_MICROS - 2 * SECOND : SCENARIO_AT_MICROS + 4 * SECOND;
            first.forEach(server -> events.at(when, () -> {
                server.lost = true;
                if (serverById.get(server.id) == server) {
                    announce(server, null);
                }
            }));
        }
        events.at(events.now + SAMPLE_INTERVAL_MICROS, this::sample);
        events.runUntil(END_MICROS);
        return result();
    }

    /** Ends a balancer without notice and starts it again with the list of that moment. */
    private void kill(Host host, long at) {
        events.at(at, () -> {
            host.killed = true;
            events.after(
                    random.nextLong(SECOND / 5, SECOND),
                    () -> host.start(serverById.values().stream()
                            .filter(server -> !server.lost && !server.replaced)
                            .sorted(Comparator.comparing(server -> server.id))
                            .toList()));
        });
    }

    /** Each balancer hears of the change after a delay of its own. */
    private void announce(SimulatedServer old, SimulatedServer fresh) {
        hosts.forEach(host -> events.after(
                random.nextLong(MAX_NOTICE_MICROS / 10, MAX_NOTICE_MICROS), () -> host.updateList(old, fresh)));
    }

    /** Measures how much cold servers are used while requests are denied, once all balancers have heard of them. */
    private void sample() {
        events.at(events.now + SAMPLE_INTERVAL_MICROS, this::sample);
        for (SimulatedServer server : servers) {
            if (!server.cold(events.now)
                    || events.now < server.startedAt + MAX_NOTICE_MICROS
                    || events.now > lastDeniedAt + SECOND) {
                server.idleSince = events.now;
                continue;
            }
            possibleWork += server.possibleWork(SAMPLE_INTERVAL_MICROS);
            sentWork += server.receivedWork(SAMPLE_INTERVAL_MICROS);
            if (server.busy > 0) {
                server.idleSince = events.now;
            }
            longestIdleSeconds = Math.max(longestIdleSeconds, (events.now - server.idleSince) / (double) SECOND);
        }
    }

    private Result result() {
        var worst = servers.stream().map(SimulatedServer::worstWindow).toList();
        return new Result(
                worst.stream()
                        .mapToDouble(SimulatedServer.WorstWindow::all)
                        .max()
                        .orElse(0),
                worst.stream()
                        .mapToDouble(SimulatedServer.WorstWindow::senderKnew)
                        .max()
                        .orElse(0),
                (int) worst.stream().filter(window -> window.senderKnew() > 1).count(),
                (int) worst.stream().filter(SimulatedServer.WorstWindow::broken).count(),
                possibleWork == 0 ? 1 : sentWork / possibleWork,
                longestIdleSeconds,
                denied / (double) Math.max(1, requests),
                (int) servers.stream().filter(server -> server.startedAt > 0).count(),
                (int) worst.stream().filter(window -> window.all() > 1).count());
    }
}
