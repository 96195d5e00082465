package calicochute.experiment;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The complete counts of one window at one balancer. A receiver may get the same counts several times without effect.
 *
 * @param window number of the window
 * @param share share of the treatment with which the window's sessions were assigned
 * @param byArmLane sums for each arm and lane
 * @param serverBuckets for each arm, its servers divided into {@link #BUCKETS} buckets by the hash of the server id:
 *     alternating the number of sessions and the sum of the measure in units of 1 / {@link Sums#SCALE}
 * @param worthRequested total worth of the sessions, before the cap of {@code measure.most}
 * @param worthAboveCap the part of {@code worthRequested} above the cap
 */
public record Counts(
        long window,
        double share,
        Map<ArmLane, Sums> byArmLane,
        List<Long> serverBuckets,
        double worthRequested,
        double worthAboveCap) {
    /**
     * An arm and a lane of it.
     *
     * @param lane index of the lane in the experiment's lanes, sorted by name
     */
    public record ArmLane(Arm arm, int lane) implements Comparable<ArmLane> {
        @Override
        public int compareTo(ArmLane other) {
            return arm == other.arm ? Integer.compare(lane, other.lane) : arm.compareTo(other.arm);
        }
    }

    /** Number of server buckets of an arm. */
    static final int BUCKETS = 4;
    /** Version of the serialized form. */
    private static final byte VERSION = 1;
    /** Largest serialized size in bytes: 16 pairs of arm and lane, and the server buckets. */
    static final int MAX_BYTES = 1000;

    public Counts {
        byArmLane = java.util.Collections.unmodifiableMap(new TreeMap<>(byArmLane));
        serverBuckets = List.copyOf(serverBuckets);
    }

    /** Number of sessions (or tenants) counted in all arms and lanes. */
    long sessions() {
        return byArmLane.values().stream().mapToLong(Sums::count).sum();
    }

    /** Serializes the counts to at most {@link #MAX_BYTES} bytes. */
    public byte[] toBytes() {
        ByteBuffer output = ByteBuffer.allocate(MAX_BYTES);
        output.put(VERSION);
        writeVarint(output, window);
        output.putDouble(share).putDouble(worthRequested).putDouble(worthAboveCap);
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

    /**
     * Parses the output of {@link #toBytes}.
     *
     * @throws UnreadableException if the bytes have another version or length, or hold values that no counting can give
     */
    public static Counts fromBytes(byte[] bytes) throws UnreadableException {
        if (bytes.length > MAX_BYTES) {
            throw new UnreadableException("counts have " + bytes.length + " bytes, more than allowed");
        }
        ByteBuffer input = ByteBuffer.wrap(bytes);
        try {
            byte version = input.get();
            if (version != VERSION) {
                throw new UnreadableException("counts have unknown version " + version);
            }
            long window = readVarint(input);
            double share = input.getDouble();
            double worthRequested = input.getDouble();
            double worthAboveCap = input.getDouble();
            int armLaneCount = input.get();
            check(
                    window >= 0
                            && share >= 0
                            && share <= 1
                            && worthRequested >= 0
                            && worthRequested < 1e18
                            && worthAboveCap >= 0
                            && worthAboveCap <= worthRequested,
                    "window, share or worth out of range");
            check(
                    armLaneCount >= 0 && armLaneCount <= 2 * ExperimentValidator.MAX_LANES,
                    "number of arm and lane pairs out of range");
            Map<ArmLane, Sums> byArmLane = new TreeMap<>();
            for (int i = 0; i < armLaneCount; i++) {
                int armLaneIndex = input.get();
                check(armLaneIndex >= 0 && armLaneIndex < 2 * ExperimentValidator.MAX_LANES, "lane out of range");
                Sums sums = new Sums(
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input),
                        readVarint(input));
                check(sums.isConsistent(), "inconsistent sums");
                check(
                        byArmLane.put(new ArmLane(Arm.values()[armLaneIndex & 1], armLaneIndex >> 1), sums) == null,
                        "duplicate arm and lane");
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
                        "server buckets out of range");
            }
            check(!input.hasRemaining(), "trailing bytes");
            return new Counts(window, share, byArmLane, serverBuckets, worthRequested, worthAboveCap);
        } catch (BufferUnderflowException e) {
            throw new UnreadableException("counts truncated at " + bytes.length + " bytes");
        }
    }

    private static void check(boolean valid, String problem) throws UnreadableException {
        if (!valid) {
            throw new UnreadableException("invalid counts: " + problem);
        }
    }

    /** Writes seven bits per byte, least significant first; the top bit marks that more bytes follow. */
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
        throw new UnreadableException("counts have a number of more than 63 bits");
    }
}
