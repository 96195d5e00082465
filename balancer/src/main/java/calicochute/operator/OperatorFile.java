package calicochute.operator;

import calicochute.experiment.Experiment;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The contents of the operator's file, as validated by {@link OperatorFileReader}.
 *
 * @param cluster name of the fleet; datagrams of other fleets are ignored
 * @param me id of this balancer among the peers
 * @param listen the UDP address at which this balancer receives datagrams
 * @param peers all balancers of the fleet, including this one
 * @param share whether outcomes are shared with the peers
 * @param bandit whether the decision module gets estimates from the shared outcomes; requires {@code share}
 * @param experiments split experiments, in the file's order
 * @param state folder for the state of experiments across restarts; empty for none
 */
public record OperatorFile(
        String cluster,
        String me,
        InetSocketAddress listen,
        List<Peer> peers,
        boolean share,
        boolean bandit,
        List<Experiment> experiments,
        String state) {
    public OperatorFile {
        peers = List.copyOf(peers);
        experiments = List.copyOf(experiments);
    }

    /** A balancer and the address at which this one reaches it. */
    public record Peer(String id, InetSocketAddress address) {}

    /** The sorted ids of the peers: the same at all balancers, whatever the order in their files. */
    public List<String> peerIds() {
        return peers.stream().map(Peer::id).sorted().toList();
    }

    /** True if the file asks for anything that involves other balancers. */
    public boolean needsPeers() {
        return share || !experiments.isEmpty();
    }
}
