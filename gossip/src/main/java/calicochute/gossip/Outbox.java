package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages queued for each peer, bundled into datagrams. One tick serves a limited number of peers in turn, so that a
 * message to many peers goes out over several ticks.
 */
final class Outbox {
    private static final int MAX_CONTENT_BYTES = Limits.MAX_DATAGRAM_BYTES - DatagramEncoder.CHECKSUM_BYTES;
    /** For one peer, in messages. */
    private static final int MAX_QUEUED = 64;
    /** For one peer, in messages of either kind, when a bulk message is added. */
    private static final int MAX_QUEUED_FOR_BULK = 512;
    /** To one peer. */
    private static final int MAX_DATAGRAMS_PER_TICK = 4;

    private final Membership membership;
    private final DatagramEncoder encoder;
    private final Gossip.Sender sender;
    private final GossipMetrics metrics;
    private final Map<String, ArrayDeque<byte[]>> queues = new LinkedHashMap<>();

    Outbox(Membership membership, DatagramEncoder encoder, Gossip.Sender sender, GossipMetrics metrics) {
        this.membership = membership;
        this.encoder = encoder;
        this.sender = sender;
        this.metrics = metrics;
    }

    /** Queues an encoded message; false if too many messages are queued for the peer. */
    boolean enqueue(String peer, byte[] message) {
        ArrayDeque<byte[]> queue = queues.computeIfAbsent(peer, id -> new ArrayDeque<>());
        return enqueue(queue, message, MAX_QUEUED);
    }

    /** Queues one of many small messages, for which the limit is higher. */
    boolean enqueueBulk(String peer, byte[] message) {
        return enqueue(queues.computeIfAbsent(peer, id -> new ArrayDeque<>()), message, MAX_QUEUED_FOR_BULK);
    }

    private boolean enqueue(ArrayDeque<byte[]> queue, byte[] message, int maxQueued) {
        if (queue.size() >= maxQueued) {
            metrics.countDrop(DropCause.OUTBOX_FULL);
            return false;
        }
        queue.add(message);
        return true;
    }

    /** Sends a message at once, together with those queued for the peer that fit into the same datagram. */
    void sendNow(String peer, Message message) {
        sendNow(peer, encoder.encode(message));
    }

    void sendNow(String peer, byte[] message) {
        ArrayDeque<byte[]> queue = queues.computeIfAbsent(peer, id -> new ArrayDeque<>());
        queue.addFirst(message);
        sendDatagram(peer, queue, true);
        if (queue.isEmpty()) {
            queues.remove(peer);
        }
    }

    /** Sends a datagram with membership updates only. */
    void sendUpdates(String peer, boolean includeReceiver) {
        sendDatagram(peer, new ArrayDeque<>(), includeReceiver);
    }

    void tick(int maxPeers) {
        List<String> served = new ArrayList<>();
        for (Iterator<String> ids = queues.keySet().iterator(); ids.hasNext() && served.size() < maxPeers; ) {
            served.add(ids.next());
        }
        for (String peer : served) {
            ArrayDeque<byte[]> queue = queues.remove(peer);
            for (int i = 0; i < MAX_DATAGRAMS_PER_TICK && !queue.isEmpty(); i++) {
                sendDatagram(peer, queue, true);
            }
            if (!queue.isEmpty()) {
                queues.put(peer, queue);
            }
        }
    }

    void clear(String peer) {
        queues.remove(peer);
    }

    private void sendDatagram(String peer, ArrayDeque<byte[]> queue, boolean includeReceiver) {
        Membership.Peer receiver = membership.peer(peer);
        if (receiver == null) {
            queue.clear(); // removed from the list of members
            return;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        bytes.writeBytes(encoder.header(membership.incarnation()));
        while (!queue.isEmpty() && bytes.size() + queue.peek().length <= MAX_CONTENT_BYTES) {
            bytes.writeBytes(queue.poll());
        }
        for (byte[] update :
                membership.nextUpdates(receiver, encoder, MAX_CONTENT_BYTES - bytes.size(), includeReceiver)) {
            bytes.writeBytes(update);
        }
        byte[] datagram = DatagramEncoder.withChecksum(bytes);
        metrics.checkInvariant(datagram.length <= Limits.MAX_DATAGRAM_BYTES, "datagram exceeds its size limit");
        metrics.increment(Metric.DATAGRAMS_OUT);
        metrics.add(Metric.BYTES_OUT, datagram.length);
        sender.send(peer, datagram);
    }
}
