package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import calicochute.gossip.Message.MembershipUpdate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * This balancer's view of the members. Claims about a member are ordered by start, incarnation and state, and the
 * greatest one is kept, so that lost, repeated or reordered datagrams lead to the same view. A dead member stays dead
 * until it sends a greater claim itself. Claims are kept for as long as the operator's list names the member: otherwise
 * a late datagram could make a dead member appear alive.
 */
final class Membership {
    static final class Peer {
        final String id;
        /** Start time of its process in wall clock microseconds; 0 if it was never heard of. */
        long start;

        int incarnation;
        MemberState state = MemberState.DEAD;
        /** When the current claim was taken over. */
        long updatedAtMicros;

        boolean pingedAgain;
        /** When this balancer's view of the peer was last sent to the peer because the two differed. */
        long notifiedAtMicros = Long.MIN_VALUE / 2;

        private byte[] encodedUpdate;

        Peer(String id) {
            this.id = id;
        }

        /** The current claim about this peer as an encoded message. */
        byte[] encodedUpdate(DatagramEncoder encoder) {
            if (encodedUpdate == null) {
                encodedUpdate = encoder.encode(new MembershipUpdate(id, start, incarnation, state));
            }
            return encodedUpdate;
        }
    }

    /** An update is sent this many times the binary logarithm of the number of members. */
    private static final int TRANSMIT_FACTOR = 3;

    private final String localId;
    private final long localStart;
    private final GossipMetrics metrics;
    private final TreeMap<String, Peer> peers = new TreeMap<>(); // without the local member
    /** Members whose updates are being sent, with the number of times sent; least recently sent first. */
    private final Map<String, Integer> pendingUpdates = new LinkedHashMap<>();

    private final Peer self; // the claim that this process makes about itself
    private int suspectCount;
    private Integer cachedHash;
    private Set<String> cachedLive;

    Membership(ClusterConfig config, long localStart, GossipMetrics metrics) {
        localId = config.localId();
        this.localStart = localStart;
        this.metrics = metrics;
        self = new Peer(localId);
        self.start = localStart;
        self.state = MemberState.ALIVE;
        setMembers(config.members());
    }

    /** Replaces the list of members; what is known about removed members is discarded. */
    void setMembers(Collection<Member> members) {
        Set<String> ids = new TreeSet<>();
        for (Member member : members) {
            ids.add(member.id());
        }
        ids.remove(localId);
        peers.keySet().retainAll(ids);
        for (String id : ids) {
            peers.computeIfAbsent(id, Peer::new);
        }
        ids.add(localId);
        pendingUpdates.keySet().retainAll(ids);
        cachedLive = null;
        cachedHash = null;
        suspectCount = (int) peers.values().stream()
                .filter(peer -> peer.state == MemberState.SUSPECT)
                .count();
    }

    boolean hasSuspects() {
        return suspectCount > 0;
    }

    int incarnation() {
        return self.incarnation;
    }

    Peer peer(String id) {
        return peers.get(id);
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    boolean isListed(String id) {
        return id.equals(localId) || peers.containsKey(id);
    }

    /** Takes over a claim about a peer if it is greater than the current one. */
    boolean applyClaim(long elapsedMicros, Peer peer, long start, int incarnation, MemberState state) {
        int order = Long.compare(start, peer.start);
        order = order != 0 ? order : Integer.compare(incarnation, peer.incarnation);
        order = order != 0 ? order : state.compareTo(peer.state);
        if (order <= 0) {
            return false;
        }
        if (peer.state != state) {
            countTransition(peer, state);
            suspectCount += (state == MemberState.SUSPECT ? 1 : 0) - (peer.state == MemberState.SUSPECT ? 1 : 0);
            if ((peer.state == MemberState.DEAD) != (state == MemberState.DEAD)) {
                cachedLive = null;
            }
        }
        // A new process pings every member itself, and membership digests reach those that its pings did not.
        boolean announcedByItself = start != peer.start && state == MemberState.ALIVE;
        peer.start = start;
        peer.incarnation = incarnation;
        peer.state = state;
        peer.updatedAtMicros = elapsedMicros;
        peer.pingedAgain = false;
        peer.encodedUpdate = null;
        cachedHash = null;
        if (announcedByItself) {
            pendingUpdates.remove(peer.id);
        } else {
            scheduleUpdate(peer.id);
        }
        return true;
    }

    private void countTransition(Peer peer, MemberState state) {
        if (state == MemberState.SUSPECT) {
            metrics.increment(Metric.SUSPICIONS);
        } else if (state == MemberState.DEAD) {
            metrics.increment(Metric.DROPS);
        } else if (peer.state == MemberState.DEAD && peer.start != 0) {
            metrics.increment(Metric.RETURNS);
        }
    }

    /**
     * Refutes a claim of another member that this process is not alive, by raising the incarnation above the claim's.
     */
    void refuteClaim(long start, int claimedIncarnation, MemberState state) {
        if (start == localStart
                && claimedIncarnation >= self.incarnation
                && (state != MemberState.ALIVE || claimedIncarnation > self.incarnation)) {
            self.incarnation = Math.min(claimedIncarnation + 1, DatagramDecoder.MAX_INCARNATION);
            self.encodedUpdate = null;
            cachedHash = null;
            metrics.increment(Metric.OBJECTIONS);
            scheduleUpdate(localId);
        }
    }

    private void scheduleUpdate(String id) {
        pendingUpdates.remove(id);
        pendingUpdates.put(id, 0);
    }

    boolean hasPendingUpdates() {
        return !pendingUpdates.isEmpty();
    }

    /**
     * Encoded updates for a datagram to a peer, in at most `roomBytes`. The claim about the peer itself comes first, so
     * that it can refute it.
     */
    List<byte[]> nextUpdates(Peer receiver, DatagramEncoder encoder, int roomBytes, boolean includeReceiver) {
        List<byte[]> updates = new ArrayList<>();
        int left = roomBytes;
        if (includeReceiver && receiver.start != 0 && receiver.state != MemberState.ALIVE) {
            byte[] update = receiver.encodedUpdate(encoder);
            if (update.length <= left) {
                left -= update.length;
                updates.add(update);
            }
        }
        int maxTransmissions = TRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(peers.size() + 1));
        for (int i = pendingUpdates.size(); i > 0; i--) {
            Map.Entry<String, Integer> next =
                    pendingUpdates.entrySet().iterator().next();
            String id = next.getKey();
            byte[] update = (id.equals(localId) ? self : peers.get(id)).encodedUpdate(encoder);
            if (update.length > left) {
                break;
            }
            int sent = next.getValue() + 1;
            pendingUpdates.remove(id);
            if (sent < maxTransmissions) {
                pendingUpdates.put(id, sent);
            }
            left -= update.length;
            updates.add(update);
        }
        return updates;
    }

    /** All members in the order of their ids, including the local one. */
    List<Peer> all() {
        List<Peer> all = new ArrayList<>(peers.headMap(localId).values());
        all.add(self);
        all.addAll(peers.tailMap(localId).values());
        return all;
    }

    int listHash() {
        return peers.keySet().hashCode() + localId.hashCode();
    }

    /** Hash of the claims about all members; equal on balancers with equal views. */
    int hash() {
        if (cachedHash == null) {
            int sum = 0;
            for (Peer peer : all()) {
                sum += peer.start == 0 ? 0 : hash(peer);
            }
            cachedHash = sum;
        }
        return cachedHash;
    }

    static int hash(Peer peer) {
        long mixed =
                ((peer.id.hashCode() * 31L + peer.start) * 1_000_003 + peer.incarnation) * 31 + peer.state.ordinal();
        return (int) (mixed * 0x9E3779B97F4A7C15L >>> 32);
    }

    /** The members that are not dead: this process, and peers that are alive or suspect. */
    Set<String> live() {
        if (cachedLive == null) {
            TreeSet<String> ids = new TreeSet<>();
            ids.add(localId);
            for (Peer peer : peers.values()) {
                if (peer.state != MemberState.DEAD) {
                    ids.add(peer.id);
                }
            }
            cachedLive = Collections.unmodifiableSet(ids);
        }
        return cachedLive;
    }

    List<MemberStatus> statuses() {
        List<MemberStatus> all = new ArrayList<>();
        all.add(new MemberStatus(localId, localStart, MemberState.ALIVE));
        for (Peer peer : peers.values()) {
            all.add(new MemberStatus(peer.id, peer.start, peer.state));
        }
        return all;
    }
}
