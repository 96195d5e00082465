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
public record Counts(long window, double share, Map<Cell, Sums> cells, List<Long> parts, double asked, double cut) {
    /** Arm and lane. */
    public record Cell(Arm arm, int lane) implements Comparable<Cell> {
        @Override
        public int compareTo(Cell o) {
            return arm == o.arm ? Integer.compare(lane, o.lane) : arm.compareTo(o.arm);
        }
    }

    static final int PARTS = 4;
    private static final byte VERSION = 1;
    /** What 16 cells and the parts can take at most. */
    static final int MOST_BYTES = 1000;

    public Counts {
        cells = java.util.Collections.unmodifiableMap(new TreeMap<>(cells));
        parts = List.copyOf(parts);
    }

    long sessions() {
        return cells.values().stream().mapToLong(Sums::n).sum();
    }

    public byte[] bytes() {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.put(VERSION);
        put(out, window);
        out.putDouble(share).putDouble(asked).putDouble(cut);
        out.put((byte) cells.size());
        cells.forEach((cell, sums) -> {
            out.put((byte) (cell.lane() << 1 | cell.arm().ordinal()));
            for (long value :
                    new long[] {sums.n(), sums.sum(), sums.squares(), sums.failures(), sums.crossed(), sums.repeats()
                    }) {
                put(out, value);
            }
        });
        parts.forEach(value -> put(out, value));
        byte[] bytes = new byte[out.flip().remaining()];
        out.get(bytes);
        return bytes;
    }

    public static Counts of(byte[] bytes) throws UnreadableException {
        if (bytes.length > MOST_BYTES) {
            throw new UnreadableException("counts of " + bytes.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            byte version = in.get();
            if (version != VERSION) {
                throw new UnreadableException("counts of version " + version);
            }
            long window = take(in);
            double share = in.getDouble();
            double asked = in.getDouble();
            double cut = in.getDouble();
            int many = in.get();
            check(
                    window >= 0 && share >= 0 && share <= 1 && asked >= 0 && asked < 1e18 && cut >= 0 && cut <= asked,
                    "window, share or worth");
            check(many >= 0 && many <= 2 * ExperimentCheck.MOST_LANES, "number of cells");
            Map<Cell, Sums> cells = new TreeMap<>();
            for (int i = 0; i < many; i++) {
                int at = in.get();
                check(at >= 0 && at < 2 * ExperimentCheck.MOST_LANES, "lane");
                Sums sums = new Sums(take(in), take(in), take(in), take(in), take(in), take(in));
                check(sums.possible(), "sums");
                check(cells.put(new Cell(Arm.values()[at & 1], at >> 1), sums) == null, "cell twice");
            }
            List<Long> parts = new ArrayList<>();
            for (int i = 0; i < 4 * PARTS; i++) {
                parts.add(take(in));
            }
            for (int i = 0; i < 4 * PARTS; i += 2) {
                check(
                        parts.get(i) >= 0
                                && parts.get(i) < 1L << 32
                                && parts.get(i + 1) >= 0
                                && parts.get(i + 1) <= parts.get(i) * Sums.PARTS,
                        "parts");
            }
            check(!in.hasRemaining(), "length");
            return new Counts(window, share, cells, parts, asked, cut);
        } catch (BufferUnderflowException e) {
            throw new UnreadableException("counts cut short at " + bytes.length + " bytes");
        }
    }

    private static void check(boolean good, String what) throws UnreadableException {
        if (!good) {
            throw new UnreadableException("counts of an impossible " + what);
        }
    }

    /** Seven bits a byte, the lowest first. */
    private static void put(ByteBuffer out, long value) {
        long left = value;
        while ((left & ~0x7FL) != 0) {
            out.put((byte) (left & 0x7F | 0x80));
            left >>>= 7;
        }
        out.put((byte) left);
    }

    private static long take(ByteBuffer in) throws UnreadableException {
        long value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 0x7F) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new UnreadableException("counts of a number too long");
    }
}
