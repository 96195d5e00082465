package calicochute.operator;

import calicochute.experiment.Experiment;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The operator's own file, as checked by {@link OperatorFileReader}.
 *
 * @param cluster the fleet's name: datagrams of another are not heard
 * @param me this balancer among the peers
 * @param listen the UDP address at which it hears them
 * @param peers all balancers of the fleet, this one too
 * @param share outcomes are shared
 * @param bandit what the fleet knows is told to the decision module; needs {@code share}
 * @param experiments split experiments, in the file's order
 * @param state the folder in which experiments outlive the process; empty: none
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

    /** A balancer and where it is reached, as seen from this one. */
    public record Peer(String id, InetSocketAddress address) {}

    /** The peers' names in order: the same at all balancers, however each file lists them. */
    public List<String> ids() {
        return peers.stream().map(Peer::id).sorted().toList();
    }

    /** True if anything in it needs other balancers. */
    public boolean talks() {
        return share || !experiments.isEmpty();
    }
}
