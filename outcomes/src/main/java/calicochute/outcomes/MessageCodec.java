package calicochute.outcomes;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes message bodies. Integers are variable-length with 7 bits a byte, since counts are small: an entry
 * of a report takes about 17 bytes and a row 35, against 30 and 60 in CBOR, and rows are most of what a balancer
 * receives.
 *
 * <pre>
 *   body   = version (1) kind (1: report, 2: rows) window number-of-entries entry*
 *   report = hash (8 bytes) tally
 *   row    = hash (8 bytes) reporters sum (0 | 1 clipped) median variance      0: clipped equals sum
 *   tally  = bits (which counts are not 0) count* samples [logs squares]       logs in units of 1/16384, zigzag
 * </pre>
 */
final class MessageCodec {
    /** Version of the message format. */
    static final byte VERSION = 1;
    /** Kind of a body with reports. */
    static final byte REPORT = 1;
    /** Kind of a body with rows. */
    static final byte ROWS = 2;
    /** Upper bound of an entry's size: 8 + 2 + 2 * 62 + 1 + 4 + 4 bytes for counts up to 1024 * 1,000,000. */
    static final int MAX_ENTRY_BYTES = 143;

    /** The number of entries takes one byte. */
    private static final int MAX_ENTRIES = 127;

    /** Upper bound of the size of version, kind, window and number of entries. */
    private static final int MAX_HEADER_BYTES = 2 + 10 + 2;

    private MessageCodec() {}

    /** A body that violates the format. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedException(String message) {
            super(message);
        }
    }

    /** One key's tally in a report. */
    record Entry(long hash, Tally tally) {}

    record Report(long window, List<Entry> entries) {}

    record Rows(long window, List<Aggregate> rows) {}

    /** The number of rows that fit into a body whatever their size. */
    static int maxRowsPerBody(Limits limits) {
        return (limits.maxBodyBytes() - MAX_HEADER_BYTES) / MAX_ENTRY_BYTES;
    }

    /** Encodes the entries in as many bodies as needed, of at most {@code maxBytes} each. */
    static List<byte[]> encodeReports(long window, List<Entry> entries, int maxBytes) {
        List<byte[]> bodies = new ArrayList<>();
        ByteBuffer out = ByteBuffer.allocate(maxBytes);
        int from = 0;
        while (from < entries.size()) {
            int end = from;
            out.clear();
            for (;
                    end < entries.size()
                            && end - from < MAX_ENTRIES
                            && out.remaining() >= MAX_HEADER_BYTES + MAX_ENTRY_BYTES;
                    end++) {
                out.putLong(entries.get(end).hash);
                putTally(out, entries.get(end).tally);
            }
            bodies.add(withHeader(REPORT, window, end - from, out));
            from = end;
        }
        return bodies;
    }

    static byte[] encodeRows(long window, List<Aggregate> rows) {
        ByteBuffer out = ByteBuffer.allocate(rows.size() * MAX_ENTRY_BYTES);
        for (Aggregate row : rows) {
            out.putLong(row.hash());
            putVarint(out, row.reporters());
            putTally(out, row.sum());
            boolean same = row.clipped().equals(row.sum());
            out.put((byte) (same ? 0 : 1));
            if (!same) {
                putTally(out, row.clipped());
            }
            putLog(out, row.medianLogSpeed());
            putLog(out, row.varianceBetweenReporters());
        }
        return withHeader(ROWS, window, rows.size(), out);
    }

    static byte decodeKind(byte[] body) throws MalformedException {
        if (body.length < 4 || body[0] != VERSION) {
            throw new MalformedException("unknown version or body shorter than 4 bytes");
        }
        return body[1];
    }

    static Report decodeReport(byte[] body, Limits limits) throws MalformedException {
        List<Entry> entries = new ArrayList<>();
        long window =
                readEntries(body, REPORT, limits, input -> entries.add(new Entry(input.getLong(), getTally(input))));
        return new Report(window, entries);
    }

    static Rows decodeRows(byte[] body, Limits limits) throws MalformedException {
        List<Aggregate> rows = new ArrayList<>();
        long window = readEntries(body, ROWS, limits, input -> {
            long hash = input.getLong();
            long reporters = getVarint(input);
            Tally sum = getTally(input);
            byte hasClipped = input.get();
            if (reporters > Integer.MAX_VALUE || hasClipped < 0 || hasClipped > 1) {
                throw new MalformedException("row with an invalid number of reporters or clipped flag");
            }
            rows.add(new Aggregate(
                    hash, (int) reporters, sum, hasClipped == 0 ? sum : getTally(input), getLog(input), getLog(input)));
        });
        return new Rows(window, rows);
    }

    private interface EntryReader {
        void read(ByteBuffer input) throws MalformedException;
    }

    private static long readEntries(byte[] body, byte kind, Limits limits, EntryReader reader)
            throws MalformedException {
        if (body.length > limits.maxBodyBytes() || decodeKind(body) != kind) {
            throw new MalformedException("body too long or of another kind");
        }
        ByteBuffer input = ByteBuffer.wrap(body).order(ByteOrder.BIG_ENDIAN).position(2);
        try {
            long window = getVarint(input);
            long count = getVarint(input);
            if (count < 1 || count > MAX_ENTRIES) {
                throw new MalformedException("number of entries out of range: " + count);
            }
            for (long i = 0; i < count; i++) {
                reader.read(input);
            }
            if (input.hasRemaining()) {
                throw new MalformedException("bytes after the last entry");
            }
            return window;
        } catch (BufferUnderflowException e) {
            throw new MalformedException("body is truncated");
        }
    }

    private static byte[] withHeader(byte kind, long window, int count, ByteBuffer entries) {
        ByteBuffer message = ByteBuffer.allocate(MAX_HEADER_BYTES + entries.position())
                .put(VERSION)
                .put(kind);
        putVarint(message, window);
        putVarint(message, count);
        message.put(entries.flip()).flip();
        byte[] body = new byte[message.remaining()];
        message.get(body);
        return body;
    }

    private static void putTally(ByteBuffer out, Tally tally) {
        int bits = 0;
        for (DispatchResult result : DispatchResult.values()) {
            bits |= tally.count(result) != 0 ? 1 << result.ordinal() : 0;
        }
        out.put((byte) bits);
        for (DispatchResult result : DispatchResult.values()) {
            if (tally.count(result) != 0) {
                putVarint(out, tally.count(result));
            }
        }
        putVarint(out, tally.speedSamples());
        if (tally.speedSamples() > 0) {
            putLog(out, tally.logSpeedSum());
            putLog(out, tally.logSpeedSquareSum());
        }
    }

    private static Tally getTally(ByteBuffer input) throws MalformedException {
        long[] counts = new long[DispatchResult.values().length];
        int bits = input.get();
        for (int i = 0; i < counts.length; i++) {
            counts[i] = (bits & 1 << i) != 0 ? getVarint(input) : 0;
        }
        long samples = getVarint(input);
        return samples == 0 ? new Tally(counts, 0, 0, 0) : new Tally(counts, getLog(input), getLog(input), samples);
    }

    /** Writes a log in units of 1/16384, zigzag-encoded so that small negative numbers stay short. */
    private static void putLog(ByteBuffer out, double log) {
        long units = Math.round(log * Tally.UNITS_PER_LOG);
        putVarint(out, units << 1 ^ units >> 63);
    }

    private static double getLog(ByteBuffer input) throws MalformedException {
        long coded = getVarint(input);
        return (coded >>> 1 ^ -(coded & 1)) / Tally.UNITS_PER_LOG;
    }

    private static void putVarint(ByteBuffer out, long value) {
        long rest = value;
        for (; rest > 127; rest >>>= 7) {
            out.put((byte) (rest & 127 | 128));
        }
        out.put((byte) rest);
    }

    /** Reads a variable-length integer of at most 56 bits; no sum of permitted values needs more. */
    private static long getVarint(ByteBuffer input) throws MalformedException {
        long value = 0;
        for (int shift = 0; shift < 56; shift += 7) {
            byte next = input.get();
            value |= (next & 127L) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new MalformedException("integer longer than 56 bits");
    }
}
