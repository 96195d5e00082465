package calicochute.lab.emulator;

import calicochute.lab.evenness.Dispatch;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.plan.Deployment;
import calicochute.lab.random.RandomStreams;
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

/** What all parts of an emulation share, such as the event loop, the sockets, the rule checker and the requests. */
final class EmulationContext {
    final EventLoop eventLoop = new EventLoop();
    final Sockets sockets = new Sockets(eventLoop);
    final Deployment deployment;
    final Scenario scenario;
    final RandomStreams streams;
    final RuleChecker ruleChecker;
    /** All requests by their ids. */
    final Map<String, Request> requests = new HashMap<>();
    /** Zones cut off from all other zones. */
    final Set<String> isolatedZones = new HashSet<>();
    /** For each tier the dispatches that its servers have received, in order. */
    final List<List<Dispatch>> dispatches = new ArrayList<>();

    private final Map<String, Integer> balancerNumbers = new HashMap<>();
    /** Requests of all tiers, from clients and from servers, whose caller still waits. */
    int pendingCalls;
    /** Whether all clients have finished; servers then make no further calls. */
    boolean closing;

    private final UniformRandomProvider requestIds;
    private final byte[] networkPrefix;
    private int lastHostNumber;

    EmulationContext(Deployment deployment, RandomStreams streams) {
        this.deployment = deployment;
        this.scenario = deployment.scenario();
        this.streams = streams;
        ruleChecker =
                new RuleChecker(scenario.discovery().grace().micros() + BalancerConfiguration.SOCKET_GRACE_MICROS);
        requestIds = streams.of("ids", 0);
        scenario.tiers().forEach(t -> dispatches.add(new ArrayList<>()));
        deployment.balancers().forEach(b -> balancerNumbers.put(b.name(), balancerNumbers.size()));
        // Each lab process uses a loopback network of its own, so that concurrent labs do not take each other's ports.
        long pid = ProcessHandle.current().pid();
        networkPrefix = new byte[] {127, (byte) (16 + pid / 256 % 100), (byte) pid, 0};
    }

    /** A loopback address that nothing else in this run uses. */
    InetAddress nextAddress() {
        lastHostNumber++;
        try {
            return InetAddress.getByAddress(new byte[] {
                networkPrefix[0],
                (byte) (networkPrefix[1] + lastHostNumber / 250),
                networkPrefix[2],
                (byte) (1 + lastHostNumber % 250)
            });
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A loopback address of its own with a free port. */
    InetSocketAddress freeAddress() throws IOException {
        InetAddress host = nextAddress();
        try (ServerSocket free = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, free.getLocalPort());
        }
    }

    /** The address as {@code host:port}. */
    static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Creates a request under a new id and registers it. */
    Request registerRequest(ClientRequest clientRequest, int tier, BalancerSpec balancer) {
        Request request = new Request(String.format("%016x", requestIds.nextLong()), clientRequest, tier, balancer);
        requests.put(request.id(), request);
        return request;
    }

    /** Records a dispatch; {@code first} if it is the balancer's first dispatch of the request. */
    void recordDispatch(long at, Request request, int server, boolean first) {
        dispatches
                .get(request.tier())
                .add(new Dispatch(at, balancerNumbers.get(request.balancer().name()), server, first));
    }

    RequestClass requestClass(ClientRequest clientRequest) {
        return scenario.classes().get(clientRequest.arrival.classIndex());
    }

    ClassRule classRule(ClientRequest clientRequest) {
        RequestClass requestClass = requestClass(clientRequest);
        return new ClassRule(requestClass.effect(), requestClass.window().micros());
    }

    /** Whether the network between two zones is cut. */
    boolean isCut(String one, String other) {
        return !one.equals(other) && (isolatedZones.contains(one) || isolatedZones.contains(other));
    }
}
