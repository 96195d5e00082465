package calicochute.lab.emulator;

import calicochute.lab.network.Conditions;
import calicochute.lab.network.DatagramProxy;
import calicochute.lab.network.Fault;
import calicochute.lab.network.FleetFile;
import calicochute.lab.network.LinkModel;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.TroublePlan;
import calicochute.lab.scenario.Scenario;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Balancers that talk to each other: the net between them, and the operator's file of each. */
final class FleetHost implements AutoCloseable {
    private final Site site;
    private final Scenario.Fleet fleet;
    private final Path folder;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final DatagramProxy proxy;

    FleetHost(Site site, Path folder) throws IOException {
        this.site = site;
        this.folder = folder;
        fleet = site.scenario.fleet();
        List<BalancerSpec> balancers = site.deployment.balancers();
        List<InetSocketAddress> real = new ArrayList<>();
        for (BalancerSpec balancer : balancers) {
            numbers.put(balancer.name(), numbers.size());
            // A host for each, so the port stays free for its process.
            try (DatagramChannel free = DatagramChannel.open()) {
                free.bind(new InetSocketAddress(site.nextAddress(), 0));
                real.add((InetSocketAddress) free.getLocalAddress());
            }
        }
        Scenario.Network n = fleet.network();
        proxy = new DatagramProxy(
                real,
                new LinkModel(
                        real.size(),
                        new Conditions(n.loss(), n.delay().micros(), n.repeat(), n.reorder()),
                        way -> site.streams.of("network", way)));
    }

    /** Writes a balancer's file, and says how its process finds it. */
    Map<String, String> environment(BalancerSpec balancer) {
        List<Integer> cluster = site.deployment.balancers().stream()
                .filter(b -> b.tier() == balancer.tier())
                .map(b -> numbers.get(b.name()))
                .toList();
        try {
            String state = null;
            if (fleet.state()) {
                state = Files.createDirectories(folder.resolve(balancer.name() + "-state"))
                        .toAbsolutePath()
                        .toString();
            }
            Path file = folder.resolve(balancer.name() + ".yaml");
            Files.writeString(
                    file,
                    FleetFile.of(
                                    site.scenario.tiers().get(balancer.tier()).name(),
                                    proxy,
                                    numbers.get(balancer.name()),
                                    cluster,
                                    fleet.share(),
                                    fleet.bandit(),
                                    fleet.experiments(),
                                    state)
                            .yaml());
            return Map.of(FleetFile.ENVIRONMENT_VARIABLE, file.toAbsolutePath().toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What a trouble of the network does to datagrams. */
    Fault fault(TroublePlan plan) {
        BitSet victims = set(plan.victims());
        long delay = plan.trouble().delay().micros();
        return switch (plan.trouble().kind()) {
            case NET_LOSS -> new Fault.Loss(victims, plan.trouble().factor());
            case NET_DELAY -> new Fault.Delay(victims, delay);
            case NET_CUT -> new Fault.Cut(victims, set(plan.others()));
            case NET_SPLIT -> new Fault.Split(victims);
            case NET_SLOW_PEER -> new Fault.SlowPeer(victims, delay);
            default -> throw new IllegalStateException(plan.trouble().kind().word());
        };
    }

    private BitSet set(List<String> balancers) {
        BitSet set = new BitSet();
        balancers.forEach(b -> set.set(numbers.get(b)));
        return set;
    }

    void begin(Fault fault) {
        proxy.beginFault(fault);
    }

    void end(Fault fault) {
        proxy.endFault(fault);
    }

    /** Datagrams by what became of them. */
    Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (DatagramProxy.Count what : DatagramProxy.Count.values()) {
            counts.put(what.name().toLowerCase(Locale.ROOT), proxy.count(what));
        }
        return counts;
    }

    @Override
    public void close() {
        proxy.close();
    }
}
