package calicochute.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Sends mutated datagrams to one balancer. Arguments of the main class: number of datagrams, seed. */
public final class DatagramFuzzer {
    static final class Result {
        final Map<DropCause, Long> dropped = new EnumMap<>(DropCause.class);
        final Map<GossipMetrics.Metric, Long> metrics = new EnumMap<>(GossipMetrics.Metric.class);
        long maxEntryBytes;
    }

    public static void main(String[] args) {
        long beginNanos = System.nanoTime();
        Result result = run(Integer.parseInt(args[0]), Long.parseLong(args[1]));
        System.out.println("seconds " + (System.nanoTime() - beginNanos) / 1_000_000_000 + ", maximum bytes of entries "
                + result.maxEntryBytes);
        System.out.println(result.metrics + "\n" + result.dropped);
    }

    /** Fails with an exception if a datagram causes anything but a counted drop. */
    static Result run(int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(6, seed);
        List<byte[]> samples = new ArrayList<>();
        cluster.lossRate = 0.3;
        cluster.blocked = (from, to) -> false;
        for (int i = 0; i < 6; i++) {
            SimulatedCluster.Node node = cluster.node(i);
            Gossip gossip = new Gossip(
                    new ClusterConfig("test", node.id, cluster.list),
                    node.start,
                    cluster.limits,
                    i,
                    (to, bytes) -> {
                        samples.add(bytes);
                        cluster.send(node, to, bytes);
                    },
                    node);
            for (int tick = 0; tick < 60; tick++) {
                gossip.tick(cluster.now + tick * 100_000);
                gossip.sendDirect(cluster.now, "lb-003", 1, new byte[tick]);
                gossip.publish(
                        cluster.now,
                        1,
                        "key " + tick % 9,
                        tick,
                        new byte[tick * 10],
                        cluster.now + 60 * SimulatedCluster.SECOND);
                for (byte[] datagram : List.copyOf(samples.subList(0, Math.min(20, samples.size())))) {
                    gossip.receive(cluster.now, datagram);
                }
            }
        }
        cluster.run(10 * SimulatedCluster.SECOND);
        DatagramEncoder encoder = new DatagramEncoder("test", "lb-003", cluster.node(3).start);
        samples.add(MembershipTest.join(
                encoder.header(0),
                encoder.encode(new Message.PingRequest(3, "lb-004")),
                encoder.encode(new Message.Digest(0, 1L << 47, 3, new byte[40])),
                encoder.encode(new Message.Pull(new byte[30])),
                encoder.encode(new Message.MembershipDigest(1, 2, true, new byte[6])),
                encoder.encode(new Message.MembershipUpdate("lb-000", cluster.node(0).start, 1, MemberState.DEAD))));
        Result result = new Result();
        Gossip target = null;
        for (int i = 0; i < count; i++) {
            if (i % 500 == 0) {
                // Replaces the target, since claims that it has accepted would make it reject later datagrams early.
                addMetrics(result, target);
                target = new Gossip(
                        new ClusterConfig("test", "lb-000", cluster.list),
                        cluster.node(0).start,
                        cluster.limits,
                        i,
                        (to, bytes) -> {},
                        cluster.node(0));
            }
            target.receive(cluster.now + i % 500 * 2_000, mutate(samples, random));
            if (i % 50 == 0) {
                target.tick(cluster.now + i % 500 * 2_000);
            }
        }
        addMetrics(result, target);
        return result;
    }

    private static void addMetrics(Result result, Gossip target) {
        if (target == null) {
            return;
        }
        for (DropCause cause : DropCause.values()) {
            result.dropped.merge(cause, target.metrics().dropped(cause), Long::sum);
        }
        for (GossipMetrics.Metric metric : GossipMetrics.Metric.values()) {
            result.metrics.merge(metric, target.metrics().get(metric), Long::sum);
        }
        result.maxEntryBytes = Math.max(result.maxEntryBytes, target.metrics().get(GossipMetrics.Metric.ENTRY_BYTES));
    }

    private static byte[] mutate(List<byte[]> samples, SplittableRandom random) {
        byte[] sample = samples.get(random.nextInt(samples.size()));
        byte[] bytes = Arrays.copyOf(sample, sample.length - DatagramEncoder.CHECKSUM_BYTES);
        for (int i = random.nextInt(1, 3); i > 0 && bytes.length > 0; i--) {
            int index = random.nextInt(
                    bytes.length > 40 && random.nextInt(4) > 0 ? 24 : 0, bytes.length); // mostly after the header
            switch (random.nextInt(10)) {
                case 0, 7, 8, 9 -> bytes[index] = (byte) random.nextInt(256);
                case 1 -> bytes[index] ^= (byte) (1 << random.nextInt(8));
                case 2 -> bytes = Arrays.copyOf(bytes, index);
                case 3 -> bytes = splice(bytes, index, samples.get(random.nextInt(samples.size())), random);
                case 4 -> { // claims a length of up to 2^31 or 2^63
                    bytes[index] = (byte) (random.nextInt(8) << 5 | 26 + random.nextInt(2));
                    for (int j = index + 1; j < Math.min(bytes.length, index + 5); j++) {
                        bytes[j] = (byte) random.nextInt(128);
                    }
                }
                case 5 ->
                    Arrays.fill(bytes, index, Math.min(bytes.length, index + random.nextInt(600)), (byte)
                            (random.nextBoolean() ? 0x81 : 0x9F)); // nested arrays
                default -> bytes = Arrays.copyOf(bytes, bytes.length + random.nextInt(1_300));
            }
        }
        return random.nextInt(20) == 0 ? bytes : MembershipTest.join(bytes); // mostly with a valid checksum
    }

    private static byte[] splice(byte[] head, int headLength, byte[] other, SplittableRandom random) {
        int from = random.nextInt(other.length);
        byte[] joined = Arrays.copyOf(head, headLength + other.length - from);
        System.arraycopy(other, from, joined, headLength, other.length - from);
        return joined;
    }

    private DatagramFuzzer() {}
}
