package calicochute.experiment;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One window at one balancer, whole: repeating it is harmless.
 *
 * @param share with which its sessions were assigned
 * @param cells by arm and place of the lane (alphabetically among the experiment's)
 * @param parts for each arm four parts of its servers, by hash of the id: sessions, sum in ths, in turn
 * @param asked worth asked for, before the cut
 * @param cut of which was cut off
 */
public record Counts(
        long window,
        double share,
        Map<ArmLane, Sums> byArmLane,
        List<Long> serverBuckets,
        double worthAsked,
        double worthCut) {
    /** Arm and lane. */
    public record ArmLane(Arm arm, int lane) implements Comparable<ArmLane> {
        @Override
        public int compareTo(ArmLane other) {
            return arm == other.arm ? Integer.compare(lane, other.lane) : arm.compareTo(other.arm);
        }
    }

    static final int BUCKETS = 4;
    private static final byte VERSION = 1;
    /** What 16 cells and the parts can take at most. */
    static final int MAX_BYTES = 1000;

    public Counts {
        byArmLane = java.util.Collections.unmodifiableMap(new TreeMap<>(byArmLane));
        serverBuckets = List.copyOf(serverBuckets);
    }

    long sessions() {
        return byArmLane.values().stream().mapToLong(Sums::count).sum();
    }

    public byte[] toBytes() {
        ByteBuffer output = ByteBuffer.allocate(MAX_BYTES);
        output.put(VERSION);
        writeVarint(output, window);
        output.putDouble(share).putDouble(worthAsked).putDouble(worthCut);
        output.put((byte) byArmLane.size());
        byArmLane.forEach((armLane, sums) -> {
            output.put((byte) (armLane.lane() << 1 | armLane.arm().ordinal()));
            for (long value : new long[] {
                sums.count(), sums.sum(), sums.sumOfSquares(), sums.failures(), sums.crossovers(), sums.retries()
            }) {
                writeVarint(output, value);
            }
        });
        serverBuckets.forEach(value -> writeVarint(output, value));
        byte[] bytes = new byte[output.flip().remaining()];
        output.get(bytes);
        return bytes;
    }

    public static Counts fromBytes(byte[] bytes) throws UnreadableException {
        if (bytes.length > MAX_BYTES) {
            throw new UnreadableException("counts of " + bytes.length + " bytes");
        }
        ByteBuffer input = ByteBuffer.wrap(bytes);
        try {
            byte version = input.get();
            if (version != VERSION) {
                throw new UnreadableException("counts of version " + version);
            }
            long window = readVarint(input);
            double share = input.getDouble();
            double worthAsked = input.getDouble();
            double worthCut = input.getDouble();
            int cellCount = input.get();
            check(
                    window >= 0
                            && share >= 0
                            && share <= 1
                            && worthAsked >= 0
                            && worthAsked < 1e18
                            && worthCut >= 0
                            && worthCut <= worthAsked,
                    "window, share or worth");
            check(cellCount >= 0 && cellCount <= 2 * ExperimentValidator.MAX_LANES, "number of cells");
            Map<ArmLane, Sums> byArmLane = new TreeMap<>();
            for (int i = 0; i < cellCount; i++) {
                int armLaneIndex = input.get();
                check(armLaneIndex >= 0 && armLaneIndex < 2 * ExperimentValidator.MAX_LANES, "lane");
                Sums sums = new Sums(
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input));
                check(sums.isConsistent(), "sums");
                check(
                        byArmLane.put(new ArmLane(Arm.values()[armLaneIndex & 1], armLaneIndex >> 1), sums) == null,
                        "cell twice");
            }
            List<Long> serverBuckets = new ArrayList<>();
            for (int i = 0; i < 4 * BUCKETS; i++) {
                serverBuckets.add(readVarint(input));
            }
            for (int i = 0; i < 4 * BUCKETS; i += 2) {
                check(
                        serverBuckets.get(i) >= 0
                                && serverBuckets.get(i) < 1L << 32
                                && serverBuckets.get(i + 1) >= 0
                                && serverBuckets.get(i + 1) <= serverBuckets.get(i) * Sums.SCALE,
                        "parts");
            }
            check(!input.hasRemaining(), "length");
            return new Counts(window, share, byArmLane, serverBuckets, worthAsked, worthCut);
        } catch (BufferUnderflowException e) {
            throw new UnreadableException("counts cut short at " + bytes.length + " bytes");
        }
    }

    private static void check(boolean valid, String what) throws UnreadableException {
        if (!valid) {
            throw new UnreadableException("counts of an impossible " + what);
        }
    }

    /** Seven bits a byte, the lowest first. */
    private static void writeVarint(ByteBuffer output, long value) {
        long rest = value;
        while ((rest & ~0x7FL) != 0) {
            output.put((byte) (rest & 0x7F | 0x80));
            rest >>>= 7;
        }
        output.put((byte) rest);
    }

    private static long readVarint(ByteBuffer input) throws UnreadableException {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte next = input.get();
            value |= (long) (next & 0x7F) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new UnreadableException("counts of a number too long");
    }
}
