package calicochute.gossip;

import calicochute.gossip.Membership.Peer;
import java.util.List;
import java.util.Random;

/**
 * Makes two views of who is there the same. Where the hash in a digest differs, a byte for each member of the list (in
 * its order, salted anew each time) tells which members are seen differently, and just those claims are sent, both
 * ways. Where the lists themselves differ (the operator's file is being changed) a random stretch of the view is sent
 * instead.
 */
final class Views {
    private static final int MOST_MARKS = 1_000;
    private static final int MOST_RUMOURS = 4_000; // bytes in one answer

    private final Membership membership;
    private final Outbox outbox;
    private final Codec codec;
    private final Random random;

    Views(Membership membership, Outbox outbox, Codec codec, Random random) {
        this.membership = membership;
        this.outbox = outbox;
        this.codec = codec;
        this.random = random;
    }

    /** The other's hash differs from ours. */
    void differs(String other) {
        if (membership.all().size() > MOST_MARKS) {
            stretch(other);
        } else {
            outbox.put(other, codec.part(marks(true)));
        }
    }

    private Part.View marks(boolean answer) {
        int salt = random.nextInt(256);
        List<Peer> all = membership.all();
        byte[] marks = new byte[all.size()];
        for (int i = 0; i < marks.length; i++) {
            marks[i] = mark(all.get(i), salt);
        }
        return new Part.View(membership.listHash(), salt, answer, marks);
    }

    private static byte mark(Peer peer, int salt) {
        return (byte) ((Membership.hash(peer) ^ salt * 0x01000193) * 0x9E3779B1 >>> 24);
    }

    void heard(String from, Part.View view) {
        List<Peer> all = membership.all();
        if (view.list() != membership.listHash() || view.marks().length != all.size()) {
            stretch(from);
            return;
        }
        int room = MOST_RUMOURS;
        int first = random.nextInt(all.size());
        for (int i = 0; i < all.size() && room > 0; i++) {
            int at = (first + i) % all.size();
            Peer peer = all.get(at);
            if (peer.start != 0 && view.marks()[at] != mark(peer, view.salt())) {
                byte[] part = peer.rumour(codec);
                room -= part.length;
                outbox.bulk(from, part);
            }
        }
        if (view.answer()) {
            outbox.put(from, codec.part(marks(false)));
        }
    }

    private void stretch(String to) {
        List<Peer> all = membership.all();
        int room = Limits.DATAGRAM - 200; // a header, and rumours of its own
        int first = random.nextInt(all.size());
        for (int i = 0; i < all.size(); i++) {
            Peer peer = all.get((first + i) % all.size());
            byte[] part = peer.start == 0 ? new byte[0] : peer.rumour(codec);
            room -= part.length;
            if (room < 0) {
                return;
            }
            if (part.length > 0) {
                outbox.bulk(to, part);
            }
        }
    }
}
