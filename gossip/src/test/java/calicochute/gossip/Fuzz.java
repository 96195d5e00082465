package calicochute.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Mutated datagrams at one balancer. As a main class: arguments are how many and the seed. */
public final class Fuzz {
    static final class Result {
        final Map<Cause, Long> dropped = new EnumMap<>(Cause.class);
        final Map<Counts.What, Long> happened = new EnumMap<>(Counts.What.class);
        long mostBytes;
    }

    public static void main(String[] args) {
        long begun = System.nanoTime();
        Result result = run(Integer.parseInt(args[0]), Long.parseLong(args[1]));
        System.out.println("seconds " + (System.nanoTime() - begun) / 1_000_000_000 + ", most bytes of entries "
                + result.mostBytes);
        System.out.println(result.happened + "\n" + result.dropped);
    }

    /** Throws where anything but a counted drop comes of it. */
    static Result run(int many, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(6, seed);
        List<byte[]> samples = new ArrayList<>();
        fleet.loss = 0.3;
        fleet.cut = (from, to) -> false;
        for (int i = 0; i < 6; i++) {
            Fleet.Node node = fleet.node(i);
            Gossip gossip = new Gossip(
                    new Group("test", node.id, fleet.list),
                    node.start,
                    fleet.limits,
                    i,
                    (to, bytes) -> {
                        samples.add(bytes);
                        fleet.send(node, to, bytes);
                    },
                    node);
            for (int tick = 0; tick < 60; tick++) {
                gossip.tick(fleet.now + tick * 100_000);
                gossip.direct(fleet.now, "lb-003", 1, new byte[tick]);
                gossip.spread(
                        fleet.now, 1, "key " + tick % 9, tick, new byte[tick * 10], fleet.now + 60 * Fleet.SECOND);
                for (byte[] other : List.copyOf(samples.subList(0, Math.min(20, samples.size())))) {
                    gossip.received(fleet.now, other);
                }
            }
        }
        fleet.run(10 * Fleet.SECOND);
        Codec codec = new Codec("test", "lb-003", fleet.node(3).start);
        samples.add(MembersTest.join(
                codec.header(0),
                codec.part(new Part.AskPing(3, "lb-004")),
                codec.part(new Part.Digest(0, 1L << 47, 3, new byte[40])),
                codec.part(new Part.Pull(new byte[30])),
                codec.part(new Part.View(1, 2, true, new byte[6])),
                codec.part(new Part.Rumour("lb-000", fleet.node(0).start, 1, State.GONE))));
        Result result = new Result();
        Gossip target = null;
        for (int i = 0; i < many; i++) {
            if (i % 500 == 0) { // a new one: what it took for true would keep the rest from being read
                sum(result, target);
                target = new Gossip(
                        new Group("test", "lb-000", fleet.list),
                        fleet.node(0).start,
                        fleet.limits,
                        i,
                        (to, bytes) -> {},
                        fleet.node(0));
            }
            target.received(fleet.now + i % 500 * 2_000, mutated(samples, random));
            if (i % 50 == 0) {
                target.tick(fleet.now + i % 500 * 2_000);
            }
        }
        sum(result, target);
        return result;
    }

    private static void sum(Result result, Gossip target) {
        if (target == null) {
            return;
        }
        for (Cause cause : Cause.values()) {
            result.dropped.merge(cause, target.counts().dropped(cause), Long::sum);
        }
        for (Counts.What what : Counts.What.values()) {
            result.happened.merge(what, target.counts().get(what), Long::sum);
        }
        result.mostBytes = Math.max(result.mostBytes, target.counts().get(Counts.What.ENTRY_BYTES));
    }

    private static byte[] mutated(List<byte[]> samples, SplittableRandom random) {
        byte[] sample = samples.get(random.nextInt(samples.size()));
        byte[] bytes = Arrays.copyOf(sample, sample.length - Codec.CHECKSUM);
        for (int i = random.nextInt(1, 3); i > 0 && bytes.length > 0; i--) {
            int at = random.nextInt(
                    bytes.length > 40 && random.nextInt(4) > 0 ? 24 : 0, bytes.length); // mostly behind the header
            switch (random.nextInt(10)) {
                case 0, 7, 8, 9 -> bytes[at] = (byte) random.nextInt(256);
                case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                case 2 -> bytes = Arrays.copyOf(bytes, at);
                case 3 -> bytes = spliced(bytes, at, samples.get(random.nextInt(samples.size())), random);
                case 4 -> { // a length of up to 2^31 or 2^63
                    bytes[at] = (byte) (random.nextInt(8) << 5 | 26 + random.nextInt(2));
                    for (int j = at + 1; j < Math.min(bytes.length, at + 5); j++) {
                        bytes[j] = (byte) random.nextInt(128);
                    }
                }
                case 5 ->
                    Arrays.fill(bytes, at, Math.min(bytes.length, at + random.nextInt(600)), (byte)
                            (random.nextBoolean() ? 0x81 : 0x9F)); // nested arrays
                default -> bytes = Arrays.copyOf(bytes, bytes.length + random.nextInt(1_300));
            }
        }
        return random.nextInt(20) == 0 ? bytes : MembersTest.join(bytes); // mostly with the right checksum
    }

    private static byte[] spliced(byte[] head, int at, byte[] other, SplittableRandom random) {
        int from = random.nextInt(other.length);
        byte[] both = Arrays.copyOf(head, at + other.length - from);
        System.arraycopy(other, from, both, at, other.length - from);
        return both;
    }

    private Fuzz() {}
}
