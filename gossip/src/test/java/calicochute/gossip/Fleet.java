package calicochute.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** A fleet on a network in virtual time, with drawn faults. The same seed gives the same run. */
final class Fleet {
    static final long SECOND = 1_000_000;
    static final long BEGIN = 1_700_000_000_000_000L;

    /** One process. */
    final class Node implements Gossip.Hearer, Gossip.Sender {
        final String id;
        final long start;
        final Gossip gossip;
        final Map<String, Long> versions = new TreeMap<>();
        final Map<String, Long> heardAt = new HashMap<>();
        final List<String> twins = new ArrayList<>();
        final List<String> directs = new ArrayList<>();
        Set<String> members = Set.of();
        boolean up = true;
        long clock; // off by

        Node(String id, long start) {
            this.id = id;
            this.start = start;
            gossip = new Gossip(new Group("test", id, list), start, limits, random.nextLong(), this, this);
        }

        long now() {
            return Fleet.this.now + clock;
        }

        void spread(String key, long version, long until) {
            gossip.spread(now(), 1, key, version, ("body of " + key + " " + version).getBytes(), until);
            versions.merge(key, version, Math::max);
        }

        @Override
        public void send(String peer, byte[] datagram) {
            Fleet.this.send(this, peer, datagram);
        }

        @Override
        public void direct(long now, String from, long fromStart, int channel, byte[] body) {
            directs.add(from + " " + channel + " " + new String(body));
        }

        @Override
        public void spread(long now, String from, long fromStart, int channel, String key, long version, byte[] body) {
            versions.put(key, version);
            heardAt.put(key + " " + version, Fleet.this.now);
        }

        @Override
        public void members(long now, Set<String> live) {
            members = live;
        }

        @Override
        public void twins(long now, String id, long oneStart, long otherStart) {
            twins.add(id);
        }
    }

    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    final List<Member> list = new ArrayList<>();
    final Map<String, Node> nodes = new TreeMap<>(); // those of the list, the newest process of each name
    final Limits limits;
    final Random random;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long order;
    long now = BEGIN;
    long tick = 100_000;
    double loss;
    double repeated;
    long longestDelay = 2_000;
    BiPredicate<String, String> cut = (from, to) -> false;

    Fleet(int many, long seed) {
        this(many, seed, Limits.usual());
    }

    Fleet(int many, long seed, Limits limits) {
        this.limits = limits;
        random = new Random(seed);
        for (int i = 0; i < many; i++) {
            list.add(new Member(String.format("lb-%03d", i), ""));
        }
        for (Member member : list) {
            start(member.id());
        }
    }

    Node node(int i) {
        return nodes.get(list.get(i).id());
    }

    Node start(String id) {
        Node node = new Node(id, now);
        nodes.put(id, node);
        at(now + random.nextInt((int) tick), () -> tick(node));
        return node;
    }

    /** The process stands still, and goes on. */
    void pause(Node node, long time) {
        node.up = false;
        at(now + time, () -> {
            if (nodes.get(node.id) == node) {
                node.up = true;
                tick(node);
            }
        });
    }

    private void tick(Node node) {
        if (node.up) {
            node.gossip.tick(node.now());
            at(now + tick, () -> tick(node));
        }
    }

    void at(long when, Runnable what) {
        due.add(new Due(when, order++, what));
    }

    void send(Node from, String to, byte[] datagram) {
        if (datagram.length > Limits.DATAGRAM) {
            throw new AssertionError("a datagram of " + datagram.length);
        }
        for (int copies = random.nextDouble() < repeated ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss && !cut.test(from.id, to)) {
                at(now + 100 + (long) (random.nextDouble() * longestDelay), () -> arrive(to, datagram));
            }
        }
    }

    void arrive(String to, byte[] datagram) {
        Node node = nodes.get(to);
        if (node != null && node.up) {
            node.gossip.received(node.now(), datagram);
        }
    }

    void run(long time) {
        long end = now + time;
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            now = next.at();
            next.what().run();
        }
        now = end;
    }

    /** Runs until it holds, at most so long. The time it took, -1 where it never held. */
    long until(long most, java.util.function.BooleanSupplier holds) {
        for (long begin = now; now - begin <= most; run(50_000)) {
            if (holds.getAsBoolean()) {
                return now - begin;
            }
        }
        return -1;
    }

    boolean allSee(Set<String> live) {
        return up().allMatch(node -> node.gossip.live().equals(live));
    }

    java.util.stream.Stream<Node> up() {
        return nodes.values().stream().filter(node -> node.up);
    }

    Set<String> there() {
        return new java.util.TreeSet<>(up().map(node -> node.id).toList());
    }

    boolean sameEntries() {
        return up().map(node -> node.versions).distinct().count() <= 1;
    }

    long sum(Counts.What what) {
        return up().mapToLong(node -> node.gossip.counts().get(what)).sum();
    }
}
