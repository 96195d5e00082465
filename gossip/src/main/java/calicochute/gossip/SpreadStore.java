package calicochute.gossip;

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
 * The newest version of each (channel, key). Of two entries of one version the greater by author, start and body is
 * kept, so that all agree. Bounded: when full, whoever holds most gives way to one who holds less; nobody can drive out
 * one who keeps to an equal share.
 */
final class SpreadStore {
    static final long HASHES = 1L << 48;
    private static final int BESIDE = 200; // bytes kept beside key and body
    private static final int MOST_FORGOTTEN = 4_096;

    /**
     * @param since steady microseconds at which it came here
     * @param mark 16 bits that tell entries of one version apart
     */
    record Entry(
            long hash,
            String author,
            long authorStart,
            int channel,
            String key,
            long version,
            long until,
            byte[] body,
            long since,
            int mark) {
        int size() {
            return key.length() + body.length + BESIDE;
        }
    }

    private record Forgotten(long version, long at) {}

    private static final Comparator<Entry> ORDER = Comparator.comparingLong(Entry::version)
            .thenComparing(Entry::author)
            .thenComparingLong(Entry::authorStart)
            .thenComparing(Entry::body, Arrays::compare);
    private final Limits limits;
    private final Counts counts;
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private final Map<String, Long> sizes = new HashMap<>(); // by author
    private final Map<Long, Forgotten> forgotten = new LinkedHashMap<>(); // expired keys: no older version comes back
    private long size;
    private int members;

    SpreadStore(Limits limits, Counts counts, int members) {
        this.limits = limits;
        this.counts = counts;
        this.members = members;
    }

    void members(int many) {
        members = many;
    }

    static long hash(int channel, String key) {
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, channel)[0] & (HASHES - 1);
    }

    Entry get(long hash) {
        return entries.get(hash);
    }

    NavigableMap<Long, Entry> between(long low, long high) {
        return entries.subMap(low, true, high, true);
    }

    int count() {
        return entries.size();
    }

    /** What is left of an author's bytes, and of its keys: four equal shares, but at least 16 kB. */
    private long share() {
        return Math.max(limits.storeBytes() / members * 4, 16_384);
    }

    /** The entry if it is news, else null. */
    Entry take(long now, long steady, String author, Part.Spread part) {
        if (part.body().length + part.key().getBytes(StandardCharsets.UTF_8).length > limits.entryBytes()) {
            counts.drop(Cause.ENTRY_TOO_LONG);
            return null;
        }
        if (part.until() <= now) {
            counts.drop(Cause.EXPIRED);
            return null;
        }
        if (part.until() - now > limits.longestKept() + limits.clockAhead()) {
            counts.drop(Cause.CLOCK_OFF);
            return null;
        }
        long hash = hash(part.channel(), part.key());
        Entry entry = new Entry(
                hash,
                author,
                part.authorStart(),
                part.channel(),
                part.key(),
                part.version(),
                part.until(),
                part.body(),
                steady,
                (author.hashCode() * 961 + Long.hashCode(part.authorStart()) * 31 + Arrays.hashCode(part.body()))
                        & 0xFFFF);
        return news(entry) && room(entry) ? put(entry) : null;
    }

    private boolean news(Entry entry) {
        Forgotten before = forgotten.get(entry.hash());
        if (before != null && entry.version() <= before.version()) {
            counts.drop(Cause.OLD_VERSION);
            return false;
        }
        Entry known = entries.get(entry.hash());
        if (known == null) {
            return true;
        }
        if (known.channel() != entry.channel() || !known.key().equals(entry.key())) {
            counts.drop(Cause.HASH_CLASH);
            return false;
        }
        int order = ORDER.compare(entry, known);
        if (order != 0 && entry.version() == known.version()) {
            counts.drop(Cause.VERSION_CLASH);
        } else if (order < 0) {
            counts.drop(Cause.OLD_VERSION);
        }
        return order > 0;
    }

    private boolean room(Entry entry) {
        Entry known = entries.get(entry.hash());
        long own = sizes.getOrDefault(entry.author(), 0L) + entry.size();
        own -= known != null && known.author().equals(entry.author()) ? known.size() : 0;
        if (own > share()) {
            counts.drop(Cause.QUOTA);
            return false;
        }
        while (size + entry.size() - (known == null ? 0 : known.size()) > limits.storeBytes()
                || known == null && entries.size() >= limits.keys()) {
            String greatest = greatest();
            if (greatest.equals(entry.author()) || sizes.get(greatest) < own) {
                counts.drop(Cause.QUOTA);
                return false;
            }
            evict(greatest);
            known = entries.get(entry.hash());
        }
        return true;
    }

    private String greatest() {
        String greatest = null;
        for (Map.Entry<String, Long> one : sizes.entrySet()) {
            if (greatest == null
                    || one.getValue() > sizes.get(greatest)
                    || one.getValue().equals(sizes.get(greatest))
                            && one.getKey().compareTo(greatest) > 0) {
                greatest = one.getKey();
            }
        }
        return greatest;
    }

    private void evict(String author) {
        Entry first = null;
        for (Entry entry : entries.values()) {
            if (entry.author().equals(author) && (first == null || entry.until() < first.until())) {
                first = entry;
            }
        }
        counts.add(Counts.What.EVICTED);
        remove(first);
    }

    private Entry put(Entry entry) {
        Entry known = entries.put(entry.hash(), entry);
        if (known != null) {
            resize(known, -known.size());
        }
        resize(entry, entry.size());
        gauge();
        return entry;
    }

    private void remove(Entry entry) {
        entries.remove(entry.hash());
        resize(entry, -entry.size());
        gauge();
    }

    private void resize(Entry entry, int by) {
        size += by;
        sizes.merge(entry.author(), (long) by, (one, other) -> one + other == 0 ? null : Long.valueOf(one + other));
    }

    private void gauge() {
        counts.set(Counts.What.ENTRIES, entries.size());
        counts.set(Counts.What.ENTRY_BYTES, size);
        counts.set(Counts.What.FORGOTTEN, forgotten.size());
        counts.mustHold(size >= 0 && size <= limits.storeBytes(), "store within bounds");
    }

    /** Removes what is past its `until`. Versions are remembered for as long as an older one may be under way. */
    void expire(long now) {
        List<Entry> over = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.until() <= now) {
                over.add(entry);
            }
        }
        for (Entry entry : over) {
            counts.add(Counts.What.EXPIRED);
            forgotten.remove(entry.hash());
            forgotten.put(entry.hash(), new Forgotten(entry.version(), now));
            remove(entry);
        }
        Iterator<Forgotten> oldest = forgotten.values().iterator();
        while (oldest.hasNext()) {
            boolean old = now - oldest.next().at() > limits.longestKept();
            if (!old && forgotten.size() <= MOST_FORGOTTEN) {
                break;
            }
            oldest.remove();
        }
        gauge();
    }
}
