package calicochute.gossip;

import calicochute.gossip.EntryStore.Entry;
import calicochute.gossip.GossipMetrics.Metric;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Repairs missing entries by digests between random pairs of balancers: the receiver of a digest sends the entries that
 * its sender lacks, and requests those that are missing locally. A digest lists all entries in a range of hashes; where
 * the store does not fit into one datagram, the next digest continues where the last one ended. Digests also carry a
 * hash of the membership view.
 */
final class AntiEntropy {
    /** In one digest; about 100 entries. */
    private static final int MAX_SUMMARY_BYTES = 1_000;

    /** Room for the entry summary that passes the limit, which has at most 18 bytes. */
    private static final int SUMMARY_MARGIN_BYTES = 32;

    /** Bytes of entries sent in answer to one digest or pull. */
    private static final int MAX_REPLY_BYTES = 4_000;

    /** If so many entries were repaired since the last digest, the next one follows sooner. */
    private static final int FAST_DIGEST_MIN_REPAIRS = 8;

    private final Membership membership;
    private final EntryStore store;
    private final Outbox outbox;
    private final DatagramEncoder encoder;
    private final FailureDetector failureDetector;
    private final MembershipSync membershipSync;
    private final Limits limits;
    private final GossipMetrics metrics;
    private final Random random;
    /** First hash of the next digest's range. */
    private long nextLowHash;

    private long nextDigestMicros;
    /** Bytes of repairs that the rate limit permits at this time; at most those of four seconds. */
    private long budgetBytes;

    private long lastTickMicros;
    private int repairsSinceDigest = FAST_DIGEST_MIN_REPAIRS; // a new process has no entries yet

    AntiEntropy(
            Membership membership,
            EntryStore store,
            Outbox outbox,
            DatagramEncoder encoder,
            FailureDetector failureDetector,
            MembershipSync membershipSync,
            Limits limits,
            GossipMetrics metrics,
            Random random) {
        this.membership = membership;
        this.store = store;
        this.outbox = outbox;
        this.encoder = encoder;
        this.failureDetector = failureDetector;
        this.membershipSync = membershipSync;
        this.limits = limits;
        this.metrics = metrics;
        this.random = random;
        budgetBytes = 4L * limits.repairBytesPerSecond();
        nextLowHash = random.nextLong() & (EntryStore.HASH_COUNT - 1);
        nextDigestMicros = random.nextInt((int) Math.min(Integer.MAX_VALUE, limits.digestIntervalMicros()));
    }

    void entryRepaired() {
        repairsSinceDigest++;
    }

    void tick(long elapsedMicros) {
        budgetBytes = Math.min(
                4L * limits.repairBytesPerSecond(),
                budgetBytes + limits.repairBytesPerSecond() * (elapsedMicros - lastTickMicros) / 1_000_000);
        lastTickMicros = elapsedMicros;
        if (elapsedMicros < nextDigestMicros) {
            return;
        }
        List<String> receiver = failureDetector.randomAlivePeers(1, "");
        if (receiver.isEmpty()) {
            return;
        }
        nextDigestMicros = elapsedMicros
                + (repairsSinceDigest >= FAST_DIGEST_MIN_REPAIRS
                        ? limits.digestIntervalMicros() / 5
                        : limits.digestIntervalMicros());
        repairsSinceDigest = 0;
        metrics.increment(Metric.DIGESTS);
        outbox.enqueue(receiver.get(0), encoder.encode(nextDigest()));
    }

    /**
     * The summaries hold the version of the first entry (8 bytes), then for each entry its hash (6 bytes), its
     * fingerprint (2 bytes), and its version as a varint relative to the first one.
     */
    private Message.Digest nextDigest() {
        ByteBuffer summaries = ByteBuffer.allocate(MAX_SUMMARY_BYTES + SUMMARY_MARGIN_BYTES);
        long lowHash = nextLowHash;
        long highHash = EntryStore.HASH_COUNT - 1;
        long baseVersion = 0;
        for (Entry entry : store.between(lowHash, highHash).values()) {
            if (summaries.position() == 0) {
                baseVersion = entry.version();
                summaries.putLong(baseVersion);
            } else if (summaries.position() > MAX_SUMMARY_BYTES) {
                highHash = entry.hash() - 1;
                break;
            }
            summaries
                    .putShort((short) (entry.hash() >>> 32))
                    .putInt((int) entry.hash())
                    .putShort((short) entry.fingerprint());
            writeVarint(summaries, entry.version() - baseVersion);
        }
        nextLowHash = highHash + 1 == EntryStore.HASH_COUNT ? 0 : highHash + 1;
        byte[] bytes = new byte[summaries.position()];
        summaries.flip().get(bytes);
        return new Message.Digest(lowHash, highHash, membership.hash(), bytes);
    }

    /** Writes a signed number in zigzag encoding, 7 bits in each byte. */
    private static void writeVarint(ByteBuffer buffer, long value) {
        long rest = value << 1 ^ value >> 63;
        while ((rest & ~0x7FL) != 0) {
            buffer.put((byte) (rest | 0x80));
            rest >>>= 7;
        }
        buffer.put((byte) rest);
    }

    private static long readVarint(ByteBuffer buffer) {
        long value = 0;
        for (int shift = 0; shift < 70; shift += 7) {
            byte next = buffer.get();
            value |= (next & 0x7FL) << shift;
            if (next >= 0) {
                return value >>> 1 ^ -(value & 1);
            }
        }
        throw new java.nio.BufferUnderflowException();
    }

    /** Sends the entries that the sender lacks, and requests those missing here; false if the digest is malformed. */
    boolean onDigest(long elapsedMicros, String from, Message.Digest digest) {
        if (digest.lowHash() < 0
                || digest.highHash() >= EntryStore.HASH_COUNT
                || digest.lowHash() > digest.highHash()) {
            return false;
        }
        Set<Long> upToDate = new HashSet<>(); // entries that the sender has in the local version or a newer one
        List<Long> missing = new ArrayList<>();
        ByteBuffer summaries = ByteBuffer.wrap(digest.summaries());
        try {
            long baseVersion = summaries.hasRemaining() ? summaries.getLong() : 0;
            while (summaries.hasRemaining()) {
                long hash = (summaries.getShort() & 0xFFFFL) << 32 | summaries.getInt() & 0xFFFF_FFFFL;
                int fingerprint = summaries.getShort() & 0xFFFF;
                compare(hash, fingerprint, baseVersion + readVarint(summaries), upToDate, missing);
            }
        } catch (java.nio.BufferUnderflowException e) {
            return false;
        }
        if (digest.membershipHash() != membership.hash()) {
            membershipSync.begin(from);
        }
        if (!missing.isEmpty()) {
            ByteBuffer hashes = ByteBuffer.allocate(6 * missing.size());
            for (long hash : missing) {
                hashes.putShort((short) (hash >>> 32)).putInt((int) hash);
            }
            outbox.sendNow(from, new Message.Pull(hashes.array()));
        }
        List<Entry> wanted = new ArrayList<>();
        for (Entry entry : store.between(digest.lowHash(), digest.highHash()).values()) {
            if (!upToDate.contains(entry.hash())) {
                wanted.add(entry);
            }
        }
        sendRepairs(elapsedMicros, from, wanted);
        return true;
    }

    private void compare(long hash, int fingerprint, long version, Set<Long> upToDate, List<Long> missing) {
        Entry held = store.get(hash);
        if (held == null || held.version() < version) {
            upToDate.add(hash);
            missing.add(hash);
        } else if (held.version() == version && held.fingerprint() == fingerprint) {
            upToDate.add(hash);
        } else if (held.version() == version) {
            missing.add(hash); // same version, different content: each side sends its own
        }
    }

    void onPull(long elapsedMicros, String from, Message.Pull pull) {
        List<Entry> wanted = new ArrayList<>();
        ByteBuffer hashes = ByteBuffer.wrap(pull.hashes());
        while (hashes.remaining() >= 6) {
            Entry entry = store.get((hashes.getShort() & 0xFFFFL) << 32 | hashes.getInt() & 0xFFFF_FFFFL);
            if (entry != null) {
                wanted.add(entry);
            }
        }
        sendRepairs(elapsedMicros, from, wanted);
    }

    private void sendRepairs(long elapsedMicros, String receiver, List<Entry> entries) {
        Collections.shuffle(entries, random); // where not all of them fit, others are sent each time
        int roomBytes = MAX_REPLY_BYTES;
        for (Entry entry : entries) {
            if (elapsedMicros - entry.storedAtMicros() < limits.minRepairAgeMicros()) {
                continue;
            }
            byte[] message = encoder.encode(new Message.EntryMessage(
                    entry.author(),
                    entry.authorStart(),
                    entry.channel(),
                    entry.key(),
                    entry.version(),
                    entry.expiresAt(),
                    entry.body()));
            if (message.length > budgetBytes) {
                metrics.countDrop(DropCause.REPAIR_RATE);
                return;
            }
            roomBytes -= message.length;
            if (roomBytes < 0 || !outbox.enqueue(receiver, message)) {
                return;
            }
            budgetBytes -= message.length;
            metrics.increment(Metric.REPAIRS_SENT);
        }
    }
}
