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

/**
 * A cluster on a simulated network in virtual time, with random loss, delay and repetition of datagrams, partitions and
 * pauses. Equal seeds give equal runs. All times are microseconds.
 */
final class SimulatedCluster {
    static final long SECOND = 1_000_000;
    /** Wall clock time at which each simulation begins. */
    static final long BEGIN = 1_700_000_000_000_000L;

    /** One process. */
    final class Node implements Gossip.Listener, Gossip.Sender {
        final String id;
        final long start;
        final Gossip gossip;
        final Map<String, Long> versions = new TreeMap<>();
        final Map<String, Long> receivedAt = new HashMap<>();
        final List<String> duplicateIds = new ArrayList<>();
        final List<String> directMessages = new ArrayList<>();
        Set<String> members = Set.of();
        boolean running = true;
        long clockOffset;

        Node(String id, long start) {
            this.id = id;
            this.start = start;
            gossip = new Gossip(new ClusterConfig("test", id, list), start, limits, random.nextLong(), this, this);
        }

        long now() {
            return SimulatedCluster.this.now + clockOffset;
        }

        void publish(String key, long version, long expiresAt) {
            gossip.publish(now(), 1, key, version, ("body of " + key + " " + version).getBytes(), expiresAt);
            versions.merge(key, version, Math::max);
        }

        @Override
        public void send(String peer, byte[] datagram) {
            SimulatedCluster.this.send(this, peer, datagram);
        }

        @Override
        public void onDirectMessage(long nowMicros, String from, long fromStart, int channel, byte[] body) {
            directMessages.add(from + " " + channel + " " + new String(body));
        }

        @Override
        public void onEntry(
                long nowMicros, String author, long authorStart, int channel, String key, long version, byte[] body) {
            versions.put(key, version);
            receivedAt.put(key + " " + version, SimulatedCluster.this.now);
        }

        @Override
        public void onLiveMembersChanged(long nowMicros, Set<String> live) {
            members = live;
        }

        @Override
        public void onDuplicateId(long nowMicros, String id, long oneStart, long otherStart) {
            duplicateIds.add(id);
        }
    }

    /** An action due at a time; actions due at the same time run in the order in which they were scheduled. */
    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    final List<Member> list = new ArrayList<>();
    /** The newest process of each id. */
    final Map<String, Node> nodes = new TreeMap<>();

    final Limits limits;
    final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextOrder;
    long now = BEGIN;
    long tickInterval = 100_000;
    /** Share of the datagrams that are lost. */
    double lossRate;
    /** Share of the datagrams that are sent twice. */
    double duplicationRate;

    long maxDelay = 2_000;
    /** Whether datagrams from the first to the second id are blocked. */
    BiPredicate<String, String> blocked = (from, to) -> false;

    SimulatedCluster(int size, long seed) {
        this(size, seed, Limits.defaults());
    }

    SimulatedCluster(int size, long seed, Limits limits) {
        this.limits = limits;
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            list.add(new Member(String.format("lb-%03d", i), ""));
        }
        for (Member member : list) {
            start(member.id());
        }
    }

    Node node(int index) {
        return nodes.get(list.get(index).id());
    }

    /** Starts a new process; an older one with the same id gets no more datagrams, but sends as long as it runs. */
    Node start(String id) {
        Node node = new Node(id, now);
        nodes.put(id, node);
        schedule(now + random.nextInt((int) tickInterval), () -> tick(node));
        return node;
    }

    /** Suspends the process for some time; datagrams that arrive meanwhile are lost. */
    void pause(Node node, long duration) {
        node.running = false;
        schedule(now + duration, () -> {
            if (nodes.get(node.id) == node) {
                node.running = true;
                tick(node);
            }
        });
    }

    private void tick(Node node) {
        if (node.running) {
            node.gossip.tick(node.now());
            schedule(now + tickInterval, () -> tick(node));
        }
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(time, nextOrder++, action));
    }

    void send(Node from, String to, byte[] datagram) {
        if (datagram.length > Limits.MAX_DATAGRAM_BYTES) {
            throw new AssertionError("datagram has " + datagram.length + " bytes");
        }
        for (int copies = random.nextDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossRate && !blocked.test(from.id, to)) {
                schedule(now + 100 + (long) (random.nextDouble() * maxDelay), () -> deliver(to, datagram));
            }
        }
    }

    void deliver(String to, byte[] datagram) {
        Node node = nodes.get(to);
        if (node != null && node.running) {
            node.gossip.receive(node.now(), datagram);
        }
    }

    void run(long duration) {
        long end = now + duration;
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event next = events.poll();
            now = next.time();
            next.action().run();
        }
        now = end;
    }

    /** Runs until the condition holds, for at most `maxDuration`. Returns the time it took, or -1 if it never held. */
    long runUntil(long maxDuration, java.util.function.BooleanSupplier condition) {
        for (long begin = now; now - begin <= maxDuration; run(50_000)) {
            if (condition.getAsBoolean()) {
                return now - begin;
            }
        }
        return -1;
    }

    boolean allSee(Set<String> live) {
        return running().allMatch(node -> node.gossip.live().equals(live));
    }

    java.util.stream.Stream<Node> running() {
        return nodes.values().stream().filter(node -> node.running);
    }

    Set<String> runningIds() {
        return new java.util.TreeSet<>(running().map(node -> node.id).toList());
    }

    boolean sameEntries() {
        return running().map(node -> node.versions).distinct().count() <= 1;
    }

    long sum(GossipMetrics.Metric metric) {
        return running().mapToLong(node -> node.gossip.metrics().get(metric)).sum();
    }
}
