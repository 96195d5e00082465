package calicochute.gossip;

import calicochute.gossip.SpreadStore.Entry;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Digests between random pairs: what one lacks the other sends, both ways. A digest tells all entries of a range of
 * hashes; where the store is larger than a datagram holds, the next digest goes on where the last one ended. It also
 * carries a hash of who is there.
 */
final class Repair {
    private static final int MARKS = 1_000; // bytes of marks in one digest, about 100 entries
    private static final int ANSWER = 4_000; // bytes of entries sent in answer to one digest or pull
    private static final int MUCH = 8; // entries that came by repair since the last digest: the next one goes sooner

    private final Membership membership;
    private final SpreadStore store;
    private final Outbox outbox;
    private final Codec codec;
    private final Probes probes;
    private final Views views;
    private final Limits limits;
    private final Counts counts;
    private final Random random;
    private long cursor;
    private long next;
    private long allowed; // bytes of repairs that may go out now
    private long last;
    private int missed = MUCH; // a new process lacks everything

    Repair(
            Membership membership,
            SpreadStore store,
            Outbox outbox,
            Codec codec,
            Probes probes,
            Views views,
            Limits limits,
            Counts counts,
            Random random) {
        this.membership = membership;
        this.store = store;
        this.outbox = outbox;
        this.codec = codec;
        this.probes = probes;
        this.views = views;
        this.limits = limits;
        this.counts = counts;
        this.random = random;
        allowed = 4L * limits.repairRate();
        cursor = random.nextLong() & (SpreadStore.HASHES - 1);
        next = random.nextInt((int) Math.min(Integer.MAX_VALUE, limits.digestEvery()));
    }

    void repaired() {
        missed++;
    }

    void tick(long steady) {
        allowed = Math.min(4L * limits.repairRate(), allowed + limits.repairRate() * (steady - last) / 1_000_000);
        last = steady;
        if (steady < next) {
            return;
        }
        List<String> one = probes.some(1, "");
        if (one.isEmpty()) {
            return;
        }
        next = steady + (missed >= MUCH ? limits.digestEvery() / 5 : limits.digestEvery());
        missed = 0;
        counts.add(Counts.What.DIGESTS);
        outbox.put(one.get(0), codec.part(digest()));
    }

    private Part.Digest digest() {
        ByteBuffer marks = ByteBuffer.allocate(MARKS + 32);
        long low = cursor;
        long high = SpreadStore.HASHES - 1;
        long base = 0;
        for (Entry entry : store.between(low, high).values()) {
            if (marks.position() == 0) {
                base = entry.version();
                marks.putLong(base);
            } else if (marks.position() > MARKS) {
                high = entry.hash() - 1;
                break;
            }
            marks.putShort((short) (entry.hash() >>> 32))
                    .putInt((int) entry.hash())
                    .putShort((short) entry.mark());
            varint(marks, entry.version() - base);
        }
        cursor = high + 1 == SpreadStore.HASHES ? 0 : high + 1;
        byte[] bytes = new byte[marks.position()];
        marks.flip().get(bytes);
        return new Part.Digest(low, high, membership.hash(), bytes);
    }

    private static void varint(ByteBuffer to, long value) {
        long left = value << 1 ^ value >> 63;
        while ((left & ~0x7FL) != 0) {
            to.put((byte) (left | 0x80));
            left >>>= 7;
        }
        to.put((byte) left);
    }

    private static long varint(ByteBuffer from) {
        long value = 0;
        for (int shift = 0; shift < 70; shift += 7) {
            byte one = from.get();
            value |= (one & 0x7FL) << shift;
            if (one >= 0) {
                return value >>> 1 ^ -(value & 1);
            }
        }
        throw new java.nio.BufferUnderflowException();
    }

    /** Sends what the other lacks, and asks for what is lacking here. False: not well formed, nothing done. */
    boolean heard(long steady, String from, Part.Digest digest) {
        if (digest.low() < 0 || digest.high() >= SpreadStore.HASHES || digest.low() > digest.high()) {
            return false;
        }
        Set<Long> same = new HashSet<>(); // not to be sent: the other has it, or newer
        List<Long> lacking = new ArrayList<>();
        ByteBuffer marks = ByteBuffer.wrap(digest.marks());
        try {
            long base = marks.hasRemaining() ? marks.getLong() : 0;
            while (marks.hasRemaining()) {
                long hash = (marks.getShort() & 0xFFFFL) << 32 | marks.getInt() & 0xFFFF_FFFFL;
                int mark = marks.getShort() & 0xFFFF;
                compare(hash, mark, base + varint(marks), same, lacking);
            }
        } catch (java.nio.BufferUnderflowException e) {
            return false;
        }
        if (digest.members() != membership.hash()) {
            views.differs(from);
        }
        if (!lacking.isEmpty()) {
            ByteBuffer hashes = ByteBuffer.allocate(6 * lacking.size());
            for (long hash : lacking) {
                hashes.putShort((short) (hash >>> 32)).putInt((int) hash);
            }
            outbox.now(from, new Part.Pull(hashes.array()));
        }
        List<Entry> mine = new ArrayList<>();
        for (Entry entry : store.between(digest.low(), digest.high()).values()) {
            if (!same.contains(entry.hash())) {
                mine.add(entry);
            }
        }
        send(steady, from, mine);
        return true;
    }

    private void compare(long hash, int mark, long version, Set<Long> same, List<Long> lacking) {
        Entry mine = store.get(hash);
        if (mine == null || mine.version() < version) {
            same.add(hash);
            lacking.add(hash);
        } else if (mine.version() == version && mine.mark() == mark) {
            same.add(hash);
        } else if (mine.version() == version) {
            lacking.add(hash); // two of one version: each shows the other its own
        }
    }

    void pulled(long steady, String by, Part.Pull pull) {
        List<Entry> wanted = new ArrayList<>();
        ByteBuffer hashes = ByteBuffer.wrap(pull.hashes());
        while (hashes.remaining() >= 6) {
            Entry entry = store.get((hashes.getShort() & 0xFFFFL) << 32 | hashes.getInt() & 0xFFFF_FFFFL);
            if (entry != null) {
                wanted.add(entry);
            }
        }
        send(steady, by, wanted);
    }

    private void send(long steady, String to, List<Entry> entries) {
        Collections.shuffle(entries, random); // where not all fit, others each time
        int room = ANSWER;
        for (Entry entry : entries) {
            if (steady - entry.since() < limits.ripe()) {
                continue;
            }
            byte[] part = codec.part(new Part.Spread(
                    entry.author(),
                    entry.authorStart(),
                    entry.channel(),
                    entry.key(),
                    entry.version(),
                    entry.until(),
                    entry.body()));
            if (part.length > allowed) {
                counts.drop(Cause.REPAIR_RATE);
                return;
            }
            room -= part.length;
            if (room < 0 || !outbox.put(to, part)) {
                return;
            }
            allowed -= part.length;
            counts.add(Counts.What.REPAIRS_SENT);
        }
    }
}
