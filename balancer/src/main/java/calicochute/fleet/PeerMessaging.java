package calicochute.fleet;

import calicochute.exchange.DecisionQueue;
import calicochute.gossip.ClusterConfig;
import calicochute.gossip.Gossip;
import calicochute.gossip.Limits;
import calicochute.gossip.Member;
import calicochute.metrics.Log;
import calicochute.operator.OperatorFile;
import calicochute.outcomes.Origin;
import calicochute.outcomes.OutcomeSharing;
import calicochute.outcomes.Transport;
import calicochute.outcomes.Windows;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The messages between this balancer and its peers: gossip over datagrams, and on top of it the channels of shared
 * outcomes, of experiments' counts and of the agreement on sealed windows.
 */
final class PeerMessaging {
    private static final int OUTCOMES_CHANNEL = 1;
    private static final int COUNTS_CHANNEL = 2;
    private static final int SEAL_CHANNEL = 3;
    /** Number of windows after which a published row expires. */
    private static final int ROW_LIFETIME_WINDOWS = 10;
    /** Length of the prefix of an experiment's messages, the hash of its name. */
    private static final int EXPERIMENT_HASH_BYTES = 4;

    private final DecisionQueue queue;
    private final String me;
    private final List<ExperimentRunner> experiments;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Gossip gossip;
    private final OutcomeSharing sharing;
    private final UdpEndpoint endpoint;
    private boolean closed;

    /** @param experiments the running experiments; the caller changes the list */
    PeerMessaging(
            OperatorFile file, DecisionQueue queue, long startMicros, long seed, List<ExperimentRunner> experiments)
            throws FleetException {
        this.queue = queue;
        this.experiments = experiments;
        me = file.me();
        file.peers().forEach(peer -> addresses.put(peer.id(), peer.address()));
        List<Member> members = file.peers().stream()
                .map(peer -> new Member(peer.id(), peer.address().toString()))
                .toList();
        gossip = new Gossip(
                new ClusterConfig(file.cluster(), me, members),
                startMicros,
                Limits.defaults(),
                seed,
                this::send,
                new GossipListener());
        sharing = file.share()
                ? new OutcomeSharing(new Origin(me, startMicros), Windows.DEFAULT, new OutcomeTransport())
                : null;
        endpoint = new UdpEndpoint(file.listen(), this::onDatagram);
    }

    private void onDatagram(byte[] datagram) {
        queue.post(() -> {
            endpoint.release();
            if (!closed) {
                gossip.receive(queue.now(), datagram);
            }
        });
    }

    private void send(String peer, byte[] datagram) {
        endpoint.send(addresses.get(peer), datagram);
    }

    /** The shared outcomes; null if outcomes are not shared. */
    OutcomeSharing sharing() {
        return sharing;
    }

    Set<String> live() {
        return gossip.live();
    }

    void tick(long nowMicros) {
        gossip.tick(nowMicros);
    }

    /** Closes the socket; datagrams that are still queued are ignored. */
    void close() {
        closed = true;
        endpoint.close();
    }

    /** Lines of the fleet report for operators. */
    String report() {
        return "overflowed " + endpoint.overflowed() + "\nunsent " + endpoint.unsent() + "\n"
                + gossip.metrics().text();
    }

    /** Sends an experiment's counts of a window to a peer that may seal it. */
    void sendCounts(String name, String peer, byte[] counts) {
        gossip.sendDirect(queue.now(), peer, COUNTS_CHANNEL, withExperimentHash(name, counts));
    }

    /** Sends a peer a message of the agreement on an experiment's sealed windows. */
    void sendSealMessage(String name, String peer, byte[] message) {
        gossip.sendDirect(queue.now(), peer, SEAL_CHANNEL, withExperimentHash(name, message));
    }

    private static byte[] withExperimentHash(String name, byte[] body) {
        return ByteBuffer.allocate(EXPERIMENT_HASH_BYTES + body.length)
                .putInt(name.hashCode())
                .put(body)
                .array();
    }

    private final class GossipListener implements Gossip.Listener {
        @Override
        public void onDirectMessage(long nowMicros, String from, long fromStart, int channel, byte[] body) {
            if (channel == OUTCOMES_CHANNEL && sharing != null) {
                sharing.onReport(nowMicros, from, fromStart, body);
            } else if (body.length > EXPERIMENT_HASH_BYTES && (channel == COUNTS_CHANNEL || channel == SEAL_CHANNEL)) {
                int experimentHash = ByteBuffer.wrap(body).getInt();
                byte[] rest = Arrays.copyOfRange(body, EXPERIMENT_HASH_BYTES, body.length);
                for (ExperimentRunner experiment : experiments) {
                    if (experiment.name().hashCode() == experimentHash && channel == COUNTS_CHANNEL) {
                        experiment.onCounts(nowMicros, from, rest);
                    } else if (experiment.name().hashCode() == experimentHash) {
                        experiment.onSealMessage(nowMicros, from, rest);
                    }
                }
            }
        }

        @Override
        public void onEntry(
                long nowMicros, String from, long fromStart, int channel, String key, long version, byte[] body) {
            if (channel == OUTCOMES_CHANNEL && sharing != null) {
                sharing.onRows(nowMicros, from, fromStart, key, version, body);
            }
        }

        @Override
        public void onDuplicateId(long nowMicros, String id, long firstStart, long secondStart) {
            Log.warn(
                    "fleet-twins",
                    "id=" + id + " starts=" + firstStart + "," + secondStart + ": two processes use the same id");
        }

        @Override
        public void onLiveMembersChanged(long nowMicros, Set<String> live) {
            Log.info("fleet-members", "live=" + live.size() + " of=" + addresses.size());
        }
    }

    private final class OutcomeTransport implements Transport {
        @Override
        public void send(String peer, byte[] body) {
            gossip.sendDirect(queue.now(), peer, OUTCOMES_CHANNEL, body);
        }

        @Override
        public void broadcast(String key, long version, byte[] body) {
            gossip.publish(
                    queue.now(),
                    OUTCOMES_CHANNEL,
                    me + "/" + key,
                    version,
                    body,
                    queue.now() + ROW_LIFETIME_WINDOWS * Windows.DEFAULT.length());
        }

        @Override
        public Set<String> live() {
            return gossip.live();
        }
    }
}
