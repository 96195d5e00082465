package calicochute.fleet;

import calicochute.experiment.Counts;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Sends this balancer's own counts of windows that are not sealed yet to the balancers that may seal them: once when a
 * window closes, once more a little later, and again to each balancer that becomes a proposer.
 */
final class CountsSender {
    /** Time after which the counts of the newest window are sent a second time. */
    private static final long RESEND_DELAY_MICROS = 300_000;

    /** Greatest number of unsealed windows whose counts are stored. */
    private static final int MAX_WINDOWS = 64;

    private final String me;
    private final BiConsumer<String, byte[]> send;
    private final TreeMap<Long, byte[]> countsByWindow = new TreeMap<>();
    private List<String> proposers = List.of();
    private long sentAtMicros = Long.MAX_VALUE;

    /** @param send sends counts to a peer */
    CountsSender(String me, BiConsumer<String, byte[]> send) {
        this.me = me;
        this.send = send;
    }

    /** Sets the balancers that may seal windows, by rank. */
    void setProposers(List<String> newProposers) {
        List<String> before = proposers;
        proposers = newProposers;
        proposers.stream()
                .filter(peer -> !before.contains(peer) && !peer.equals(me))
                .forEach(peer -> countsByWindow.values().forEach(counts -> send.accept(peer, counts)));
    }

    /** This balancer's rank among those that may seal, from 0; negative if it is none of them. */
    int rank() {
        return proposers.indexOf(me);
    }

    /** Sends the newest window a second time if due: datagrams get lost, and receivers ignore a duplicate. */
    void resend(long nowMicros) {
        if (nowMicros >= sentAtMicros + RESEND_DELAY_MICROS
                || nowMicros < sentAtMicros && sentAtMicros != Long.MAX_VALUE) {
            sentAtMicros = Long.MAX_VALUE;
            if (!countsByWindow.isEmpty()) {
                send(countsByWindow.lastEntry().getValue());
            }
        }
    }

    /** Sends a closed window's counts. */
    void send(long nowMicros, Counts counts) {
        countsByWindow.put(counts.window(), counts.toBytes());
        sentAtMicros = nowMicros;
        send(countsByWindow.lastEntry().getValue());
    }

    private void send(byte[] counts) {
        proposers.stream().filter(peer -> !peer.equals(me)).forEach(peer -> send.accept(peer, counts));
    }

    /** Forgets the counts of all windows up to this one, which are sealed. */
    void sealed(long window) {
        countsByWindow.headMap(window, true).clear();
        while (countsByWindow.size() > MAX_WINDOWS) {
            countsByWindow.pollFirstEntry();
        }
    }
}
