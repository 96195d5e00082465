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
 * What this balancer says to the others and hears of them: datagrams, what in them is for whom, and the carriers of
 * outcomes and experiments.
 */
final class Channels {
    private static final int OUTCOMES = 1;
    private static final int COUNTS = 2;
    private static final int SEAL = 3;
    /** Rows older than this many windows say nothing any more. */
    private static final int ROWS_KEPT = 10;
    /** Bytes before what an experiment says: which one it is. */
    private static final int MARK = 4;

    private final DecisionQueue queue;
    private final String me;
    private final List<Trial> trials;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Gossip gossip;
    private final OutcomeSharing sharing;
    private final Datagrams datagrams;
    private boolean closed;

    /** @param trials as they are now */
    Channels(OperatorFile file, DecisionQueue queue, long start, long seed, List<Trial> trials) throws FleetException {
        this.queue = queue;
        this.trials = trials;
        me = file.me();
        file.peers().forEach(p -> addresses.put(p.id(), p.address()));
        List<Member> members = file.peers().stream()
                .map(p -> new Member(p.id(), p.address().toString()))
                .toList();
        gossip = new Gossip(
                new ClusterConfig(file.cluster(), me, members), start, Limits.defaults(), seed, this::send, new Ears());
        sharing = file.share() ? new OutcomeSharing(new Origin(me, start), Windows.DEFAULT, new Rows()) : null;
        datagrams = new Datagrams(file.listen(), this::came);
    }

    private void came(byte[] datagram) {
        queue.post(() -> {
            datagrams.taken();
            if (!closed) {
                gossip.receive(queue.now(), datagram);
            }
        });
    }

    private void send(String peer, byte[] datagram) {
        datagrams.send(addresses.get(peer), datagram);
    }

    /** Null where outcomes are not shared. */
    OutcomeSharing sharing() {
        return sharing;
    }

    Set<String> live() {
        return gossip.live();
    }

    void tick(long now) {
        gossip.tick(now);
    }

    /** Nothing that comes is heard from here on. */
    void close() {
        closed = true;
        datagrams.close();
    }

    /** Lines for staff. */
    String text() {
        return "overflowed " + datagrams.overflowed() + "\nunsent " + datagrams.unsent() + "\n"
                + gossip.metrics().text();
    }

    /** An experiment's counts of a window, to one who may seal it. */
    void counts(String name, String peer, byte[] counts) {
        gossip.sendDirect(queue.now(), peer, COUNTS, marked(name, counts));
    }

    /** A message between those who seal an experiment's windows. */
    void seal(String name, String peer, byte[] message) {
        gossip.sendDirect(queue.now(), peer, SEAL, marked(name, message));
    }

    private static byte[] marked(String name, byte[] body) {
        return ByteBuffer.allocate(MARK + body.length)
                .putInt(name.hashCode())
                .put(body)
                .array();
    }

    private final class Ears implements Gossip.Listener {
        @Override
        public void onDirectMessage(long now, String from, long fromStart, int channel, byte[] body) {
            if (channel == OUTCOMES && sharing != null) {
                sharing.onReport(now, from, fromStart, body);
            } else if (body.length > MARK && (channel == COUNTS || channel == SEAL)) {
                int mark = ByteBuffer.wrap(body).getInt();
                byte[] rest = Arrays.copyOfRange(body, MARK, body.length);
                for (Trial trial : trials) {
                    if (trial.name().hashCode() == mark && channel == COUNTS) {
                        trial.heardCounts(now, from, rest);
                    } else if (trial.name().hashCode() == mark) {
                        trial.heardSeal(now, from, rest);
                    }
                }
            }
        }

        @Override
        public void onEntry(long now, String from, long fromStart, int channel, String key, long version, byte[] body) {
            if (channel == OUTCOMES && sharing != null) {
                sharing.onRows(now, from, fromStart, key, version, body);
            }
        }

        @Override
        public void onDuplicateId(long now, String id, long one, long other) {
            Log.warn("fleet-twins", "id=" + id + " starts=" + one + "," + other + ": two processes say they are it");
        }

        @Override
        public void onLiveMembersChanged(long now, Set<String> live) {
            Log.info("fleet-members", "live=" + live.size() + " of=" + addresses.size());
        }
    }

    private final class Rows implements Transport {
        @Override
        public void send(String peer, byte[] body) {
            gossip.sendDirect(queue.now(), peer, OUTCOMES, body);
        }

        @Override
        public void broadcast(String key, long version, byte[] body) {
            gossip.publish(
                    queue.now(),
                    OUTCOMES,
                    me + "/" + key,
                    version,
                    body,
                    queue.now() + ROWS_KEPT * Windows.DEFAULT.length());
        }

        @Override
        public Set<String> live() {
            return gossip.live();
        }
    }
}
