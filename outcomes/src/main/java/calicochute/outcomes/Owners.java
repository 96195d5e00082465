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

/** Who adds up a server's outcomes: rendezvous hashing, so that a peer that goes hands on its own servers and no others. */
public final class Owners {
    /** Owners of a server: one may be dead and not found out, another cut off. */
    public static final int MANY = 3;
    private final Set<String> live;
    private final String[] peers;
    private final long[] hashes;
    private final Map<String, List<String>> found = new HashMap<>();

    Owners(Collection<String> live) {
        this.live = Set.copyOf(live);
        this.peers = new TreeSet<>(live).toArray(new String[0]);
        this.hashes = Arrays.stream(peers).mapToLong(Owners::hash).toArray();
    }

    /** The first few of {@code live} for that server, in its order. Each peer that sees the same {@code live} finds the same. */
    public static List<String> of(String server, Collection<String> live, int many) {
        return new Owners(live).rank(server, many);
    }

    /** The owners of a server; remembered, since asked for each entry. */
    List<String> of(String server) {
        if (found.size() > 4096) {
            found.clear();
        }
        return found.computeIfAbsent(server, s -> rank(s, MANY));
    }

    boolean same(Collection<String> others) {
        return others.size() == live.size() && live.containsAll(others);
    }

    Set<String> live() {
        return live;
    }

    private List<String> rank(String server, int many) {
        long of = hash(server);
        record Ranked(int score, int peer) { }
        List<Ranked> ranked = new ArrayList<>(peers.length);
        for (int i = 0; i < peers.length; i++) {
            ranked.add(new Ranked(MurmurHash3.hash32(hashes[i], of), i));
        }
        ranked.sort(Comparator.comparingInt(Ranked::score).thenComparingInt(Ranked::peer));
        return ranked.stream().limit(many).map(r -> peers[r.peer]).toList();
    }

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
