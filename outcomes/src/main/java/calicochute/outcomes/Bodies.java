package calicochute.outcomes;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * Bodies on the wire. Whole numbers of 7 bits a byte, since counts are small: an entry takes about 17 bytes and a row
 * 35, against 30 and 60 in CBOR, and rows are most of what a balancer hears.
 *
 * <pre>
 *   body   = version (1) kind (1: report, 2: rows) window many entry*
 *   report = hash (8 bytes) tally
 *   row    = hash (8 bytes) witnesses sum (0 | 1 clipped) middle between      0: clipped is sum
 *   tally  = bits (which ends are not 0) count* speeds [logs squares]         logs in 1/16384, zigzag
 * </pre>
 */
final class Bodies {
    static final byte VERSION = 1;
    static final byte REPORT = 1;
    static final byte ROWS = 2;
    /** More than any entry takes: 8 + 2 + 2 * 62 + 1 + 4 + 4 bytes for counts up to 1024 * 1,000,000. */
    static final int MOST = 143;

    private static final int HEAD = 2 + 10 + 2;

    private Bodies() {}

    /** A body that is none. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1;

        Malformed(String what) {
            super(what);
        }
    }

    record Entry(long hash, Tally tally) {}

    record Report(long window, List<Entry> entries) {}

    record Rows(long window, List<Summed> rows) {}

    /** How many rows fit for certain. */
    static int rows(Limits limits) {
        return (limits.body() - HEAD) / MOST;
    }

    /** As many bodies as needed. */
    static List<byte[]> reports(long window, List<Entry> entries, int most) {
        List<byte[]> bodies = new ArrayList<>();
        ByteBuffer out = ByteBuffer.allocate(most);
        int from = 0;
        while (from < entries.size()) {
            int to = from;
            out.clear();
            for (; to < entries.size() && to - from < 127 && out.remaining() >= HEAD + MOST; to++) {
                out.putLong(entries.get(to).hash);
                put(out, entries.get(to).tally);
            }
            bodies.add(headed(REPORT, window, to - from, out));
            from = to;
        }
        return bodies;
    }

    static byte[] rows(long window, List<Summed> rows) {
        ByteBuffer out = ByteBuffer.allocate(rows.size() * MOST);
        for (Summed row : rows) {
            out.putLong(row.hash());
            put(out, row.witnesses());
            put(out, row.sum());
            boolean same = row.clipped().equals(row.sum());
            out.put((byte) (same ? 0 : 1));
            if (!same) {
                put(out, row.clipped());
            }
            putSigned(out, row.middle());
            putSigned(out, row.between());
        }
        return headed(ROWS, window, rows.size(), out);
    }

    static byte kind(byte[] body) throws Malformed {
        if (body.length < 4 || body[0] != VERSION) {
            throw new Malformed("version or length");
        }
        return body[1];
    }

    static Report report(byte[] body, Limits limits) throws Malformed {
        List<Entry> entries = new ArrayList<>();
        long window = read(body, REPORT, limits, in -> entries.add(new Entry(in.getLong(), tally(in))));
        return new Report(window, entries);
    }

    static Rows rows(byte[] body, Limits limits) throws Malformed {
        List<Summed> rows = new ArrayList<>();
        long window = read(body, ROWS, limits, in -> {
            long hash = in.getLong();
            long witnesses = get(in);
            Tally sum = tally(in);
            byte other = in.get();
            if (witnesses > Integer.MAX_VALUE || other < 0 || other > 1) {
                throw new Malformed("row");
            }
            rows.add(
                    new Summed(hash, (int) witnesses, sum, other == 0 ? sum : tally(in), getSigned(in), getSigned(in)));
        });
        return new Rows(window, rows);
    }

    private interface Each {
        void read(ByteBuffer in) throws Malformed;
    }

    private static long read(byte[] body, byte kind, Limits limits, Each each) throws Malformed {
        if (body.length > limits.body() || kind(body) != kind) {
            throw new Malformed("length or kind");
        }
        ByteBuffer in = ByteBuffer.wrap(body).order(ByteOrder.BIG_ENDIAN).position(2);
        try {
            long window = get(in);
            long many = get(in);
            if (many < 1 || many > 127) {
                throw new Malformed("entries: " + many);
            }
            for (long i = 0; i < many; i++) {
                each.read(in);
            }
            if (in.hasRemaining()) {
                throw new Malformed("bytes left");
            }
            return window;
        } catch (BufferUnderflowException e) {
            throw new Malformed("cut off");
        }
    }

    private static byte[] headed(byte kind, long window, int many, ByteBuffer entries) {
        ByteBuffer whole =
                ByteBuffer.allocate(HEAD + entries.position()).put(VERSION).put(kind);
        put(whole, window);
        put(whole, many);
        whole.put(entries.flip()).flip();
        byte[] body = new byte[whole.remaining()];
        whole.get(body);
        return body;
    }

    private static void put(ByteBuffer out, Tally tally) {
        int bits = 0;
        for (End end : End.values()) {
            bits |= tally.of(end) != 0 ? 1 << end.ordinal() : 0;
        }
        out.put((byte) bits);
        for (End end : End.values()) {
            if (tally.of(end) != 0) {
                put(out, tally.of(end));
            }
        }
        put(out, tally.speeds());
        if (tally.speeds() > 0) {
            putSigned(out, tally.logSpeed());
            putSigned(out, tally.logSpeedSquares());
        }
    }

    private static Tally tally(ByteBuffer in) throws Malformed {
        long[] ends = new long[End.values().length];
        int bits = in.get();
        for (int i = 0; i < ends.length; i++) {
            ends[i] = (bits & 1 << i) != 0 ? get(in) : 0;
        }
        long speeds = get(in);
        return speeds == 0 ? new Tally(ends, 0, 0, 0) : new Tally(ends, getSigned(in), getSigned(in), speeds);
    }

    private static void putSigned(ByteBuffer out, double log) {
        long units = Math.round(log * Tally.UNITS);
        put(out, units << 1 ^ units >> 63);
    }

    private static double getSigned(ByteBuffer in) throws Malformed {
        long coded = get(in);
        return (coded >>> 1 ^ -(coded & 1)) / Tally.UNITS;
    }

    private static void put(ByteBuffer out, long whole) {
        long rest = whole;
        for (; rest > 127; rest >>>= 7) {
            out.put((byte) (rest & 127 | 128));
        }
        out.put((byte) rest);
    }

    /** At most 56 bits: no sum of what is allowed needs more. */
    private static long get(ByteBuffer in) throws Malformed {
        long whole = 0;
        for (int shift = 0; shift < 56; shift += 7) {
            byte next = in.get();
            whole |= (next & 127L) << shift;
            if (next >= 0) {
                return whole;
            }
        }
        throw new Malformed("number too long");
    }
}
