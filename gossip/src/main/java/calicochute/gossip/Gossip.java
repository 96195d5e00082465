package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import calicochute.gossip.Membership.Peer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One balancer's gossip with its cluster: membership, direct messages to one balancer, and entries replicated to all.
 * Does no I/O: the caller transmits what {@link Sender} gets, and passes in what arrives by {@link #receive}. Times
 * named `nowMicros` are wall clock microseconds. Not thread-safe. Senders are trusted to be the members that they claim
 * to be, as the network is private; their datagrams are not trusted to be well formed.
 */
public final class Gossip {
    /** Transmits a datagram of at most {@link Limits#MAX_DATAGRAM_BYTES} bytes; it may be lost. */
    public interface Sender {
        void send(String peer, byte[] datagram);
    }

    /**
     * Receives events. Called from {@link #receive}, {@link #tick} and {@link #setMembers}; may call
     * {@link #sendDirect} and {@link #publish}.
     */
    public interface Listener {
        void onDirectMessage(long nowMicros, String from, long fromStart, int channel, byte[] body);

        /** An entry newer than the one held arrived; `author` published it, whichever balancer passed it on. */
        void onEntry(
                long nowMicros, String author, long authorStart, int channel, String key, long version, byte[] body);

        /** The set of live members has changed since the last tick or change of the member list. */
        void onLiveMembersChanged(long nowMicros, Set<String> live);

        /** Datagrams of two processes with the same id keep arriving in alternation. */
        default void onDuplicateId(long nowMicros, String id, long oneStart, long otherStart) {}
    }

    /** Longer pauses of this process do not count towards the timeouts of others. */
    private static final long MAX_STEP_MICROS = 200_000;

    private static final int UPDATE_FAN_OUT = 3;
    private static final long EXPIRY_INTERVAL_MICROS = 500_000;
    private static final long NOTIFY_INTERVAL_MICROS = 200_000;
    private static final int CHANNEL_COUNT = 256;

    private final String localId;
    private final long localStart;
    private final Limits limits;
    private final Listener listener;
    private final GossipMetrics metrics = new GossipMetrics();
    private final Membership membership;
    private final DatagramDecoder decoder;
    private final DatagramEncoder encoder;
    private final Outbox outbox;
    private final FailureDetector failureDetector;
    private final EntryStore store;
    private final MembershipSync membershipSync;
    private final AntiEntropy antiEntropy;
    private final DuplicateIdDetector duplicateIds = new DuplicateIdDetector();
    private Set<String> reportedLive = Set.of();
    private long lastNowMicros;
    /** Running time of this process, without steps of the wall clock and pauses of the process. */
    private long elapsedMicros;

    private long nextExpiryMicros;
    private boolean newPeersPinged;

    /**
     * @param start wall clock microseconds at which this process began
     * @param seed seeds the random choice of peers
     */
    public Gossip(ClusterConfig config, long start, Limits limits, long seed, Sender sender, Listener listener) {
        if (start <= 0) {
            throw new IllegalArgumentException("process start time must be positive: " + start);
        }
        localId = config.localId();
        this.localStart = start;
        this.limits = limits;
        this.listener = listener;
        Random random = new Random(seed);
        membership = new Membership(config, start, metrics);
        decoder = new DatagramDecoder(config.cluster());
        encoder = new DatagramEncoder(config.cluster(), localId, start);
        outbox = new Outbox(membership, encoder, sender, metrics);
        failureDetector = new FailureDetector(membership, outbox, limits, metrics, random);
        store = new EntryStore(limits, metrics, config.members().size());
        membershipSync = new MembershipSync(membership, outbox, encoder, random);
        antiEntropy = new AntiEntropy(
                membership, store, outbox, encoder, failureDetector, membershipSync, limits, metrics, random);
    }

    /**
     * Replaces the list of members, which has to contain this balancer; what is known about removed members is
     * discarded.
     */
    public void setMembers(long nowMicros, Collection<Member> members) {
        ClusterConfig checked = new ClusterConfig("", localId, List.copyOf(members));
        for (Peer peer : List.copyOf(membership.peers())) {
            duplicateIds.forget(peer.id);
        }
        membership.setMembers(checked.members());
        store.setMemberCount(checked.members().size());
        newPeersPinged = false;
        reportLiveMembers(nowMicros);
    }

    /** Does the periodic work; has to be called every 50 to 100 ms. */
    public void tick(long nowMicros) {
        advanceClock(nowMicros);
        if (!newPeersPinged) {
            newPeersPinged = true;
            byte[] ping = encoder.encode(new Message.Ping(0));
            for (Peer peer : membership.peers()) {
                if (peer.start == 0) {
                    outbox.enqueue(peer.id, ping);
                }
            }
        }
        failureDetector.tick(elapsedMicros);
        antiEntropy.tick(elapsedMicros);
        if (elapsedMicros >= nextExpiryMicros) {
            nextExpiryMicros = elapsedMicros + EXPIRY_INTERVAL_MICROS;
            store.removeExpired(nowMicros);
        }
        if (membership.hasPendingUpdates()) {
            for (String peer : failureDetector.randomAlivePeers(UPDATE_FAN_OUT, "")) {
                outbox.sendUpdates(peer, false);
            }
        }
        outbox.tick(limits.peersPerTick());
        reportLiveMembers(nowMicros);
    }

    private void advanceClock(long nowMicros) {
        elapsedMicros += lastNowMicros == 0 ? 0 : Math.max(0, Math.min(nowMicros - lastNowMicros, MAX_STEP_MICROS));
        lastNowMicros = nowMicros;
    }

    private void reportLiveMembers(long nowMicros) {
        Set<String> live = membership.live();
        if (live != reportedLive && !live.equals(reportedLive)) {
            reportedLive = live;
            listener.onLiveMembersChanged(nowMicros, live);
        }
    }

    /** Handles a datagram from the network; one that is not acceptable is dropped and counted. */
    public void receive(long nowMicros, byte[] datagram) {
        advanceClock(nowMicros);
        metrics.increment(Metric.DATAGRAMS_IN);
        metrics.add(Metric.BYTES_IN, datagram.length);
        DecodedDatagram decoded;
        try {
            decoded = decoder.decode(datagram);
        } catch (DatagramDecoder.DecodeException e) {
            metrics.countDrop(e.cause);
            return;
        }
        Peer peer = acceptedSender(nowMicros, decoded);
        if (peer == null) {
            return;
        }
        membership.applyClaim(elapsedMicros, peer, decoded.senderStart(), decoded.incarnation(), MemberState.ALIVE);
        for (int i = 0; i < decoded.unknownMessages(); i++) {
            metrics.countDrop(DropCause.UNKNOWN_PART);
        }
        for (Message message : decoded.messages()) {
            handle(nowMicros, decoded, message);
        }
        if (peer.state == MemberState.DEAD) {
            notifyOfOwnState(peer); // it has to refute this before it counts as alive
        }
    }

    /** The sender as a peer, or null if its datagram has to be dropped. */
    private Peer acceptedSender(long nowMicros, DecodedDatagram datagram) {
        String id = datagram.sender();
        if (id.equals(localId)) {
            metrics.countDrop(DropCause.OWN_NAME);
            if (datagram.senderStart() != localStart) {
                duplicateIds.laterStartHeard(localId); // the local process is known to be running
                onEarlierStart(
                        nowMicros,
                        localId,
                        Math.min(datagram.senderStart(), localStart),
                        Math.max(datagram.senderStart(), localStart));
            }
            return null;
        }
        Peer peer = membership.peer(id);
        if (peer == null) {
            metrics.countDrop(DropCause.UNKNOWN_SENDER);
            return null;
        }
        if (datagram.senderStart() - limits.maxClockAheadMicros() > nowMicros) {
            metrics.countDrop(DropCause.CLOCK_OFF);
            return null;
        }
        if (datagram.senderStart() < peer.start) {
            metrics.countDrop(DropCause.START_WENT_BACK);
            onEarlierStart(nowMicros, id, datagram.senderStart(), peer.start);
            notifyOfOwnState(peer);
            return null;
        }
        duplicateIds.laterStartHeard(id);
        return peer;
    }

    private void onEarlierStart(long nowMicros, String id, long earlierStart, long laterStart) {
        if (duplicateIds.earlierStartHeard(elapsedMicros, id, earlierStart, laterStart)) {
            metrics.increment(Metric.TWINS);
            listener.onDuplicateId(nowMicros, id, earlierStart, laterStart);
        }
    }

    /** Sends a peer the claim held about itself. */
    private void notifyOfOwnState(Peer peer) {
        if (elapsedMicros - peer.notifiedAtMicros >= NOTIFY_INTERVAL_MICROS) {
            peer.notifiedAtMicros = elapsedMicros;
            outbox.sendNow(peer.id, peer.encodedUpdate(encoder));
        }
    }

    private void handle(long nowMicros, DecodedDatagram datagram, Message message) {
        String from = datagram.sender();
        if (message instanceof Message.Ping ping) {
            failureDetector.onPing(from, ping);
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(from, ack);
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(elapsedMicros, from, request);
        } else if (message instanceof Message.IndirectAck ack) {
            failureDetector.onIndirectAck(ack);
        } else if (message instanceof Message.MembershipUpdate update) {
            onMembershipUpdate(nowMicros, update);
        } else if (message instanceof Message.DirectMessage direct) {
            listener.onDirectMessage(nowMicros, from, datagram.senderStart(), direct.channel(), direct.body());
        } else if (message instanceof Message.Digest digest) {
            if (!antiEntropy.onDigest(elapsedMicros, from, digest)) {
                metrics.countDrop(DropCause.MALFORMED);
            }
        } else if (message instanceof Message.MembershipDigest digest) {
            membershipSync.onMembershipDigest(from, digest);
        } else if (message instanceof Message.Pull pull) {
            antiEntropy.onPull(elapsedMicros, from, pull);
        } else if (message instanceof Message.EntryMessage entry) {
            onEntryMessage(nowMicros, datagram, entry);
        }
    }

    private void onMembershipUpdate(long nowMicros, Message.MembershipUpdate update) {
        Peer peer = membership.peer(update.id());
        if (update.start() - limits.maxClockAheadMicros() > nowMicros) {
            metrics.countDrop(DropCause.CLOCK_OFF);
        } else if (update.id().equals(localId)) {
            membership.refuteClaim(update.start(), update.incarnation(), update.state());
            if (update.start() > localStart) {
                duplicateIds.laterStartHeard(localId);
                onEarlierStart(nowMicros, localId, localStart, update.start());
            }
        } else if (peer == null) {
            metrics.countDrop(DropCause.UNKNOWN_MEMBER);
        } else {
            membership.applyClaim(elapsedMicros, peer, update.start(), update.incarnation(), update.state());
        }
    }

    private void onEntryMessage(long nowMicros, DecodedDatagram datagram, Message.EntryMessage message) {
        boolean isRepair = message.author() != null;
        String author = isRepair ? message.author() : datagram.sender();
        if (!membership.isListed(author)) {
            metrics.countDrop(DropCause.UNKNOWN_MEMBER);
            return;
        }
        long authorStart = isRepair ? message.authorStart() : datagram.senderStart();
        EntryStore.Entry stored = store.storeIfNewer(
                nowMicros,
                elapsedMicros,
                author,
                new Message.EntryMessage(
                        author,
                        authorStart,
                        message.channel(),
                        message.key(),
                        message.version(),
                        message.expiresAt(),
                        message.body()));
        if (stored != null) {
            metrics.increment(Metric.TAKEN);
            if (isRepair) {
                metrics.increment(Metric.TAKEN_BY_REPAIR);
                antiEntropy.entryRepaired();
            }
            listener.onEntry(
                    nowMicros,
                    author,
                    authorStart,
                    message.channel(),
                    message.key(),
                    message.version(),
                    message.body());
        }
    }

    /**
     * Sends a message to one balancer with the next tick, once; it may be lost. Returns false if the receiver is not a
     * member or is dead, if the body is too long, or if too many messages are queued for it.
     */
    public boolean sendDirect(long nowMicros, String receiver, int channel, byte[] body) {
        Peer peer = membership.peer(receiver);
        if (peer == null || peer.state == MemberState.DEAD) {
            metrics.countDrop(DropCause.UNKNOWN_MEMBER);
            return false;
        }
        if (body.length > limits.maxEntryBytes() || channel < 0 || channel >= CHANNEL_COUNT) {
            metrics.countDrop(DropCause.ENTRY_TOO_LONG);
            return false;
        }
        return outbox.enqueue(receiver, encoder.encode(new Message.DirectMessage(channel, body.clone())));
    }

    /**
     * Replicates an entry to all members that are live before it expires; the newest version of each (channel, key) is
     * kept. Versions have to grow across restarts too, for instance by using the time. Returns false if the entry is
     * rejected as outdated, too long or over this balancer's share of the store.
     */
    public boolean publish(long nowMicros, int channel, String key, long version, byte[] body, long expiresAtMicros) {
        if (channel < 0
                || channel >= CHANNEL_COUNT
                || key.getBytes(StandardCharsets.UTF_8).length > Limits.MAX_KEY_BYTES) {
            metrics.countDrop(DropCause.ENTRY_TOO_LONG);
            return false;
        }
        byte[] copy = body.clone();
        if (store.storeIfNewer(
                        nowMicros,
                        elapsedMicros,
                        localId,
                        new Message.EntryMessage(localId, localStart, channel, key, version, expiresAtMicros, copy))
                == null) {
            return false;
        }
        metrics.increment(Metric.SPREAD);
        byte[] message =
                encoder.encode(new Message.EntryMessage(null, 0, channel, key, version, expiresAtMicros, copy));
        for (Peer peer : membership.peers()) {
            if (peer.state != MemberState.DEAD) {
                outbox.enqueue(peer.id, message);
            }
        }
        return true;
    }

    /** Ids of the members that are not dead: this balancer, and peers that are alive or suspect. */
    public Set<String> live() {
        return membership.live();
    }

    /** All members, starting with this balancer. */
    public List<MemberStatus> statuses() {
        return membership.statuses();
    }

    public GossipMetrics metrics() {
        return metrics;
    }
}
