package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.Held;
import calicochute.lab.server.MachineSpec;
import calicochute.lab.server.ServerModel;
import calicochute.lab.socket.Connection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;

/** A backend server on sockets: one address for each zone that calls it, and the machine's model behind them. */
final class ServerHost {
    private static final long SWEEP = 200_000;
    private static final long STALE_IDLE = 300_000;
    private final Site site;
    private final MachineSpec spec;
    private final ServerModel model;
    private final UniformRandomProvider chance;
    private final Map<String, ServerDoor> doors = new LinkedHashMap<>();
    private final ServerWork work;
    private final Informed informed;
    /** Open ones over all doors; counted on I/O threads too. */
    final AtomicInteger openConnections = new AtomicInteger();

    private boolean up;
    private boolean silent;
    private boolean stale;
    private long startedAt;
    private int coldStarts;

    /** Whether a balancer has been told that a server started at a time. */
    interface Informed {
        boolean of(String balancer, String server, long startedAt);
    }

    ServerHost(Site site, MachineSpec spec, Informed informed) {
        this.site = site;
        this.spec = spec;
        this.informed = informed;
        chance = site.streams.of("chance " + spec.id(), 0);
        model = new ServerModel(
                spec,
                site.streams.of("noise " + spec.id(), 0),
                Emulation.FALL_MULTIPLE,
                Emulation.FALL_SPAN,
                site.deployment.meanWork()
                        * site.scenario.tiers().get(spec.tier()).work(),
                site.eventLoop.now());
        work = new ServerWork(this, site, model, chance);
        for (String zone : site.scenario.zones().names()) {
            doors.put(zone, new ServerDoor(this, site, zone));
        }
    }

    MachineSpec spec() {
        return spec;
    }

    ServerModel model() {
        return model;
    }

    ServerWork work() {
        return work;
    }

    ServerDoor door(String callerZone) {
        return doors.get(callerZone);
    }

    InetSocketAddress address(String callerZone) {
        return doors.get(callerZone).address();
    }

    long dispatches() {
        return work.dispatches;
    }

    long turnedAway() {
        return work.turnedAway;
    }

    /** Dispatches that came from another zone. */
    long crossings() {
        return work.crossings;
    }

    long startedAt() {
        return startedAt;
    }

    /** How often it has come back cold. */
    int coldStarts() {
        return coldStarts;
    }

    boolean up() {
        return up;
    }

    boolean silent() {
        return silent;
    }

    /** Whether a balancer had been told of its last start; of none where it has not started since the run began. */
    boolean informed(String balancer) {
        return startedAt > 0 && informed.of(balancer, spec.id(), startedAt);
    }

    /** Listens for the first time, warm; from outside the world, before anything runs. */
    void open() throws IOException {
        java.net.InetAddress host = site.nextAddress();
        for (ServerDoor door : doors.values()) {
            door.open(new InetSocketAddress(host, 0));
        }
        up = true;
    }

    /** What it does by itself: reports and closing idle connections. */
    void begin() {
        long phase = (long) (spec.reportEvery() * chance.nextDouble());
        site.eventLoop.scheduleAfter(phase, () -> site.eventLoop.scheduleEvery(spec.reportEvery(), work::report));
        // Not all servers in one moment: the world's other timers would wait.
        site.eventLoop.scheduleAfter(
                (long) (SWEEP * chance.nextDouble()), () -> site.eventLoop.scheduleEvery(SWEEP, this::closeIdle));
    }

    /** Its way to the next tier from now on; null: none. */
    void callsThrough(BalancerHost balancer) {
        work.callsThrough(
                balancer == null ? null : new Caller(site, balancer.spec(), balancer.address(), 0, Integer.MAX_VALUE));
    }

    /** The process dies: connections are reset, new ones refused. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        long now = site.eventLoop.now();
        for (ServerDoor door : doors.values()) {
            door.shut();
            for (Connection connection : List.copyOf(door.connections)) {
                if (connection.attachment instanceof Held held && held.job != null) {
                    site.ruleChecker.dispatchEnded(now, held.job.dispatch);
                }
                connection.reset();
            }
            door.connections.clear();
        }
        openConnections.set(0);
        work.clear(now);
    }

    /** The process starts again, empty and cold. */
    void restart() {
        if (up) {
            return;
        }
        try {
            for (ServerDoor door : doors.values()) {
                door.reopen();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        up = true;
        startedAt = site.eventLoop.now();
        coldStarts++;
        model.start(startedAt);
    }

    void drain() {
        model.setDraining(true);
    }

    /** The machine vanishes from the network, or comes back with all its old connections reset. */
    void silent(boolean on) {
        silent = on;
        doors.values().forEach(ServerDoor::reach);
    }

    /** A zone was cut off or came back. */
    void zonesChanged() {
        doors.values().forEach(ServerDoor::reach);
    }

    void slow(double factor) {
        work.pump();
        model.setSlowdown(site.eventLoop.now(), factor);
        work.schedule();
    }

    void hang(boolean on) {
        work.pump();
        model.setHung(site.eventLoop.now(), on);
        work.schedule();
    }

    void pause(boolean on) {
        work.pause(on);
    }

    void resets(double part) {
        work.resets = part;
    }

    void spoils(double part) {
        work.spoilt = part;
    }

    void closesEarly(boolean on) {
        stale = on;
    }

    private void closeIdle() {
        if (!up || silent || work.paused()) {
            return;
        }
        long limit =
                site.eventLoop.now() - (stale ? STALE_IDLE : spec.kind().idle().micros());
        for (ServerDoor door : doors.values()) {
            door.connections.removeIf(connection -> {
                Held held = (Held) connection.attachment;
                boolean idle = held.job == null && !held.fresh && !held.dead && held.idleSince < limit;
                if (idle) {
                    openConnections.decrementAndGet();
                    connection.close();
                }
                return idle;
            });
        }
    }
}
