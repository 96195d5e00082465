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

/** The network between balancers that exchange datagrams, and their operator's files. */
final class FleetNetwork implements AutoCloseable {
    private final EmulationContext context;
    private final Scenario.Fleet fleet;
    private final Path folder;
    private final Map<String, Integer> processNumbers = new HashMap<>();
    private final DatagramProxy proxy;

    FleetNetwork(EmulationContext context, Path folder) throws IOException {
        this.context = context;
        this.folder = folder;
        fleet = context.scenario.fleet();
        List<BalancerSpec> balancers = context.deployment.balancers();
        List<InetSocketAddress> processAddresses = new ArrayList<>();
        for (BalancerSpec balancer : balancers) {
            processNumbers.put(balancer.name(), processNumbers.size());
            // Each process gets an address of its own, so that nothing else takes the port before the process binds it.
            try (DatagramChannel channel = DatagramChannel.open()) {
                channel.bind(new InetSocketAddress(context.nextAddress(), 0));
                processAddresses.add((InetSocketAddress) channel.getLocalAddress());
            }
        }
        Scenario.Network network = fleet.network();
        proxy = new DatagramProxy(
                processAddresses,
                new LinkModel(
                        processAddresses.size(),
                        new Conditions(network.loss(), network.delay().micros(), network.repeat(), network.reorder()),
                        link -> context.streams.of("network", link)));
    }

    /** Writes a balancer's operator's file, and returns the environment variable that names it. */
    Map<String, String> environment(BalancerSpec balancer) {
        List<Integer> cluster = context.deployment.balancers().stream()
                .filter(b -> b.tier() == balancer.tier())
                .map(b -> processNumbers.get(b.name()))
                .toList();
        try {
            String stateFolder = null;
            if (fleet.state()) {
                stateFolder = Files.createDirectories(folder.resolve(balancer.name() + "-state"))
                        .toAbsolutePath()
                        .toString();
            }
            Path file = folder.resolve(balancer.name() + ".yaml");
            Files.writeString(
                    file,
                    FleetFile.of(
                                    context.scenario
                                            .tiers()
                                            .get(balancer.tier())
                                            .name(),
                                    proxy,
                                    processNumbers.get(balancer.name()),
                                    cluster,
                                    fleet.share(),
                                    fleet.bandit(),
                                    fleet.experiments(),
                                    stateFolder)
                            .yaml());
            return Map.of(FleetFile.ENVIRONMENT_VARIABLE, file.toAbsolutePath().toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The fault that carries out a network trouble. */
    Fault fault(TroublePlan plan) {
        BitSet victims = numbersOf(plan.victims());
        long delay = plan.trouble().delay().micros();
        return switch (plan.trouble().kind()) {
            case NET_LOSS -> new Fault.Loss(victims, plan.trouble().factor());
            case NET_DELAY -> new Fault.Delay(victims, delay);
            case NET_CUT -> new Fault.Cut(victims, numbersOf(plan.others()));
            case NET_SPLIT -> new Fault.Split(victims);
            case NET_SLOW_PEER -> new Fault.SlowPeer(victims, delay);
            default -> throw new IllegalStateException(plan.trouble().kind().word());
        };
    }

    private BitSet numbersOf(List<String> balancers) {
        BitSet result = new BitSet();
        balancers.forEach(name -> result.set(processNumbers.get(name)));
        return result;
    }

    void beginFault(Fault fault) {
        proxy.beginFault(fault);
    }

    void endFault(Fault fault) {
        proxy.endFault(fault);
    }

    /** The counts of datagrams by what happened to them. */
    Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        for (DatagramProxy.Count count : DatagramProxy.Count.values()) {
            counts.put(count.name().toLowerCase(Locale.ROOT), proxy.count(count));
        }
        return counts;
    }

    @Override
    public void close() {
        proxy.close();
    }
}
