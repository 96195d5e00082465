package calicochute.gossip;

import calicochute.gossip.Membership.Peer;
import java.util.List;
import java.util.Random;

/**
 * Reconciles the views of two balancers when the membership hash in a digest differs from the local one. A membership
 * digest holds one fingerprint byte for each member, with a new salt each time, since two different claims may have the
 * same byte; only the claims whose bytes differ are sent, in both directions. Where the member lists differ (the
 * operator's file is being changed) or are too long, claims about a random range of members are sent instead.
 */
final class MembershipSync {
    /** One byte for each member. */
    private static final int MAX_FINGERPRINTS = 1_000;

    private static final int MAX_REPLY_BYTES = 4_000;

    /** Bytes of a datagram kept free for its header and for pending updates. */
    private static final int RESERVED_BYTES = 200;

    private final Membership membership;
    private final Outbox outbox;
    private final DatagramEncoder encoder;
    private final Random random;

    MembershipSync(Membership membership, Outbox outbox, DatagramEncoder encoder, Random random) {
        this.membership = membership;
        this.outbox = outbox;
        this.encoder = encoder;
        this.random = random;
    }

    /** Begins to reconcile with a peer whose membership hash differs from the local one. */
    void begin(String peer) {
        if (membership.all().size() > MAX_FINGERPRINTS) {
            sendRandomRange(peer);
        } else {
            outbox.enqueue(peer, encoder.encode(membershipDigest(true)));
        }
    }

    private Message.MembershipDigest membershipDigest(boolean replyRequested) {
        int salt = random.nextInt(256);
        List<Peer> all = membership.all();
        byte[] fingerprints = new byte[all.size()];
        for (int i = 0; i < fingerprints.length; i++) {
            fingerprints[i] = fingerprint(all.get(i), salt);
        }
        return new Message.MembershipDigest(membership.listHash(), salt, replyRequested, fingerprints);
    }

    private static byte fingerprint(Peer peer, int salt) {
        return (byte) ((Membership.hash(peer) ^ salt * 0x01000193) * 0x9E3779B1 >>> 24);
    }

    void onMembershipDigest(String from, Message.MembershipDigest digest) {
        List<Peer> all = membership.all();
        if (digest.listHash() != membership.listHash() || digest.fingerprints().length != all.size()) {
            sendRandomRange(from);
            return;
        }
        int roomBytes = MAX_REPLY_BYTES;
        int first = random.nextInt(all.size());
        for (int i = 0; i < all.size() && roomBytes > 0; i++) {
            int index = (first + i) % all.size();
            Peer peer = all.get(index);
            if (peer.start != 0 && digest.fingerprints()[index] != fingerprint(peer, digest.salt())) {
                byte[] update = peer.encodedUpdate(encoder);
                roomBytes -= update.length;
                outbox.enqueueBulk(from, update);
            }
        }
        if (digest.replyRequested()) {
            outbox.enqueue(from, encoder.encode(membershipDigest(false)));
        }
    }

    private void sendRandomRange(String receiver) {
        List<Peer> all = membership.all();
        int roomBytes = Limits.MAX_DATAGRAM_BYTES - RESERVED_BYTES;
        int first = random.nextInt(all.size());
        for (int i = 0; i < all.size(); i++) {
            Peer peer = all.get((first + i) % all.size());
            byte[] update = peer.start == 0 ? new byte[0] : peer.encodedUpdate(encoder);
            roomBytes -= update.length;
            if (roomBytes < 0) {
                return;
            }
            if (update.length > 0) {
                outbox.enqueueBulk(receiver, update);
            }
        }
    }
}
