package calicochute.lab.emulator;

import calicochute.lab.discovery.CallQueue;
import calicochute.lab.discovery.InstanceRegistry;
import calicochute.lab.discovery.InstanceRegistry.Instance;
import calicochute.lab.discovery.InstanceRegistry.ListUpdate;
import calicochute.lab.discovery.InstanceRegistry.State;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.server.MachineSpec;
import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.socket.Sockets;
import calicochute.lab.world.EventLoop;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.ListenerEndpoint;

/**
 * The discovery service on sockets, with a registry for each tier. Each balancer gets an address of its own, so that it
 * is known what each has been told; the rule checker is informed of that.
 */
final class EmulatedDiscovery {
    /** A call within this time after the last response continues a watch, and does not go through the call queue. */
    private static final long WATCH_CONTINUATION_MICROS = 200_000;

    private static final long MAX_WATCH_MILLIS = 60_000;
    /** A change counts as told to all balancers this long after it has become visible. */
    private static final long ASSUMED_TOLD_AFTER_MICROS = 6_000_000;

    private static final Pattern SINCE_PARAMETER = Pattern.compile("since=(\\d{1,18})");
    private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("timeout_ms=(\\d{1,9})");
    private final EmulationContext context;
    private final BiFunction<String, String, InetSocketAddress> serverAddress;
    private final List<InstanceRegistry> registries = new ArrayList<>();
    private final Map<String, DiscoveryEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> toldStartsByBalancer = new HashMap<>();
    private final CallQueue callQueue;
    private boolean unavailable;

    /** @param serverAddress gives the address of a server, by its id, for callers of a zone */
    EmulatedDiscovery(EmulationContext context, BiFunction<String, String, InetSocketAddress> serverAddress) {
        this.context = context;
        this.serverAddress = serverAddress;
        Scenario.Discovery discovery = context.scenario.discovery();
        callQueue = new CallQueue(
                discovery.capacity().perSecond(),
                discovery.lines(),
                discovery.timeout().micros());
        context.scenario.tiers().forEach(tier -> registries.add(new InstanceRegistry()));
    }

    void open() throws IOException {
        for (MachineSpec machine : context.deployment.machines()) {
            registries.get(machine.tier()).put(instance(machine, State.READY, 0));
        }
        java.net.InetAddress host = context.nextAddress();
        for (BalancerSpec balancer : context.deployment.balancers()) {
            DiscoveryEndpoint endpoint = new DiscoveryEndpoint(balancer);
            endpoint.open(new InetSocketAddress(host, 0));
            endpoints.put(balancer.name(), endpoint);
        }
    }

    private Instance instance(MachineSpec machine, State state, long startedAt) {
        return new Instance(
                machine.id(),
                machine.zone(),
                machine.kind().name(),
                machine.cell(),
                context.deployment.discoveryWeight(machine),
                state,
                startedAt);
    }

    InetSocketAddress address(BalancerSpec balancer) {
        return endpoints.get(balancer.name()).address;
    }

    /** The complete list for a balancer's configuration file, which counts as told. */
    ObjectNode initialList(BalancerSpec balancer) {
        ListUpdate update = registries.get(balancer.tier()).completeList();
        recordTold(balancer, update);
        return BalancerConfiguration.list(update, server -> serverAddress.apply(server, balancer.zone()));
    }

    /** Schedules a change of a machine's state, which becomes visible after a delay. */
    void scheduleChange(MachineSpec machine, State state, long startedAt, long delayMicros) {
        context.eventLoop.scheduleAfter(delayMicros, () -> {
            registries.get(machine.tier()).put(instance(machine, state, startedAt));
            endpoints.values().forEach(DiscoveryEndpoint::notifyWatchers);
            context.eventLoop.scheduleAfter(ASSUMED_TOLD_AFTER_MICROS, () -> assumeTold(machine, startedAt, state));
        });
    }

    /** Counts all balancers of the tier as told, even if their calls failed, unless the instance has changed again. */
    private void assumeTold(MachineSpec machine, long startedAt, State state) {
        Instance current = registries.get(machine.tier()).instance(machine.id());
        if (unavailable || current == null || current.state() != state || current.startedAt() != startedAt) {
            return;
        }
        for (BalancerSpec balancer : context.deployment.balancers()) {
            if (balancer.tier() == machine.tier()) {
                recordTold(balancer, current);
            }
        }
    }

    /** Whether a balancer has been told of a start of a server at this time or later. */
    boolean isInformed(String balancer, String server, long startedAt) {
        return toldStartsByBalancer.getOrDefault(balancer, Map.of()).getOrDefault(server, 0L) >= startedAt;
    }

    private void recordTold(BalancerSpec balancer, Instance instance) {
        if (instance.state() == State.READY) {
            context.ruleChecker.toldReady(balancer.name(), instance.id());
            toldStartsByBalancer
                    .computeIfAbsent(balancer.name(), name -> new HashMap<>())
                    .put(instance.id(), instance.startedAt());
        } else {
            context.ruleChecker.toldLeaving(context.eventLoop.now(), balancer.name(), instance.id());
        }
    }

    private void recordTold(BalancerSpec balancer, ListUpdate update) {
        Set<String> listedIds = new LinkedHashSet<>();
        for (Instance instance : update.instances()) {
            listedIds.add(instance.id());
            recordTold(balancer, instance);
        }
        if (update.complete()) {
            context.deployment.machines(balancer.tier()).stream()
                    .filter(machine -> !listedIds.contains(machine.id()))
                    .forEach(machine ->
                            context.ruleChecker.toldLeaving(context.eventLoop.now(), balancer.name(), machine.id()));
        }
    }

    /** Makes discovery unavailable (connections are reset, new ones refused) or available again. */
    void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
        try {
            for (DiscoveryEndpoint endpoint : endpoints.values()) {
                if (unavailable) {
                    endpoint.close();
                } else {
                    endpoint.open(endpoint.address);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What discovery keeps for a connection. */
    private static final class CallerState {
        long lastResponseAt;
        Watch watch;
    }

    /** A call that waits for changes after a version. */
    private record Watch(long knownVersion, EventLoop.Timer timeout) {}

    /** The address of discovery for one balancer, with its connections. */
    private final class DiscoveryEndpoint implements Connection.Listener, Sockets.Acceptor {
        private final BalancerSpec balancer;
        private final InstanceRegistry registry;
        private final long delayMicros;
        private final Set<Connection> connections = new LinkedHashSet<>();
        private InetSocketAddress address;
        private ListenerEndpoint listener;

        DiscoveryEndpoint(BalancerSpec balancer) {
            this.balancer = balancer;
            registry = registries.get(balancer.tier());
            delayMicros = context.scenario.zones().across().micros();
        }

        void open(InetSocketAddress requested) throws IOException {
            listener = context.sockets.listen(requested, this);
            address = (InetSocketAddress) listener.getAddress();
        }

        void close() {
            Closer.closeQuietly(listener);
            connections.forEach(Connection::reset);
            connections.clear();
        }

        @Override
        public Connection.Listener apply(InetSocketAddress peer) {
            return this;
        }

        @Override
        public void accepted(Connection connection) {
            connection.attachment = new CallerState();
            if (unavailable) {
                connection.reset();
            } else {
                connections.add(connection);
            }
        }

        @Override
        public void message(Connection connection, HttpMessage call) {
            if (unavailable || context.isolatedZones.contains(balancer.zone())) {
                return;
            }
            CallerState state = (CallerState) connection.attachment;
            Matcher since = SINCE_PARAMETER.matcher(call.target());
            if (!since.find()) {
                handleCall(
                        connection,
                        registry.completeList().instances().size(),
                        () -> respond(connection, registry.completeList()));
                return;
            }
            long knownVersion = Long.parseLong(since.group(1));
            Matcher timeout = TIMEOUT_PARAMETER.matcher(call.target());
            long waitMillis = timeout.find() ? Math.min(MAX_WATCH_MILLIS, Long.parseLong(timeout.group(1))) : 0;
            Runnable respondOrWatch = () -> {
                ListUpdate update = registry.changesSince(knownVersion);
                if (update.instances().isEmpty() && waitMillis > 0) {
                    state.watch = new Watch(knownVersion, context.eventLoop.scheduleAfter(waitMillis * 1000, () -> {
                        state.watch = null;
                        respond(connection, registry.changesSince(knownVersion));
                    }));
                } else {
                    respond(connection, update);
                }
            };
            if (state.lastResponseAt > context.eventLoop.now() - WATCH_CONTINUATION_MICROS) {
                context.eventLoop.scheduleAfter(delayMicros, respondOrWatch);
            } else {
                handleCall(
                        connection,
                        registry.changesSince(knownVersion).instances().size(),
                        respondOrWatch);
            }
        }

        /** Runs a call once the call queue has handled it; a call that would wait too long fails with status 503. */
        private void handleCall(Connection connection, int entries, Runnable task) {
            long doneAt = callQueue.call(context.eventLoop.now(), entries);
            if (doneAt == CallQueue.FAILED) {
                context.eventLoop.scheduleAfter(
                        callQueue.timeoutMicros(), () -> connection.write(HttpMessage.response(503, "", new byte[0])));
            } else {
                context.eventLoop.scheduleAt(doneAt + delayMicros, () -> {
                    if (!unavailable) {
                        task.run();
                    }
                });
            }
        }

        private void respond(Connection connection, ListUpdate update) {
            if (!connection.isOpen() || unavailable || context.isolatedZones.contains(balancer.zone())) {
                return;
            }
            ((CallerState) connection.attachment).lastResponseAt = context.eventLoop.now();
            recordTold(balancer, update);
            connection.write(HttpMessage.response(
                    200,
                    "Content-Type: application/json\r\n",
                    BalancerConfiguration.list(update, server -> serverAddress.apply(server, balancer.zone()))
                            .toString()
                            .getBytes(StandardCharsets.UTF_8)));
        }

        /** Responds to the watches for which there are changes. */
        void notifyWatchers() {
            for (Connection connection : List.copyOf(connections)) {
                CallerState state = (CallerState) connection.attachment;
                if (state.watch != null) {
                    ListUpdate update = registry.changesSince(state.watch.knownVersion);
                    if (!update.instances().isEmpty()) {
                        state.watch.timeout.cancel();
                        state.watch = null;
                        respond(connection, update);
                    }
                }
            }
        }

        @Override
        public void malformed(Connection connection, String reason) {
            connection.close();
            connections.remove(connection);
        }

        @Override
        public void closed(Connection connection, boolean reset, boolean midMessage) {
            connections.remove(connection);
            if (((CallerState) connection.attachment).watch != null) {
                ((CallerState) connection.attachment).watch.timeout.cancel();
            }
        }
    }
}
