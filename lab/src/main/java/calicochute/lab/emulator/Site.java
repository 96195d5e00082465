package calicochute.lab.emulator;

import calicochute.lab.chance.Streams;
import calicochute.lab.evenness.Dispatch;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.referee.ClassRule;
import calicochute.lab.referee.RuleChecker;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.RequestClass;
import calicochute.lab.socket.Sockets;
import calicochute.lab.world.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** What all parts of an emulation share: world, sockets, referee, the requests under way, and who is cut off. */
final class Site {
    final EventLoop eventLoop = new EventLoop();
    final Sockets sockets = new Sockets(eventLoop);
    final Deployment deployment;
    final Scenario scenario;
    final Streams streams;
    final RuleChecker ruleChecker;
    final Map<String, Request> requests = new HashMap<>();
    final Set<String> cutZones = new HashSet<>();
    /** Every dispatch that came to a server, by tier, in order. */
    final List<List<Dispatch>> dispatches = new ArrayList<>();

    private final Map<String, Integer> balancerNumbers = new HashMap<>();
    /** Requests of all tiers whose caller still waits, those of clients as well as those of servers. */
    int awaited;
    /** No client waits any more and none will: servers make no further calls. */
    boolean closing;

    private final UniformRandomProvider ids;
    private final byte[] network;
    private int lastHost;

    Site(Deployment deployment, Streams streams) {
        this.deployment = deployment;
        this.scenario = deployment.scenario();
        this.streams = streams;
        ruleChecker = new RuleChecker(scenario.discovery().grace().micros() + Settings.SOCKET_SLACK);
        ids = streams.of("ids", 0);
        scenario.tiers().forEach(t -> dispatches.add(new ArrayList<>()));
        deployment.balancers().forEach(b -> balancerNumbers.put(b.name(), balancerNumbers.size()));
        // A loopback network for each process, so that two labs at once don't take each other's ports.
        long pid = ProcessHandle.current().pid();
        network = new byte[] {127, (byte) (16 + pid / 256 % 100), (byte) pid, 0};
    }

    /** A loopback address that no other party of this run has. */
    InetAddress nextAddress() {
        lastHost++;
        try {
            return InetAddress.getByAddress(new byte[] {
                network[0], (byte) (network[1] + lastHost / 250), network[2], (byte) (1 + lastHost % 250)
            });
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A party's address with a port that nobody listens at. */
    InetSocketAddress freeAddress() throws IOException {
        InetAddress host = nextAddress();
        try (ServerSocket free = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, free.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Enters a request under a new id. */
    Request request(Root root, int tier, BalancerSpec balancer) {
        Request request = new Request(String.format("%016x", ids.nextLong()), root, tier, balancer);
        requests.put(request.id(), request);
        return request;
    }

    /** Notes a dispatch; {@code first} where the balancer had not sent the request before. */
    void sent(long at, Request request, int server, boolean first) {
        dispatches
                .get(request.tier())
                .add(new Dispatch(at, balancerNumbers.get(request.balancer().name()), server, first));
    }

    RequestClass classOf(Root root) {
        return scenario.classes().get(root.arrival.classIndex());
    }

    ClassRule rule(Root root) {
        RequestClass c = classOf(root);
        return new ClassRule(c.effect(), c.window().micros());
    }

    /** Whether nothing passes between two zones. */
    boolean cut(String one, String other) {
        return !one.equals(other) && (cutZones.contains(one) || cutZones.contains(other));
    }
}
