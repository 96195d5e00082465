package calicochute.lab.emulator;

import calicochute.lab.discovery.InstanceRegistry.State;
import calicochute.lab.network.Fault;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.scenario.Trouble;
import calicochute.lab.server.MachineSpec;
import calicochute.lab.world.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Carries out the scenario's troubles at their planned times. */
final class TroubleScheduler {
    /** How long a server still accepts requests after discovery has reported that it drains, in microseconds. */
    private static final long DRAIN_MICROS = 4_500_000;

    /** How long clients still send to a balancer that is being restarted, in microseconds. */
    private static final long CLIENT_REMOVAL_DELAY_MICROS = 300_000;

    private final EmulationContext context;
    private final Map<String, EmulatedServer> servers;
    private final Map<String, BalancerProcess> balancers;
    private final EmulatedDiscovery discovery;
    private final EmulatedClients clients;
    private final BadClients badClients;
    /** Null if balancers do not exchange datagrams. */
    private final FleetNetwork fleet;

    TroubleScheduler(
            EmulationContext context,
            Map<String, EmulatedServer> servers,
            Map<String, BalancerProcess> balancers,
            EmulatedDiscovery discovery,
            EmulatedClients clients,
            BadClients badClients,
            FleetNetwork fleet) {
        this.context = context;
        this.servers = servers;
        this.balancers = balancers;
        this.discovery = discovery;
        this.clients = clients;
        this.badClients = badClients;
        this.fleet = fleet;
    }

    /** Schedules all troubles; {@code start} is the Unix time in microseconds at which the run starts. */
    void schedule(List<TroublePlan> plans, long start) {
        for (TroublePlan plan : plans) {
            EventLoop eventLoop = context.eventLoop;
            Trouble trouble = plan.trouble();
            long from = start + plan.fromMicros();
            long to = start + plan.toMicros();
            switch (trouble.kind()) {
                case SLOW ->
                    during(
                            plan,
                            from,
                            to,
                            server -> server.setSlowdown(trouble.factor()),
                            server -> server.setSlowdown(1));
                case HANG -> during(plan, from, to, server -> server.setHung(true), server -> server.setHung(false));
                case PAUSE ->
                    during(plan, from, to, server -> server.setPaused(true), server -> server.setPaused(false));
                case RESET ->
                    during(
                            plan,
                            from,
                            to,
                            server -> server.setResetShare(trouble.factor()),
                            server -> server.setResetShare(0));
                case SPOILT ->
                    during(
                            plan,
                            from,
                            to,
                            server -> server.setFaultyResponseShare(trouble.factor()),
                            server -> server.setFaultyResponseShare(0));
                case STALE ->
                    during(
                            plan,
                            from,
                            to,
                            server -> server.setClosesIdleEarly(true),
                            server -> server.setClosesIdleEarly(false));
                case SILENT -> during(plan, from, to, this::makeUnreachable, this::makeReachable);
                case CRASH -> during(plan, from, to, this::crash, this::restart);
                case DRAIN -> {
                    for (int i = 0; i < plan.victims().size(); i++) {
                        EmulatedServer server = servers.get(plan.victims().get(i));
                        eventLoop.scheduleAt(
                                from + i * trouble.every().micros(),
                                () -> drain(server, trouble.lasts().micros()));
                    }
                }
                case ZONE_CUT -> {
                    eventLoop.scheduleAt(from, () -> setZoneCut(trouble.zone(), true));
                    eventLoop.scheduleAt(to, () -> setZoneCut(trouble.zone(), false));
                }
                case DISCOVERY_DOWN -> {
                    eventLoop.scheduleAt(from, () -> discovery.setUnavailable(true));
                    eventLoop.scheduleAt(to, () -> discovery.setUnavailable(false));
                }
                case BALANCER_KILL ->
                    plan.victims().forEach(name -> eventLoop.scheduleAt(from, () -> kill(balancers.get(name), to)));
                case BALANCER_RESTART ->
                    plan.victims().forEach(name -> eventLoop.scheduleAt(from, () -> restart(balancers.get(name))));
                case BALANCER_PAUSE ->
                    plan.victims().forEach(name -> {
                        eventLoop.scheduleAt(from, () -> pause(balancers.get(name)));
                        eventLoop.scheduleAt(to, () -> resume(balancers.get(name)));
                    });
                case NET_LOSS, NET_DELAY, NET_CUT, NET_SPLIT, NET_SLOW_PEER -> {
                    Fault fault = fleet.fault(plan);
                    eventLoop.scheduleAt(from, () -> fleet.beginFault(fault));
                    eventLoop.scheduleAt(to, () -> fleet.endFault(fault));
                }
                case BAD_CLIENTS -> eventLoop.scheduleAt(from, () -> sendBadClients(trouble, from, to, 0));
                case JUMP -> {
                    // Included in the planned arrivals.
                }
                default -> throw new IllegalStateException(trouble.kind().word());
            }
        }
    }

    private void during(
            TroublePlan plan, long from, long to, Consumer<EmulatedServer> begin, Consumer<EmulatedServer> end) {
        for (String victim : plan.victims()) {
            context.eventLoop.scheduleAt(from, () -> begin.accept(servers.get(victim)));
            context.eventLoop.scheduleAt(to, () -> end.accept(servers.get(victim)));
        }
    }

    /** Has discovery report a state of a server after a delay. */
    private void announce(EmulatedServer server, State state, long delayMicros) {
        discovery.scheduleChange(server.spec(), state, server.startedAt(), delayMicros);
    }

    private long noticeDelay() {
        return context.scenario.discovery().notice().micros();
    }

    private void makeUnreachable(EmulatedServer server) {
        server.setUnreachable(true);
        announce(server, State.GONE, context.scenario.discovery().silentNotice().micros());
    }

    private void makeReachable(EmulatedServer server) {
        server.setUnreachable(false);
        announce(server, State.READY, noticeDelay());
    }

    /** The balancer through which a server calls the next tier; null if it has none. */
    private BalancerProcess balancerOf(MachineSpec machine) {
        return balancers.values().stream()
                .filter(balancer -> machine.id().equals(balancer.spec().owner()))
                .findFirst()
                .orElse(null);
    }

    void crash(EmulatedServer server) {
        if (!server.up()) {
            return;
        }
        server.crash();
        announce(server, State.GONE, noticeDelay());
        BalancerProcess ownBalancer = balancerOf(server.spec());
        if (ownBalancer != null) {
            server.setBalancer(null);
            ownBalancer.kill(() -> {});
        }
    }

    void restart(EmulatedServer server) {
        BalancerProcess ownBalancer = balancerOf(server.spec());
        if (ownBalancer == null) {
            startServer(server);
            return;
        }
        ownBalancer.setListeners(
                readyBalancer -> {
                    server.setBalancer(readyBalancer);
                    startServer(server);
                },
                onBalancerFailure);
        ownBalancer.start();
    }

    private void startServer(EmulatedServer server) {
        server.restart();
        announce(server, State.READY, noticeDelay());
    }

    private void drain(EmulatedServer server, long downMicros) {
        announce(server, State.TERMINATING, noticeDelay());
        context.eventLoop.scheduleAfter(noticeDelay() + DRAIN_MICROS, () -> {
            server.startDraining();
            context.eventLoop.scheduleAfter(500_000, () -> {
                crash(server);
                context.eventLoop.scheduleAfter(downMicros, () -> restart(server));
            });
        });
    }

    private void setZoneCut(String zone, boolean cut) {
        if (cut) {
            context.isolatedZones.add(zone);
        } else {
            context.isolatedZones.remove(zone);
        }
        servers.values().forEach(EmulatedServer::updateReachability);
    }

    private void kill(BalancerProcess balancer, long restartAt) {
        balancer.kill(() -> {});
        context.eventLoop.scheduleAfter(
                context.scenario.clients().notice().micros(), () -> clients.removeBalancer(balancer));
        context.eventLoop.scheduleAt(restartAt, balancer::start);
    }

    private void pause(BalancerProcess balancer) {
        balancer.setPaused(true);
        if (balancer.spec().owner() == null) {
            context.eventLoop.scheduleAfter(context.scenario.clients().notice().micros(), () -> {
                if (balancer.paused()) {
                    clients.removeBalancer(balancer);
                }
            });
        }
    }

    private void resume(BalancerProcess balancer) {
        boolean wasPaused = balancer.paused();
        balancer.setPaused(false);
        if (wasPaused && balancer.spec().owner() == null) {
            clients.addBalancer(balancer);
        }
    }

    private void restart(BalancerProcess balancer) {
        context.eventLoop.scheduleAfter(CLIENT_REMOVAL_DELAY_MICROS, () -> clients.removeBalancer(balancer));
        balancer.stop(balancer::start);
    }

    private void sendBadClients(Trouble trouble, long from, long to, int index) {
        if (context.eventLoop.now() >= to) {
            return;
        }
        List<BalancerProcess> ready = balancers.values().stream()
                .filter(balancer -> balancer.spec().tier() == 0 && balancer.ready())
                .toList();
        if (!ready.isEmpty()) {
            badClients.send(ready.get(index % ready.size()).address());
        }
        context.eventLoop.scheduleAt(
                from + Math.round((index + 1) * 1e6 / trouble.rate().perSecond()),
                () -> sendBadClients(trouble, from, to, index + 1));
    }

    private Consumer<String> onBalancerFailure = reason -> {};

    /** Sets what is called with the reason when a server's balancer fails after a restart. */
    void setBalancerFailureListener(Consumer<String> listener) {
        onBalancerFailure = listener;
    }
}
