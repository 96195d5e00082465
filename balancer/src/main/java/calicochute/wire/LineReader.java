package calicochute.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines and cuts each into its leading word and name=value fields, all as byte ranges of one buffer. A line's
 * ranges hold until the next line is read.
 */
final class LineReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int lineStart;
    private int lineEnd;
    private int next;
    private int limit;
    private int lineNumber;
    private int wordEnd;
    private int fields;
    private int[] nameAt = new int[32];
    private int[] nameEnd = new int[32];
    private int[] valueEnd = new int[32];
    /** Interned texts: names that recur are made into a String once. */
    private String[] texts = new String[1 << 10];

    private int textCount;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of input. */
    boolean next() throws IOException, WireException {
        lineStart = next;
        int scan = next;
        while (true) {
            while (scan < limit && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < limit) {
                break;
            }
            int held = limit - lineStart;
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, held);
            } else if (limit == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            lineStart = 0;
            limit = held;
            scan = held;
            int got = in.read(buffer, limit, buffer.length - limit);
            if (got < 0) {
                lineNumber++;
                if (held > 0) {
                    throw error("input ends in the middle of a line");
                }
                return false;
            }
            limit += got;
        }
        lineNumber++;
        next = scan + 1;
        lineEnd = scan > lineStart && buffer[scan - 1] == '\r' ? scan - 1 : scan;
        cut();
        return true;
    }

    private void cut() throws WireException {
        int p = skipTo(lineStart, (byte) ' ');
        wordEnd = p;
        fields = 0;
        while (p < lineEnd) {
            p++;
            int start = p;
            int end = skipTo(p, (byte) ' ');
            if (end > start) {
                int equals = start;
                while (equals < end && buffer[equals] != '=') {
                    equals++;
                }
                if (equals == end || equals == start) {
                    throw error("'" + text(start, end) + "' is not name=value");
                }
                add(start, equals, end);
            }
            p = end;
        }
    }

    private void add(int start, int equals, int end) {
        if (fields == nameAt.length) {
            nameAt = Arrays.copyOf(nameAt, fields * 2);
            nameEnd = Arrays.copyOf(nameEnd, fields * 2);
            valueEnd = Arrays.copyOf(valueEnd, fields * 2);
        }
        nameAt[fields] = start;
        nameEnd[fields] = equals;
        valueEnd[fields++] = end;
    }

    private int skipTo(int from, byte stop) {
        int p = from;
        while (p < lineEnd && buffer[p] != stop) {
            p++;
        }
        return p;
    }

    boolean blank() {
        return lineStart == lineEnd;
    }

    String word() {
        return intern(lineStart, wordEnd);
    }

    int fields() {
        return fields;
    }

    String name(int field) {
        return text(nameAt[field], nameEnd[field]);
    }

    String value(int field) {
        return text(nameEnd[field] + 1, valueEnd[field]);
    }

    /** The index of a field, or -1. */
    int find(String name) {
        for (int i = 0; i < fields; i++) {
            if (matches(nameAt[i], nameEnd[i], name)) {
                return i;
            }
        }
        return -1;
    }

    String text(String name) throws WireException {
        int i = find(name);
        if (i < 0) {
            throw error(word() + " lacks " + name);
        }
        return intern(nameEnd[i] + 1, valueEnd[i]);
    }

    String text(String name, String absent) {
        int i = find(name);
        return i < 0 ? absent : intern(nameEnd[i] + 1, valueEnd[i]);
    }

    /** As {@link #text(String, String)}, but not kept: for values that do not recur. */
    String freshText(String name, String absent) {
        int i = find(name);
        return i < 0 ? absent : value(i);
    }

    long number(String name) throws WireException {
        int i = find(name);
        if (i < 0) {
            throw error(word() + " lacks " + name);
        }
        return number(i, name);
    }

    long number(String name, long absent) throws WireException {
        int i = find(name);
        return i < 0 ? absent : number(i, name);
    }

    private long number(int field, String name) throws WireException {
        int p = nameEnd[field] + 1;
        int end = valueEnd[field];
        boolean minus = p < end && buffer[p] == '-';
        if (minus) {
            p++;
        }
        if (p == end || end - p > 18) {
            throw error(name + " is not a whole number: '" + value(field) + "'");
        }
        long n = 0;
        for (; p < end; p++) {
            int digit = buffer[p] - '0';
            if (digit < 0 || digit > 9) {
                throw error(name + " is not a whole number: '" + value(field) + "'");
            }
            n = n * 10 + digit;
        }
        return minus ? -n : n;
    }

    double decimal(String name, double absent) throws WireException {
        int i = find(name);
        if (i < 0) {
            return absent;
        }
        try {
            return Double.parseDouble(value(i));
        } catch (NumberFormatException e) {
            throw error(name + " is not a number: '" + value(i) + "'");
        }
    }

    boolean flag(String name) throws WireException {
        int i = find(name);
        if (i < 0 || matches(nameEnd[i] + 1, valueEnd[i], "0")) {
            return false;
        }
        if (!matches(nameEnd[i] + 1, valueEnd[i], "1")) {
            throw error(name + " is neither 0 nor 1: '" + value(i) + "'");
        }
        return true;
    }

    /** A request id: 16 hex digits. */
    long hex(String name) throws WireException {
        int i = find(name);
        if (i < 0) {
            throw error(word() + " lacks " + name);
        }
        int p = nameEnd[i] + 1;
        if (valueEnd[i] - p != 16) {
            throw error(name + " is not 16 hex digits: '" + value(i) + "'");
        }
        long n = 0;
        for (; p < valueEnd[i]; p++) {
            int digit = Character.digit(buffer[p], 16);
            if (digit < 0) {
                throw error(name + " is not 16 hex digits: '" + value(i) + "'");
            }
            n = n << 4 | digit;
        }
        return n;
    }

    WireException error(String what) {
        return new WireException("line " + lineNumber + ": " + what);
    }

    private boolean matches(int from, int to, String text) {
        int length = text.length();
        if (to - from != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String text(int from, int to) {
        return new String(buffer, from, to - from, StandardCharsets.UTF_8);
    }

    private String intern(int from, int to) {
        int hash = 0;
        for (int i = from; i < to; i++) {
            hash = hash * 31 + buffer[i];
        }
        int slot = (hash ^ hash >>> 15) & texts.length - 1;
        while (texts[slot] != null) {
            if (matches(from, to, texts[slot])) {
                return texts[slot];
            }
            slot = slot + 1 & texts.length - 1;
        }
        String made = text(from, to);
        if (made.length() == to - from && textCount < 1 << 20) {
            texts[slot] = made;
            if (++textCount * 2 > texts.length) {
                grow();
            }
        }
        return made;
    }

    private void grow() {
        String[] old = texts;
        texts = new String[old.length * 2];
        for (String t : old) {
            if (t != null) {
                int hash = t.hashCode();
                int slot = (hash ^ hash >>> 15) & texts.length - 1;
                while (texts[slot] != null) {
                    slot = slot + 1 & texts.length - 1;
                }
                texts[slot] = t;
            }
        }
    }
}
