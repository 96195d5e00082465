package calicochute.gossip;

import calicochute.gossip.GossipMetrics.Metric;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Holds the newest version of each (channel, key). Of two entries with the same version, the greater one by author,
 * start and body is kept, so that all balancers agree. The size is limited: when the store is full, entries of the
 * author that uses the most bytes are evicted for an author that uses less, so that no author can evict entries of one
 * that uses at most an equal share.
 */
final class EntryStore {
    /** Number of possible hashes; a hash has 48 bits. */
    static final long HASH_COUNT = 1L << 48;
    /** Counted for each entry in addition to its key and body. */
    private static final int OVERHEAD_BYTES = 200;

    private static final int MAX_TOMBSTONES = 4_096;

    /**
     * @param storedAtMicros elapsed time at which this version was stored here
     * @param fingerprint 16 bits that distinguish entries with the same version
     */
    record Entry(
            long hash,
            String author,
            long authorStart,
            int channel,
            String key,
            long version,
            long expiresAt,
            byte[] body,
            long storedAtMicros,
            int fingerprint) {
        int sizeBytes() {
            return key.length() + body.length + OVERHEAD_BYTES;
        }
    }

    /** Version of an expired entry; prevents this version and older ones from being stored again. */
    private record Tombstone(long version, long expiredAtMicros) {}

    private static final Comparator<Entry> ORDER = Comparator.comparingLong(Entry::version)
            .thenComparing(Entry::author)
            .thenComparingLong(Entry::authorStart)
            .thenComparing(Entry::body, Arrays::compare);
    private final Limits limits;
    private final GossipMetrics metrics;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final Map<String, Long> bytesByAuthor = new HashMap<>();
    private final Map<Long, Tombstone> tombstones = new LinkedHashMap<>();
    private long totalBytes;
    private int memberCount;

    EntryStore(Limits limits, GossipMetrics metrics, int memberCount) {
        this.limits = limits;
        this.metrics = metrics;
        this.memberCount = memberCount;
    }

    void setMemberCount(int count) {
        memberCount = count;
    }

    static long hash(int channel, String key) {
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, channel)[0] & (HASH_COUNT - 1);
    }

    Entry get(long hash) {
        return entries.get(hash);
    }

    NavigableMap<Long, Entry> between(long lowHash, long highHash) {
        return entries.subMap(lowHash, true, highHash, true);
    }

    int count() {
        return entries.size();
    }

    /** Bytes that the entries of one author may use: four equal shares, but at least 16 kB. */
    private long maxBytesPerAuthor() {
        return Math.max(limits.maxStoreBytes() / memberCount * 4, 16_384);
    }

    /** Stores the entry if it is newer than the one held, and returns it; otherwise returns null. */
    Entry storeIfNewer(long nowMicros, long elapsedMicros, String author, Message.EntryMessage message) {
        if (message.body().length + message.key().getBytes(StandardCharsets.UTF_8).length > limits.maxEntryBytes()) {
            metrics.countDrop(DropCause.ENTRY_TOO_LONG);
            return null;
        }
        if (message.expiresAt() <= nowMicros) {
            metrics.countDrop(DropCause.EXPIRED);
            return null;
        }
        if (message.expiresAt() - nowMicros > limits.maxLifetimeMicros() + limits.maxClockAheadMicros()) {
            metrics.countDrop(DropCause.CLOCK_OFF);
            return null;
        }
        long hash = hash(message.channel(), message.key());
        Entry entry = new Entry(
                hash,
                author,
                message.authorStart(),
                message.channel(),
                message.key(),
                message.version(),
                message.expiresAt(),
                message.body(),
                elapsedMicros,
                (author.hashCode() * 961 + Long.hashCode(message.authorStart()) * 31 + Arrays.hashCode(message.body()))
                        & 0xFFFF);
        return isNewer(entry) && makeRoom(entry) ? insert(entry) : null;
    }

    private boolean isNewer(Entry entry) {
        Tombstone tombstone = tombstones.get(entry.hash());
        if (tombstone != null && entry.version() <= tombstone.version()) {
            metrics.countDrop(DropCause.OLD_VERSION);
            return false;
        }
        Entry held = entries.get(entry.hash());
        if (held == null) {
            return true;
        }
        if (held.channel() != entry.channel() || !held.key().equals(entry.key())) {
            metrics.countDrop(DropCause.HASH_CLASH);
            return false;
        }
        int order = ORDER.compare(entry, held);
        if (order != 0 && entry.version() == held.version()) {
            metrics.countDrop(DropCause.VERSION_CLASH);
        } else if (order < 0) {
            metrics.countDrop(DropCause.OLD_VERSION);
        }
        return order > 0;
    }

    /** Evicts entries until the entry fits; false if it exceeds its author's share of the store. */
    private boolean makeRoom(Entry entry) {
        Entry held = entries.get(entry.hash());
        long authorBytes = bytesByAuthor.getOrDefault(entry.author(), 0L) + entry.sizeBytes();
        authorBytes -= held != null && held.author().equals(entry.author()) ? held.sizeBytes() : 0;
        if (authorBytes > maxBytesPerAuthor()) {
            metrics.countDrop(DropCause.QUOTA);
            return false;
        }
        while (totalBytes + entry.sizeBytes() - (held == null ? 0 : held.sizeBytes()) > limits.maxStoreBytes()
                || held == null && entries.size() >= limits.maxEntries()) {
            String largest = largestAuthor();
            if (largest.equals(entry.author()) || bytesByAuthor.get(largest) < authorBytes) {
                metrics.countDrop(DropCause.QUOTA);
                return false;
            }
            evictEntryOf(largest);
            held = entries.get(entry.hash());
        }
        return true;
    }

    /** The author whose entries use the most bytes; of several, the one with the greatest id. */
    private String largestAuthor() {
        String largest = null;
        for (Map.Entry<String, Long> candidate : bytesByAuthor.entrySet()) {
            if (largest == null
                    || candidate.getValue() > bytesByAuthor.get(largest)
                    || candidate.getValue().equals(bytesByAuthor.get(largest))
                            && candidate.getKey().compareTo(largest) > 0) {
                largest = candidate.getKey();
            }
        }
        return largest;
    }

    /** Evicts the author's entry that expires first. */
    private void evictEntryOf(String author) {
        Entry first = null;
        for (Entry entry : entries.values()) {
            if (entry.author().equals(author) && (first == null || entry.expiresAt() < first.expiresAt())) {
                first = entry;
            }
        }
        metrics.increment(Metric.EVICTED);
        remove(first);
    }

    private Entry insert(Entry entry) {
        Entry replaced = entries.put(entry.hash(), entry);
        if (replaced != null) {
            addBytes(replaced, -replaced.sizeBytes());
        }
        addBytes(entry, entry.sizeBytes());
        updateGauges();
        return entry;
    }

    private void remove(Entry entry) {
        entries.remove(entry.hash());
        addBytes(entry, -entry.sizeBytes());
        updateGauges();
    }

    private void addBytes(Entry entry, int delta) {
        totalBytes += delta;
        bytesByAuthor.merge(
                entry.author(), (long) delta, (sum, change) -> sum + change == 0 ? null : Long.valueOf(sum + change));
    }

    private void updateGauges() {
        metrics.set(Metric.ENTRIES, entries.size());
        metrics.set(Metric.ENTRY_BYTES, totalBytes);
        metrics.set(Metric.FORGOTTEN, tombstones.size());
        metrics.checkInvariant(
                totalBytes >= 0 && totalBytes <= limits.maxStoreBytes(), "entry store exceeds its size limit");
    }

    /**
     * Removes expired entries. Each leaves a tombstone, which is kept for as long as a copy of the entry may still be
     * under way.
     */
    void removeExpired(long nowMicros) {
        List<Entry> expired = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.expiresAt() <= nowMicros) {
                expired.add(entry);
            }
        }
        for (Entry entry : expired) {
            metrics.increment(Metric.EXPIRED);
            tombstones.remove(entry.hash());
            tombstones.put(entry.hash(), new Tombstone(entry.version(), nowMicros));
            remove(entry);
        }
        Iterator<Tombstone> oldestFirst = tombstones.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean outdated = nowMicros - oldestFirst.next().expiredAtMicros() > limits.maxLifetimeMicros();
            if (!outdated && tombstones.size() <= MAX_TOMBSTONES) {
                break;
            }
            oldestFirst.remove();
        }
        updateGauges();
    }
}
