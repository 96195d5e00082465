package calicochute.outcomes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Who adds up a server's outcomes: rendezvous hashing, so that a peer that goes hands on its own servers and no others.
 */
public final class Owners {
    /** Owners of a server: one may be dead and not found out, another cut off. */
    public static final int MANY = 3;

    private final Set<String> live;
    private final String[] peers;
    private final long[] hashes;
    private final Map<String, List<String>> found = new HashMap<>();

    /**
     * Owners of the servers of a list, evenly: no peer has more than a quarter over its share of them (rounded up), and
     * a server goes past those that are full. Otherwise of 300 peers and 60 servers some would have several, and
     * publish to all peers as many times as much as others. Who has another list finds others for a few servers; a
     * server in no list has those of {@link #of(String, Collection, int)}.
     */
    Owners(Collection<String> live, Collection<String> servers) {
        this.live = Set.copyOf(live);
        this.peers = new TreeSet<>(live).toArray(new String[0]);
        this.hashes = Arrays.stream(peers).mapToLong(Owners::hash).toArray();
        int most = servers.size() * MANY * 5 / (4 * Math.max(1, peers.length)) + 1;
        Map<String, Integer> has = new HashMap<>();
        List<String> inTurn = new ArrayList<>(new TreeSet<>(servers));
        inTurn.sort(Comparator.comparingLong(Owners::hash));
        for (String server : inTurn) {
            List<String> of = rank(server, peers.length).stream()
                    .filter(p -> has.getOrDefault(p, 0) < most)
                    .limit(MANY)
                    .toList();
            of.forEach(p -> has.merge(p, 1, Integer::sum));
            found.put(server, of);
        }
    }

    /**
     * The first few of {@code live} for that server, in its order. Each peer that sees the same {@code live} finds the
     * same.
     */
    public static List<String> of(String server, Collection<String> live, int many) {
        return new Owners(live, Set.of()).rank(server, many);
    }

    /** The owners of a server; remembered, since asked for each entry. */
    List<String> of(String server) {
        List<String> of = found.get(server);
        return of != null ? of : rank(server, MANY);
    }

    boolean same(Collection<String> others) {
        return others.size() == live.size() && live.containsAll(others);
    }

    Set<String> live() {
        return live;
    }

    private List<String> rank(String server, int many) {
        long of = hash(server);
        long[] ranked = new long[peers.length]; // by score; of two alike the first by name
        for (int i = 0; i < peers.length; i++) {
            ranked[i] = (long) MurmurHash3.hash32(hashes[i], of) << 32 | i;
        }
        Arrays.sort(ranked);
        return Arrays.stream(ranked).limit(many).mapToObj(r -> peers[(int) r]).toList();
    }

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
