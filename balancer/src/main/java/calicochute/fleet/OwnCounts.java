package calicochute.fleet;

import calicochute.experiment.Counts;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * This balancer's own counts of windows not sealed yet: told to those who may seal, told once more, and told anew to
 * whoever comes to seal.
 */
final class OwnCounts {
    /** Microseconds after which they are told once more. */
    private static final long AGAIN = 300_000;

    private static final int MOST_WINDOWS = 64;
    private final String me;
    private final BiConsumer<String, byte[]> say;
    private final TreeMap<Long, byte[]> own = new TreeMap<>();
    private List<String> sealers = List.of();
    private long toldAt = Long.MAX_VALUE;

    /** @param say tells a peer the counts */
    OwnCounts(String me, BiConsumer<String, byte[]> say) {
        this.me = me;
        this.say = say;
    }

    /** Those who may seal from now on, the first before the others. */
    void sealers(List<String> now) {
        List<String> before = sealers;
        sealers = now;
        sealers.stream()
                .filter(s -> !before.contains(s) && !s.equals(me))
                .forEach(s -> own.values().forEach(c -> say.accept(s, c)));
    }

    /** This balancer's turn to seal, from 0; below 0 where it may not. */
    int rank() {
        return sealers.indexOf(me);
    }

    /** Once more, unchanged: datagrams get lost, and a window told twice is the same window. */
    void again(long now) {
        if (now >= toldAt + AGAIN || now < toldAt && toldAt != Long.MAX_VALUE) {
            toldAt = Long.MAX_VALUE;
            if (!own.isEmpty()) {
                tell(own.lastEntry().getValue());
            }
        }
    }

    void tell(long now, Counts counts) {
        own.put(counts.window(), counts.toBytes());
        toldAt = now;
        tell(own.lastEntry().getValue());
    }

    private void tell(byte[] counts) {
        sealers.stream().filter(s -> !s.equals(me)).forEach(s -> say.accept(s, counts));
    }

    /** All up to this window are sealed. */
    void sealed(long window) {
        own.headMap(window, true).clear();
        while (own.size() > MOST_WINDOWS) {
            own.pollFirstEntry();
        }
    }
}
