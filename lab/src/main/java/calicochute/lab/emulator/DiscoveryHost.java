package calicochute.lab.emulator;

import calicochute.lab.discovery.CallQueue;
import calicochute.lab.discovery.Directory;
import calicochute.lab.discovery.Directory.Entry;
import calicochute.lab.discovery.Directory.Page;
import calicochute.lab.discovery.Directory.State;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.server.MachineSpec;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.socket.Link;
import calicochute.lab.socket.Sockets;
import calicochute.lab.world.World;
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
    private final List<Directory> directories = new ArrayList<>();
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
        site.scenario.tiers().forEach(t -> directories.add(new Directory()));
    }

    void open() throws IOException {
        for (MachineSpec m : site.deployment.machines()) {
            directories.get(m.tier()).set(entry(m, State.READY, 0));
        }
        java.net.InetAddress host = site.nextAddress();
        for (BalancerSpec balancer : site.deployment.balancers()) {
            Window window = new Window(balancer);
            window.open(new InetSocketAddress(host, 0));
            windows.put(balancer.name(), window);
        }
    }

    private Entry entry(MachineSpec m, State state, long startedAt) {
        return new Entry(
                m.id(), m.zone(), m.kind().name(), m.cell(), site.deployment.discoveryWeight(m), state, startedAt);
    }

    InetSocketAddress at(BalancerSpec balancer) {
        return windows.get(balancer.name()).address;
    }

    /** The list that a balancer starts from: all that is visible now. */
    ObjectNode known(BalancerSpec balancer) {
        Page page = directories.get(balancer.tier()).whole();
        told(balancer, page);
        return Settings.list(page, s -> address.apply(s, balancer.zone()));
    }

    /** Enters a change of a machine's state, which becomes visible after {@code notice} microseconds. */
    void enter(MachineSpec machine, State state, long startedAt, long notice) {
        site.world.after(notice, () -> {
            directories.get(machine.tier()).set(entry(machine, state, startedAt));
            windows.values().forEach(Window::tell);
            site.world.after(TOLD_AT_LATEST, () -> countsAsTold(machine, startedAt, state));
        });
    }

    /** Whatever became of its calls, a balancer counts as told now, unless the entry has changed again. */
    private void countsAsTold(MachineSpec machine, long startedAt, State state) {
        Entry now = directories.get(machine.tier()).entry(machine.id());
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

    private void told(BalancerSpec balancer, Entry entry) {
        if (entry.state() == State.READY) {
            site.referee.toldReady(balancer.name(), entry.id());
            toldStarts.computeIfAbsent(balancer.name(), b -> new HashMap<>()).put(entry.id(), entry.startedAt());
        } else {
            site.referee.toldLeaving(site.world.now(), balancer.name(), entry.id());
        }
    }

    private void told(BalancerSpec balancer, Page page) {
        Set<String> named = new LinkedHashSet<>();
        for (Entry entry : page.entries()) {
            named.add(entry.id());
            told(balancer, entry);
        }
        if (page.whole()) {
            site.deployment.machines(balancer.tier()).stream()
                    .filter(m -> !named.contains(m.id()))
                    .forEach(m -> site.referee.toldLeaving(site.world.now(), balancer.name(), m.id()));
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

    private record Watch(long since, World.Alarm timeout) {}

    /** Discovery as one balancer sees it. */
    private final class Window implements Link.Owner, Sockets.Acceptor {
        private final BalancerSpec balancer;
        private final Directory directory;
        private final long delay;
        private final Set<Link> links = new LinkedHashSet<>();
        private InetSocketAddress address;
        private ListenerEndpoint listener;

        Window(BalancerSpec balancer) {
            this.balancer = balancer;
            directory = directories.get(balancer.tier());
            delay = site.scenario.zones().across().micros();
        }

        void open(InetSocketAddress at) throws IOException {
            listener = site.sockets.listen(at, this);
            address = (InetSocketAddress) listener.getAddress();
        }

        void shut() {
            Closer.closeQuietly(listener);
            links.forEach(Link::reset);
            links.clear();
        }

        @Override
        public Link.Owner apply(InetSocketAddress from) {
            return this;
        }

        @Override
        public void accepted(Link link) {
            link.mark = new Caller();
            if (down) {
                link.reset();
            } else {
                links.add(link);
            }
        }

        @Override
        public void message(Link link, HttpMessage call) {
            if (down || site.cutZones.contains(balancer.zone())) {
                return;
            }
            Caller caller = (Caller) link.mark;
            Matcher since = WATCH.matcher(call.target());
            if (!since.find()) {
                take(link, directory.whole().entries().size(), () -> answer(link, directory.whole()));
                return;
            }
            long known = Long.parseLong(since.group(1));
            Matcher timeout = TIMEOUT.matcher(call.target());
            long wait = timeout.find() ? Math.min(LONGEST_WATCH_MS, Long.parseLong(timeout.group(1))) : 0;
            Runnable look = () -> {
                Page page = directory.since(known);
                if (page.entries().isEmpty() && wait > 0) {
                    caller.watch = new Watch(known, site.world.after(wait * 1000, () -> {
                        caller.watch = null;
                        answer(link, directory.since(known));
                    }));
                } else {
                    answer(link, page);
                }
            };
            if (caller.lastAnswerAt > site.world.now() - CONTINUES) {
                site.world.after(delay, look);
            } else {
                take(link, directory.since(known).entries().size(), look);
            }
        }

        /** Calls are handled in turn; one that would wait too long fails. */
        private void take(Link link, int lines, Runnable task) {
            long done = queue.call(site.world.now(), lines);
            if (done == CallQueue.FAILED) {
                site.world.after(queue.timeout(), () -> link.write(HttpMessage.answer(503, "", new byte[0])));
            } else {
                site.world.at(done + delay, () -> {
                    if (!down) {
                        task.run();
                    }
                });
            }
        }

        private void answer(Link link, Page page) {
            if (!link.open() || down || site.cutZones.contains(balancer.zone())) {
                return;
            }
            ((Caller) link.mark).lastAnswerAt = site.world.now();
            told(balancer, page);
            link.write(HttpMessage.answer(
                    200,
                    "Content-Type: application/json\r\n",
                    Settings.list(page, s -> DiscoveryHost.this.address.apply(s, balancer.zone()))
                            .toString()
                            .getBytes(StandardCharsets.UTF_8)));
        }

        /** Something is new: whoever watches hears of it. */
        void tell() {
            for (Link link : List.copyOf(links)) {
                Caller caller = (Caller) link.mark;
                if (caller.watch != null) {
                    Page page = directory.since(caller.watch.since);
                    if (!page.entries().isEmpty()) {
                        caller.watch.timeout.cancel();
                        caller.watch = null;
                        answer(link, page);
                    }
                }
            }
        }

        @Override
        public void unreadable(Link link, String why) {
            link.close();
            links.remove(link);
        }

        @Override
        public void closed(Link link, boolean reset, boolean midway) {
            links.remove(link);
            if (((Caller) link.mark).watch != null) {
                ((Caller) link.mark).watch.timeout.cancel();
            }
        }
    }
}
