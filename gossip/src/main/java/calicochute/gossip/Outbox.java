package calicochute.gossip;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What waits for each peer, bundled into datagrams. A tick serves so many peers, in turn: a spread to many goes out
 * over a few ticks.
 */
final class Outbox {
    private static final int MOST = Limits.DATAGRAM - Codec.CHECKSUM;
    private static final int MOST_WAITING = 64; // parts for one peer
    private static final int MOST_BULK = 512; // small parts of an answer count too, but may be more
    private static final int DATAGRAMS_A_TICK = 4; // to one peer
    private final Membership membership;
    private final Codec codec;
    private final Gossip.Sender sender;
    private final Counts counts;
    private final Map<String, ArrayDeque<byte[]>> waiting = new LinkedHashMap<>();

    Outbox(Membership membership, Codec codec, Gossip.Sender sender, Counts counts) {
        this.membership = membership;
        this.codec = codec;
        this.sender = sender;
        this.counts = counts;
    }

    boolean put(String peer, byte[] part) {
        ArrayDeque<byte[]> parts = waiting.computeIfAbsent(peer, id -> new ArrayDeque<>());
        return put(parts, part, MOST_WAITING);
    }

    /** One of many small parts. */
    boolean bulk(String peer, byte[] part) {
        return put(waiting.computeIfAbsent(peer, id -> new ArrayDeque<>()), part, MOST_BULK);
    }

    private boolean put(ArrayDeque<byte[]> parts, byte[] part, int most) {
        if (parts.size() >= most) {
            counts.drop(Cause.OUTBOX_FULL);
            return false;
        }
        parts.add(part);
        return true;
    }

    /** At once, with what waits for the peer as far as there is room. */
    void now(String peer, Part part) {
        now(peer, codec.part(part));
    }

    void now(String peer, byte[] part) {
        ArrayDeque<byte[]> parts = waiting.computeIfAbsent(peer, id -> new ArrayDeque<>());
        parts.addFirst(part);
        datagram(peer, parts, true);
        if (parts.isEmpty()) {
            waiting.remove(peer);
        }
    }

    /** A datagram with rumours only. */
    void rumours(String peer, boolean aboutItself) {
        datagram(peer, new ArrayDeque<>(), aboutItself);
    }

    void tick(int peers) {
        List<String> served = new ArrayList<>();
        for (Iterator<String> ids = waiting.keySet().iterator(); ids.hasNext() && served.size() < peers; ) {
            served.add(ids.next());
        }
        for (String peer : served) {
            ArrayDeque<byte[]> parts = waiting.remove(peer);
            for (int i = 0; i < DATAGRAMS_A_TICK && !parts.isEmpty(); i++) {
                datagram(peer, parts, true);
            }
            if (!parts.isEmpty()) {
                waiting.put(peer, parts);
            }
        }
    }

    void forget(String peer) {
        waiting.remove(peer);
    }

    private void datagram(String peer, ArrayDeque<byte[]> parts, boolean aboutItself) {
        Membership.Peer to = membership.peer(peer);
        if (to == null) {
            parts.clear(); // no longer in the list
            return;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        bytes.writeBytes(codec.header(membership.incarnation()));
        while (!parts.isEmpty() && bytes.size() + parts.peek().length <= MOST) {
            bytes.writeBytes(parts.poll());
        }
        for (byte[] rumour : membership.rumours(to, codec, MOST - bytes.size(), aboutItself)) {
            bytes.writeBytes(rumour);
        }
        byte[] datagram = Codec.sealed(bytes);
        counts.mustHold(datagram.length <= Limits.DATAGRAM, "datagram within bounds");
        counts.add(Counts.What.DATAGRAMS_OUT);
        counts.add(Counts.What.BYTES_OUT, datagram.length);
        sender.send(peer, datagram);
    }
}
