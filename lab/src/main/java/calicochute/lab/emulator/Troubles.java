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

/** Carries out the scripted troubles at their times. */
final class Troubles {
    /** A draining process serves on for this long before it ends. */
    private static final long DRAIN_FOR = 4_500_000;

    private static final long FRONT_KEEPS = 300_000;
    private final Site site;
    private final Map<String, ServerHost> servers;
    private final Map<String, BalancerHost> balancers;
    private final DiscoveryHost discovery;
    private final ClientHost clients;
    private final BadClients badClients;
    /** Null where balancers don't talk to each other. */
    private final FleetHost fleet;

    Troubles(
            Site site,
            Map<String, ServerHost> servers,
            Map<String, BalancerHost> balancers,
            DiscoveryHost discovery,
            ClientHost clients,
            BadClients badClients,
            FleetHost fleet) {
        this.site = site;
        this.servers = servers;
        this.balancers = balancers;
        this.discovery = discovery;
        this.clients = clients;
        this.badClients = badClients;
        this.fleet = fleet;
    }

    void schedule(List<TroublePlan> plans, long start) {
        for (TroublePlan plan : plans) {
            EventLoop eventLoop = site.eventLoop;
            Trouble trouble = plan.trouble();
            long from = start + plan.from();
            long to = start + plan.to();
            switch (trouble.kind()) {
                case SLOW -> during(plan, from, to, s -> s.slow(trouble.factor()), s -> s.slow(1));
                case HANG -> during(plan, from, to, s -> s.hang(true), s -> s.hang(false));
                case PAUSE -> during(plan, from, to, s -> s.pause(true), s -> s.pause(false));
                case RESET -> during(plan, from, to, s -> s.resets(trouble.factor()), s -> s.resets(0));
                case SPOILT -> during(plan, from, to, s -> s.spoils(trouble.factor()), s -> s.spoils(0));
                case STALE -> during(plan, from, to, s -> s.closesEarly(true), s -> s.closesEarly(false));
                case SILENT -> during(plan, from, to, this::fallSilent, this::comeBack);
                case CRASH -> during(plan, from, to, this::crash, this::restart);
                case DRAIN -> {
                    for (int i = 0; i < plan.victims().size(); i++) {
                        ServerHost server = servers.get(plan.victims().get(i));
                        eventLoop.scheduleAt(
                                from + i * trouble.every().micros(),
                                () -> drain(server, trouble.lasts().micros()));
                    }
                }
                case ZONE_CUT -> {
                    eventLoop.scheduleAt(from, () -> cut(trouble.zone(), true));
                    eventLoop.scheduleAt(to, () -> cut(trouble.zone(), false));
                }
                case DISCOVERY_DOWN -> {
                    eventLoop.scheduleAt(from, () -> discovery.down(true));
                    eventLoop.scheduleAt(to, () -> discovery.down(false));
                }
                case BALANCER_KILL ->
                    plan.victims().forEach(b -> eventLoop.scheduleAt(from, () -> kill(balancers.get(b), to)));
                case BALANCER_RESTART ->
                    plan.victims().forEach(b -> eventLoop.scheduleAt(from, () -> restart(balancers.get(b))));
                case BALANCER_PAUSE ->
                    plan.victims().forEach(b -> {
                        eventLoop.scheduleAt(from, () -> pause(balancers.get(b)));
                        eventLoop.scheduleAt(to, () -> resume(balancers.get(b)));
                    });
                case NET_LOSS, NET_DELAY, NET_CUT, NET_SPLIT, NET_SLOW_PEER -> {
                    Fault fault = fleet.fault(plan);
                    eventLoop.scheduleAt(from, () -> fleet.begin(fault));
                    eventLoop.scheduleAt(to, () -> fleet.end(fault));
                }
                case BAD_CLIENTS -> eventLoop.scheduleAt(from, () -> badClients(trouble, from, to, 0));
                case JUMP -> {
                    // Drawn with the arrivals.
                }
                default -> throw new IllegalStateException(trouble.kind().word());
            }
        }
    }

    private void during(TroublePlan plan, long from, long to, Consumer<ServerHost> begin, Consumer<ServerHost> end) {
        for (String victim : plan.victims()) {
            site.eventLoop.scheduleAt(from, () -> begin.accept(servers.get(victim)));
            site.eventLoop.scheduleAt(to, () -> end.accept(servers.get(victim)));
        }
    }

    private void enter(ServerHost server, State state, long notice) {
        discovery.enter(server.spec(), state, server.startedAt(), notice);
    }

    private long notice() {
        return site.scenario.discovery().notice().micros();
    }

    private void fallSilent(ServerHost server) {
        server.silent(true);
        enter(server, State.GONE, site.scenario.discovery().silentNotice().micros());
    }

    private void comeBack(ServerHost server) {
        server.silent(false);
        enter(server, State.READY, notice());
    }

    private BalancerHost own(MachineSpec machine) {
        return balancers.values().stream()
                .filter(b -> machine.id().equals(b.spec().owner()))
                .findFirst()
                .orElse(null);
    }

    void crash(ServerHost server) {
        if (!server.up()) {
            return;
        }
        server.crash();
        enter(server, State.GONE, notice());
        BalancerHost own = own(server.spec());
        if (own != null) {
            server.callsThrough(null);
            own.kill(() -> {});
        }
    }

    void restart(ServerHost server) {
        BalancerHost own = own(server.spec());
        if (own == null) {
            up(server);
            return;
        }
        own.listeners(
                b -> {
                    server.callsThrough(b);
                    up(server);
                },
                crash);
        own.start();
    }

    private void up(ServerHost server) {
        server.restart();
        enter(server, State.READY, notice());
    }

    private void drain(ServerHost server, long away) {
        enter(server, State.TERMINATING, notice());
        site.eventLoop.scheduleAfter(notice() + DRAIN_FOR, () -> {
            server.drain();
            site.eventLoop.scheduleAfter(500_000, () -> {
                crash(server);
                site.eventLoop.scheduleAfter(away, () -> restart(server));
            });
        });
    }

    private void cut(String zone, boolean on) {
        if (on) {
            site.cutZones.add(zone);
        } else {
            site.cutZones.remove(zone);
        }
        servers.values().forEach(ServerHost::zonesChanged);
    }

    private void kill(BalancerHost balancer, long until) {
        balancer.kill(() -> {});
        site.eventLoop.scheduleAfter(site.scenario.clients().notice().micros(), () -> clients.leaveOut(balancer));
        site.eventLoop.scheduleAt(until, balancer::start);
    }

    private void pause(BalancerHost balancer) {
        balancer.pause(true);
        if (balancer.spec().owner() == null) {
            site.eventLoop.scheduleAfter(site.scenario.clients().notice().micros(), () -> {
                if (balancer.paused()) {
                    clients.leaveOut(balancer);
                }
            });
        }
    }

    private void resume(BalancerHost balancer) {
        boolean was = balancer.paused();
        balancer.pause(false);
        if (was && balancer.spec().owner() == null) {
            clients.takeIn(balancer);
        }
    }

    private void restart(BalancerHost balancer) {
        site.eventLoop.scheduleAfter(FRONT_KEEPS, () -> clients.leaveOut(balancer));
        balancer.stop(balancer::start);
    }

    private void badClients(Trouble trouble, long from, long to, int index) {
        if (site.eventLoop.now() >= to) {
            return;
        }
        List<BalancerHost> ready = balancers.values().stream()
                .filter(b -> b.spec().tier() == 0 && b.ready())
                .toList();
        if (!ready.isEmpty()) {
            badClients.send(ready.get(index % ready.size()).address());
        }
        site.eventLoop.scheduleAt(
                from + Math.round((index + 1) * 1e6 / trouble.rate().perSecond()),
                () -> badClients(trouble, from, to, index + 1));
    }

    private Consumer<String> crash = reason -> {};

    /** Who hears of a balancer that ended by itself. */
    void onCrash(Consumer<String> listener) {
        crash = listener;
    }
}
