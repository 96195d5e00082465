package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.ConnectionState;
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

/** A backend server on sockets: an endpoint for each zone that calls it, and the model of its machine. */
final class EmulatedServer {
    private static final long IDLE_CHECK_INTERVAL_MICROS = 200_000;
    private static final long EARLY_CLOSE_IDLE_MICROS = 300_000;
    private final EmulationContext context;
    private final MachineSpec spec;
    private final ServerModel model;
    private final UniformRandomProvider random;
    private final Map<String, ServerEndpoint> endpoints = new LinkedHashMap<>();
    private final ServerRequestHandler requestHandler;
    private final InformedCheck informedCheck;
    /** The open connections of all endpoints; also changed on I/O threads. */
    final AtomicInteger openConnections = new AtomicInteger();

    private boolean up;
    private boolean unreachable;
    private boolean closesIdleEarly;
    private long startedAt;
    private int coldStarts;

    /** Tells whether a balancer has been told that a server started at a time. */
    interface InformedCheck {
        boolean isInformed(String balancer, String server, long startedAt);
    }

    EmulatedServer(EmulationContext context, MachineSpec spec, InformedCheck informedCheck) {
        this.context = context;
        this.spec = spec;
        this.informedCheck = informedCheck;
        random = context.streams.of("chance " + spec.id(), 0);
        model = new ServerModel(
                spec,
                context.streams.of("noise " + spec.id(), 0),
                Emulation.COLLAPSE_MULTIPLE,
                Emulation.COLLAPSE_SPAN_MICROS,
                context.deployment.meanWorkMicros()
                        * context.scenario.tiers().get(spec.tier()).work(),
                context.eventLoop.now());
        requestHandler = new ServerRequestHandler(this, context, model, random);
        for (String zone : context.scenario.zones().names()) {
            endpoints.put(zone, new ServerEndpoint(this, context, zone));
        }
    }

    MachineSpec spec() {
        return spec;
    }

    ServerModel model() {
        return model;
    }

    ServerRequestHandler requestHandler() {
        return requestHandler;
    }

    ServerEndpoint endpoint(String callerZone) {
        return endpoints.get(callerZone);
    }

    InetSocketAddress address(String callerZone) {
        return endpoints.get(callerZone).address();
    }

    long dispatches() {
        return requestHandler.dispatches;
    }

    long rejected() {
        return requestHandler.rejected;
    }

    /** Dispatches from another zone. */
    long crossZoneDispatches() {
        return requestHandler.crossZoneDispatches;
    }

    long startedAt() {
        return startedAt;
    }

    /** How often the server has started cold. */
    int coldStarts() {
        return coldStarts;
    }

    boolean up() {
        return up;
    }

    boolean unreachable() {
        return unreachable;
    }

    /** Whether a balancer has been told of the last start; false if the server has not restarted during the run. */
    boolean isInformed(String balancer) {
        return startedAt > 0 && informedCheck.isInformed(balancer, spec.id(), startedAt);
    }

    /** Listens for the first time; the machine is warm. Called before the event loop starts. */
    void open() throws IOException {
        java.net.InetAddress host = context.nextAddress();
        for (ServerEndpoint endpoint : endpoints.values()) {
            endpoint.open(new InetSocketAddress(host, 0));
        }
        up = true;
    }

    /** Starts the periodic tasks: load reports, and closing idle connections. */
    void startBackgroundTasks() {
        long firstReportDelay = (long) (spec.reportEvery() * random.nextDouble());
        context.eventLoop.scheduleAfter(
                firstReportDelay,
                () -> context.eventLoop.scheduleEvery(spec.reportEvery(), requestHandler::takeLoadReport));
        // Servers check at different times, since checking all of them at once would delay other timers.
        context.eventLoop.scheduleAfter(
                (long) (IDLE_CHECK_INTERVAL_MICROS * random.nextDouble()),
                () -> context.eventLoop.scheduleEvery(IDLE_CHECK_INTERVAL_MICROS, this::closeIdle));
    }

    /** Sets the balancer through which the server calls the next tier; null for none. */
    void setBalancer(BalancerProcess balancer) {
        requestHandler.setNextTierClient(
                balancer == null
                        ? null
                        : new BalancerClient(context, balancer.spec(), balancer.address(), 0, Integer.MAX_VALUE));
    }

    /** Ends the server's process: connections are reset, new ones are refused. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        long now = context.eventLoop.now();
        for (ServerEndpoint endpoint : endpoints.values()) {
            endpoint.close();
            for (Connection connection : List.copyOf(endpoint.connections)) {
                if (connection.attachment instanceof ConnectionState state && state.job != null) {
                    context.ruleChecker.dispatchEnded(now, state.job.dispatch);
                }
                connection.reset();
            }
            endpoint.connections.clear();
        }
        openConnections.set(0);
        requestHandler.reset(now);
    }

    /** Starts the server's process again, empty and cold. */
    void restart() {
        if (up) {
            return;
        }
        try {
            for (ServerEndpoint endpoint : endpoints.values()) {
                endpoint.reopen();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        up = true;
        startedAt = context.eventLoop.now();
        coldStarts++;
        model.start(startedAt);
    }

    void startDraining() {
        model.setDraining(true);
    }

    /** Cuts the machine off from the network, or reconnects it, which resets all connections from before. */
    void setUnreachable(boolean unreachable) {
        this.unreachable = unreachable;
        endpoints.values().forEach(ServerEndpoint::updateReachability);
    }

    /** Applies a change of the zones that are cut off. */
    void updateReachability() {
        endpoints.values().forEach(ServerEndpoint::updateReachability);
    }

    void setSlowdown(double factor) {
        requestHandler.advanceModel();
        model.setSlowdown(context.eventLoop.now(), factor);
        requestHandler.scheduleAdvance();
    }

    void setHung(boolean hung) {
        requestHandler.advanceModel();
        model.setHung(context.eventLoop.now(), hung);
        requestHandler.scheduleAdvance();
    }

    void setPaused(boolean paused) {
        requestHandler.setPaused(paused);
    }

    void setResetShare(double share) {
        requestHandler.resetShare = share;
    }

    void setFaultyResponseShare(double share) {
        requestHandler.faultyResponseShare = share;
    }

    void setClosesIdleEarly(boolean closesIdleEarly) {
        this.closesIdleEarly = closesIdleEarly;
    }

    private void closeIdle() {
        if (!up || unreachable || requestHandler.paused()) {
            return;
        }
        long limit = context.eventLoop.now()
                - (closesIdleEarly
                        ? EARLY_CLOSE_IDLE_MICROS
                        : spec.kind().idle().micros());
        for (ServerEndpoint endpoint : endpoints.values()) {
            endpoint.connections.removeIf(connection -> {
                ConnectionState state = (ConnectionState) connection.attachment;
                boolean idle = state.job == null && !state.fresh && !state.unreachable && state.idleSince < limit;
                if (idle) {
                    openConnections.decrementAndGet();
                    connection.close();
                }
                return idle;
            });
        }
    }
}
