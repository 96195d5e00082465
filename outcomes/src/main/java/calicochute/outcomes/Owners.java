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
 * Assigns to each server the balancers that add up its outcomes, by rendezvous hashing: when a peer leaves, only the
 * servers that it owned change owners.
 */
public final class Owners {
    /** One owner may have failed without being detected yet, and another may be partitioned off. */
    public static final int OWNERS_PER_SERVER = 3;

    private final Set<String> live;
    private final String[] peers;
    private final long[] hashes;
    private final Map<String, List<String>> assigned = new HashMap<>();

    /**
     * Distributes the servers of a list evenly: no peer owns more than 125% of its share of them (rounded up), and a
     * server skips peers that are full. Plain rendezvous hashing of 60 servers over 300 peers would give some peers
     * several servers, and these would publish several times as much as others. A balancer with a different list
     * computes different owners for a few servers. The owners of a server in no list are those of {@link #of(String,
     * Collection, int)}.
     */
    Owners(Collection<String> live, Collection<String> servers) {
        this.live = Set.copyOf(live);
        this.peers = new TreeSet<>(live).toArray(new String[0]);
        this.hashes = Arrays.stream(peers).mapToLong(Owners::hash).toArray();
        int maxServersPerPeer = servers.size() * OWNERS_PER_SERVER * 5 / (4 * Math.max(1, peers.length)) + 1;
        Map<String, Integer> serversOfPeer = new HashMap<>();
        List<String> ordered = new ArrayList<>(new TreeSet<>(servers));
        ordered.sort(Comparator.comparingLong(Owners::hash));
        for (String server : ordered) {
            List<String> owners = rank(server, peers.length).stream()
                    .filter(p -> serversOfPeer.getOrDefault(p, 0) < maxServersPerPeer)
                    .limit(OWNERS_PER_SERVER)
                    .toList();
            owners.forEach(p -> serversOfPeer.merge(p, 1, Integer::sum));
            assigned.put(server, owners);
        }
    }

    /**
     * The first {@code count} peers of {@code live} for that server, in order of rank. Each peer that sees the same
     * {@code live} computes the same.
     */
    public static List<String> of(String server, Collection<String> live, int count) {
        return new Owners(live, Set.of()).rank(server, count);
    }

    /** The owners of a server; computed beforehand for those of the list, since it is called for each entry. */
    List<String> of(String server) {
        List<String> owners = assigned.get(server);
        return owners != null ? owners : rank(server, OWNERS_PER_SERVER);
    }

    boolean hasSameLive(Collection<String> others) {
        return others.size() == live.size() && live.containsAll(others);
    }

    Set<String> live() {
        return live;
    }

    private List<String> rank(String server, int count) {
        long serverHash = hash(server);
        long[] ranked = new long[peers.length]; // by score, equal scores by the peer's name
        for (int i = 0; i < peers.length; i++) {
            ranked[i] = (long) MurmurHash3.hash32(hashes[i], serverHash) << 32 | i;
        }
        Arrays.sort(ranked);
        return Arrays.stream(ranked).limit(count).mapToObj(r -> peers[(int) r]).toList();
    }

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
