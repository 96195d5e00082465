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
 * Discovery on sockets: one service for all balancers, each at an address of its own, so that what each was told is
 * known. One directory a tier. Tells the referee what every balancer has been told.
 */
final class DiscoveryHost {
    /** A watch goes on if its next call comes within this time of the last answer. */
    private static final long CONTINUES = 200_000;

    private static final long LONGEST_WATCH_MS = 60_000;
    /** What there is to tell counts as told after this time at the latest. */
    private static final long TOLD_AT_LATEST = 6_000_000;

    private static final Pattern WATCH = Pattern.compile("since=(\\d{1,18})");
    private static final Pattern TIMEOUT = Pattern.compile("timeout_ms=(\\d{1,9})");
    private final Site site;
    private final BiFunction<String, String, InetSocketAddress> address;
    private final List<InstanceRegistry> registries = new ArrayList<>();
    private final Map<String, Window> windows = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> toldStarts = new HashMap<>();
    private final CallQueue queue;
    private boolean down;

    /** @param address a server's address for callers of a zone */
    DiscoveryHost(Site site, BiFunction<String, String, InetSocketAddress> address) {
        this.site = site;
        this.address = address;
        Scenario.Discovery d = site.scenario.discovery();
        queue = new CallQueue(d.capacity().perSecond(), d.lines(), d.timeout().micros());
        site.scenario.tiers().forEach(t -> registries.add(new InstanceRegistry()));
    }

    void open() throws IOException {
        for (MachineSpec m : site.deployment.machines()) {
            registries.get(m.tier()).put(instance(m, State.READY, 0));
        }
        java.net.InetAddress host = site.nextAddress();
        for (BalancerSpec balancer : site.deployment.balancers()) {
            Window window = new Window(balancer);
            window.open(new InetSocketAddress(host, 0));
            windows.put(balancer.name(), window);
        }
    }

    private Instance instance(MachineSpec m, State state, long startedAt) {
        return new Instance(m.id(), m.zone(), m.kind().name(), m.cell(), site.deployment.size(m), state, startedAt);
    }

    InetSocketAddress at(BalancerSpec balancer) {
        return windows.get(balancer.name()).address;
    }

    /** The list that a balancer starts from: all that is visible now. */
    ObjectNode known(BalancerSpec balancer) {
        ListUpdate update = registries.get(balancer.tier()).completeList();
        told(balancer, update);
        return Settings.list(update, s -> address.apply(s, balancer.zone()));
    }

    /** Enters a change of a machine's state, which becomes visible after {@code notice} microseconds. */
    void enter(MachineSpec machine, State state, long startedAt, long notice) {
        site.eventLoop.scheduleAfter(notice, () -> {
            registries.get(machine.tier()).put(instance(machine, state, startedAt));
            windows.values().forEach(Window::tell);
            site.eventLoop.scheduleAfter(TOLD_AT_LATEST, () -> countsAsTold(machine, startedAt, state));
        });
    }

    /** Whatever became of its calls, a balancer counts as told now, unless the entry has changed again. */
    private void countsAsTold(MachineSpec machine, long startedAt, State state) {
        Instance now = registries.get(machine.tier()).instance(machine.id());
        if (down || now == null || now.state() != state || now.startedAt() != startedAt) {
            return;
        }
        for (BalancerSpec balancer : site.deployment.balancers()) {
            if (balancer.tier() == machine.tier()) {
                told(balancer, now);
            }
        }
    }

    boolean informed(String balancer, String server, long startedAt) {
        return toldStarts.getOrDefault(balancer, Map.of()).getOrDefault(server, 0L) >= startedAt;
    }

    private void told(BalancerSpec balancer, Instance instance) {
        if (instance.state() == State.READY) {
            site.ruleChecker.toldReady(balancer.name(), instance.id());
            toldStarts.computeIfAbsent(balancer.name(), b -> new HashMap<>()).put(instance.id(), instance.startedAt());
        } else {
            site.ruleChecker.toldLeaving(site.eventLoop.now(), balancer.name(), instance.id());
        }
    }

    private void told(BalancerSpec balancer, ListUpdate update) {
        Set<String> named = new LinkedHashSet<>();
        for (Instance instance : update.instances()) {
            named.add(instance.id());
            told(balancer, instance);
        }
        if (update.complete()) {
            site.deployment.machines(balancer.tier()).stream()
                    .filter(m -> !named.contains(m.id()))
                    .forEach(m -> site.ruleChecker.toldLeaving(site.eventLoop.now(), balancer.name(), m.id()));
        }
    }

    /** Goes down (calls and watches end, connections are refused) or comes back. */
    void down(boolean on) {
        down = on;
        try {
            for (Window window : windows.values()) {
                if (on) {
                    window.shut();
                } else {
                    window.open(window.address);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static final class Caller {
        long lastAnswerAt;
        Watch watch;
    }

    private record Watch(long since, EventLoop.Timer timeout) {}

    /** Discovery as one balancer sees it. */
    private final class Window implements Connection.Listener, Sockets.Acceptor {
        private final BalancerSpec balancer;
        private final InstanceRegistry registry;
        private final long delay;
        private final Set<Connection> connections = new LinkedHashSet<>();
        private InetSocketAddress address;
        private ListenerEndpoint listener;

        Window(BalancerSpec balancer) {
            this.balancer = balancer;
            registry = registries.get(balancer.tier());
            delay = site.scenario.zones().across().micros();
        }

        void open(InetSocketAddress at) throws IOException {
            listener = site.sockets.listen(at, this);
            address = (InetSocketAddress) listener.getAddress();
        }

        void shut() {
            Closer.closeQuietly(listener);
            connections.forEach(Connection::reset);
            connections.clear();
        }

        @Override
        public Connection.Listener apply(InetSocketAddress from) {
            return this;
        }

        @Override
        public void accepted(Connection connection) {
            connection.attachment = new Caller();
            if (down) {
                connection.reset();
            } else {
                connections.add(connection);
            }
        }

        @Override
        public void message(Connection connection, HttpMessage call) {
            if (down || site.cutZones.contains(balancer.zone())) {
                return;
            }
            Caller caller = (Caller) connection.attachment;
            Matcher since = WATCH.matcher(call.target());
            if (!since.find()) {
                take(
                        connection,
                        registry.completeList().instances().size(),
                        () -> answer(connection, registry.completeList()));
                return;
            }
            long known = Long.parseLong(since.group(1));
            Matcher timeout = TIMEOUT.matcher(call.target());
            long wait = timeout.find() ? Math.min(LONGEST_WATCH_MS, Long.parseLong(timeout.group(1))) : 0;
            Runnable look = () -> {
                ListUpdate update = registry.changesSince(known);
                if (update.instances().isEmpty() && wait > 0) {
                    caller.watch = new Watch(known, site.eventLoop.scheduleAfter(wait * 1000, () -> {
                        caller.watch = null;
                        answer(connection, registry.changesSince(known));
                    }));
                } else {
                    answer(connection, update);
                }
            };
            if (caller.lastAnswerAt > site.eventLoop.now() - CONTINUES) {
                site.eventLoop.scheduleAfter(delay, look);
            } else {
                take(connection, registry.changesSince(known).instances().size(), look);
            }
        }

        /** Calls are handled in turn; one that would wait too long fails. */
        private void take(Connection connection, int entries, Runnable task) {
            long done = queue.call(site.eventLoop.now(), entries);
            if (done == CallQueue.FAILED) {
                site.eventLoop.scheduleAfter(
                        queue.timeoutMicros(), () -> connection.write(HttpMessage.response(503, "", new byte[0])));
            } else {
                site.eventLoop.scheduleAt(done + delay, () -> {
                    if (!down) {
                        task.run();
                    }
                });
            }
        }

        private void answer(Connection connection, ListUpdate update) {
            if (!connection.isOpen() || down || site.cutZones.contains(balancer.zone())) {
                return;
            }
            ((Caller) connection.attachment).lastAnswerAt = site.eventLoop.now();
            told(balancer, update);
            connection.write(HttpMessage.response(
                    200,
                    "Content-Type: application/json\r\n",
                    Settings.list(update, s -> DiscoveryHost.this.address.apply(s, balancer.zone()))
                            .toString()
                            .getBytes(StandardCharsets.UTF_8)));
        }

        /** Something is new: whoever watches hears of it. */
        void tell() {
            for (Connection connection : List.copyOf(connections)) {
                Caller caller = (Caller) connection.attachment;
                if (caller.watch != null) {
                    ListUpdate update = registry.changesSince(caller.watch.since);
                    if (!update.instances().isEmpty()) {
                        caller.watch.timeout.cancel();
                        caller.watch = null;
                        answer(connection, update);
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
            if (((Caller) connection.attachment).watch != null) {
                ((Caller) connection.attachment).watch.timeout.cancel();
            }
        }
    }
}
