package calicochute.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines and splits each into its first word and its {@code name=value} fields, which are byte ranges of one
 * buffer. The ranges are valid until the next line is read.
 */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int INITIAL_FIELDS = 32;
    /** Initial size of the table of interned texts; a power of two, as every size of it. */
    private static final int INITIAL_TEXTS = 1 << 10;
    /** Texts beyond this number are not interned, which bounds the memory. */
    private static final int MAX_TEXTS = 1 << 20;
    /** Maximum length of a number; any number of that many digits fits into a {@code long}. */
    private static final int MAX_DIGITS = 18;
    /** Length of a request id. */
    private static final int HEX_DIGITS = 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int lineStart;
    private int lineEnd;
    /** Where the next line starts. */
    private int nextLineStart;
    /** End of the bytes read. */
    private int limit;

    private int lineNumber;
    private int wordEnd;
    private int fieldCount;
    private int[] nameStart = new int[INITIAL_FIELDS];
    private int[] nameEnd = new int[INITIAL_FIELDS];
    private int[] valueEnd = new int[INITIAL_FIELDS];
    /** Hash table of interned texts, with linear probing: a text that recurs is decoded once. */
    private String[] texts = new String[INITIAL_TEXTS];

    private int textCount;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of input. */
    boolean next() throws IOException, WireException {
        lineStart = nextLineStart;
        int scan = nextLineStart;
        while (true) {
            while (scan < limit && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < limit) {
                break;
            }
            int remaining = limit - lineStart;
            if (lineStart > 0) {
                System.arraycopy(buffer, lineStart, buffer, 0, remaining);
            } else if (limit == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            lineStart = 0;
            limit = remaining;
            scan = remaining;
            int bytesRead = in.read(buffer, limit, buffer.length - limit);
            if (bytesRead < 0) {
                lineNumber++;
                if (remaining > 0) {
                    throw error("input ends in the middle of a line");
                }
                return false;
            }
            limit += bytesRead;
        }
        lineNumber++;
        nextLineStart = scan + 1;
        lineEnd = scan > lineStart && buffer[scan - 1] == '\r' ? scan - 1 : scan;
        split();
        return true;
    }

    /** Finds the word and the fields of the current line. */
    private void split() throws WireException {
        int position = skipTo(lineStart, (byte) ' ');
        wordEnd = position;
        fieldCount = 0;
        while (position < lineEnd) {
            position++;
            int start = position;
            int end = skipTo(position, (byte) ' ');
            if (end > start) {
                int equals = start;
                while (equals < end && buffer[equals] != '=') {
                    equals++;
                }
                if (equals == end || equals == start) {
                    throw error("'" + text(start, end) + "' is not name=value");
                }
                addField(start, equals, end);
            }
            position = end;
        }
    }

    private void addField(int start, int equals, int end) {
        if (fieldCount == nameStart.length) {
            nameStart = Arrays.copyOf(nameStart, fieldCount * 2);
            nameEnd = Arrays.copyOf(nameEnd, fieldCount * 2);
            valueEnd = Arrays.copyOf(valueEnd, fieldCount * 2);
        }
        nameStart[fieldCount] = start;
        nameEnd[fieldCount] = equals;
        valueEnd[fieldCount++] = end;
    }

    private int skipTo(int from, byte stop) {
        int position = from;
        while (position < lineEnd && buffer[position] != stop) {
            position++;
        }
        return position;
    }

    /** Whether the line is empty. */
    boolean blank() {
        return lineStart == lineEnd;
    }

    /** The line's first word. */
    String word() {
        return intern(lineStart, wordEnd);
    }

    /** The number of fields. */
    int fields() {
        return fieldCount;
    }

    String name(int field) {
        return text(nameStart[field], nameEnd[field]);
    }

    String value(int field) {
        return text(nameEnd[field] + 1, valueEnd[field]);
    }

    /** The index of the first field of this name; -1 if there is none. */
    int find(String name) {
        for (int i = 0; i < fieldCount; i++) {
            if (matches(nameStart[i], nameEnd[i], name)) {
                return i;
            }
        }
        return -1;
    }

    /** The value of a field that must be present. */
    String text(String name) throws WireException {
        int field = find(name);
        if (field < 0) {
            throw error(word() + " lacks " + name);
        }
        return intern(nameEnd[field] + 1, valueEnd[field]);
    }

    /** The value of a field, or {@code absent} if there is none. */
    String text(String name, String absent) {
        int field = find(name);
        return field < 0 ? absent : intern(nameEnd[field] + 1, valueEnd[field]);
    }

    /** As {@link #text(String, String)}, but not interned, for values that do not recur. */
    String freshText(String name, String absent) {
        int field = find(name);
        return field < 0 ? absent : value(field);
    }

    long number(String name) throws WireException {
        int field = find(name);
        if (field < 0) {
            throw error(word() + " lacks " + name);
        }
        return number(field, name);
    }

    long number(String name, long absent) throws WireException {
        int field = find(name);
        return field < 0 ? absent : number(field, name);
    }

    private long number(int field, String name) throws WireException {
        int position = nameEnd[field] + 1;
        int end = valueEnd[field];
        boolean negative = position < end && buffer[position] == '-';
        if (negative) {
            position++;
        }
        if (position == end || end - position > MAX_DIGITS) {
            throw error(name + " is not a whole number: '" + value(field) + "'");
        }
        long number = 0;
        for (; position < end; position++) {
            int digit = buffer[position] - '0';
            if (digit < 0 || digit > 9) {
                throw error(name + " is not a whole number: '" + value(field) + "'");
            }
            number = number * 10 + digit;
        }
        return negative ? -number : number;
    }

    double decimal(String name, double absent) throws WireException {
        int field = find(name);
        if (field < 0) {
            return absent;
        }
        try {
            return Double.parseDouble(value(field));
        } catch (NumberFormatException e) {
            throw error(name + " is not a number: '" + value(field) + "'");
        }
    }

    /** A field that is 0 or 1; false if it is missing. */
    boolean flag(String name) throws WireException {
        int field = find(name);
        if (field < 0 || matches(nameEnd[field] + 1, valueEnd[field], "0")) {
            return false;
        }
        if (!matches(nameEnd[field] + 1, valueEnd[field], "1")) {
            throw error(name + " is neither 0 nor 1: '" + value(field) + "'");
        }
        return true;
    }

    /** A request id of 16 hexadecimal digits, which must be present. */
    long hex(String name) throws WireException {
        int field = find(name);
        if (field < 0) {
            throw error(word() + " lacks " + name);
        }
        int position = nameEnd[field] + 1;
        if (valueEnd[field] - position != HEX_DIGITS) {
            throw error(name + " is not 16 hex digits: '" + value(field) + "'");
        }
        long number = 0;
        for (; position < valueEnd[field]; position++) {
            int digit = Character.digit(buffer[position], 16);
            if (digit < 0) {
                throw error(name + " is not 16 hex digits: '" + value(field) + "'");
            }
            number = number << 4 | digit;
        }
        return number;
    }

    /** An exception for a problem with the current line. */
    WireException error(String problem) {
        return new WireException("line " + lineNumber + ": " + problem);
    }

    /** Whether the bytes are the text, which is ASCII. */
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

    /**
     * The text of the bytes, interned unless it has characters other than ASCII: for those the hash of the bytes
     * differs from that of the text, which {@link #growTexts} uses.
     */
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
        String decoded = text(from, to);
        if (decoded.length() == to - from && textCount < MAX_TEXTS) {
            texts[slot] = decoded;
            if (++textCount * 2 > texts.length) {
                growTexts();
            }
        }
        return decoded;
    }

    private void growTexts() {
        String[] old = texts;
        texts = new String[old.length * 2];
        for (String text : old) {
            if (text != null) {
                int hash = text.hashCode();
                int slot = (hash ^ hash >>> 15) & texts.length - 1;
                while (texts[slot] != null) {
                    slot = slot + 1 & texts.length - 1;
                }
                texts[slot] = text;
            }
        }
    }
}
