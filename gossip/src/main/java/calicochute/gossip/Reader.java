package calicochute.gossip;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads datagrams: whole or not at all, with no more memory than a small multiple of the 1,200 bytes whatever lengths
 * they claim.
 */
final class Reader {
    /** Why a datagram was not read. */
    static final class Unread extends Exception {
        private static final long serialVersionUID = 1;
        final Cause cause;

        Unread(Cause cause) {
            super(cause.name(), null, false, false);
            this.cause = cause;
        }
    }

    static final int HIGHEST_INCARNATION = 1 << 30;
    private static final State[] STATES = State.values();
    private final CBORFactory factory;
    private final int cluster;

    Reader(String cluster) {
        this.cluster = Codec.clusterHash(cluster);
        StreamReadConstraints bounds = StreamReadConstraints.builder()
                .maxNestingDepth(8)
                .maxStringLength(Limits.DATAGRAM)
                .maxNameLength(Limits.DATAGRAM)
                .maxNumberLength(64)
                .build();
        factory = CBORFactory.builder().streamReadConstraints(bounds).build();
    }

    Envelope read(byte[] datagram) throws Unread {
        if (datagram.length > Limits.DATAGRAM) {
            throw new Unread(Cause.TOO_LONG);
        }
        int length = datagram.length - Codec.CHECKSUM;
        if (length < 4
                || datagram[1] != 0x19
                || datagram[2] != (byte) (Codec.OURS >>> 8)
                || datagram[3] != (byte) Codec.OURS) {
            throw new Unread(Cause.NOT_OURS);
        }
        if (ByteBuffer.wrap(datagram).getInt(length) != Codec.checksum(datagram, length)) {
            throw new Unread(Cause.CHECKSUM);
        }
        try (CBORParser from = factory.createParser(datagram, 0, length)) {
            return read(from);
        } catch (IOException | RuntimeException e) { // the library's parser throws both on bytes that are no CBOR
            throw new Unread(Cause.MALFORMED);
        }
    }

    private Envelope read(CBORParser from) throws IOException, Unread {
        if (from.nextToken() != JsonToken.START_ARRAY
                || from.nextToken() != JsonToken.VALUE_NUMBER_INT
                || from.getLongValue() != Codec.OURS) {
            throw new Unread(Cause.NOT_OURS);
        }
        if (whole(from) != Codec.VERSION) {
            throw new Unread(Cause.VERSION);
        }
        if (whole(from) != cluster) {
            throw new Unread(Cause.CLUSTER);
        }
        String sender = text(from, Group.LONGEST_ID);
        long start = whole(from);
        int incarnation = whole(from, HIGHEST_INCARNATION);
        rest(from);
        if (sender.isEmpty() || start <= 0) {
            throw new Unread(Cause.MALFORMED);
        }
        List<Part> parts = new ArrayList<>();
        int unknown = 0;
        while (from.nextToken() != null) {
            if (from.currentToken() != JsonToken.START_ARRAY) {
                throw new Unread(Cause.MALFORMED);
            }
            Part part = part(from);
            rest(from);
            if (part == null) {
                unknown++;
            } else {
                parts.add(part);
            }
        }
        return new Envelope(sender, start, incarnation, parts, unknown);
    }

    private static Part part(CBORParser from) throws IOException, Unread {
        int kind = whole(from, 255);
        return switch (kind) {
            case Codec.PING -> new Part.Ping(whole(from, Integer.MAX_VALUE));
            case Codec.ACK -> new Part.Ack(whole(from, Integer.MAX_VALUE));
            case Codec.ASK_PING -> new Part.AskPing(whole(from, Integer.MAX_VALUE), text(from, Group.LONGEST_ID));
            case Codec.ACK_FOR -> new Part.AckFor(whole(from, Integer.MAX_VALUE), text(from, Group.LONGEST_ID));
            case Codec.RUMOUR -> rumour(from);
            case Codec.DIRECT -> new Part.Direct(whole(from, 255), bytes(from));
            case Codec.SPREAD -> spread(from);
            case Codec.DIGEST -> new Part.Digest(whole(from), whole(from), (int) whole(from), bytes(from));
            case Codec.PULL -> new Part.Pull(bytes(from));
            case Codec.VIEW -> new Part.View((int) whole(from), whole(from, 255), whole(from, 1) == 1, bytes(from));
            default -> null;
        };
    }

    private static Part rumour(CBORParser from) throws IOException, Unread {
        String id = text(from, Group.LONGEST_ID);
        long start = whole(from);
        int incarnation = whole(from, HIGHEST_INCARNATION);
        State state = STATES[whole(from, STATES.length - 1)];
        if (start <= 0) {
            throw new Unread(Cause.MALFORMED);
        }
        return new Part.Rumour(id, start, incarnation, state);
    }

    private static Part spread(CBORParser from) throws IOException, Unread {
        String author = text(from, Group.LONGEST_ID);
        long start = whole(from);
        int channel = whole(from, 255);
        String key = text(from, Limits.KEY);
        long version = whole(from);
        long until = whole(from);
        byte[] body = bytes(from);
        if (start < 0 || !author.isEmpty() && start == 0) {
            throw new Unread(Cause.MALFORMED);
        }
        return new Part.Spread(author.isEmpty() ? null : author, start, channel, key, version, until, body);
    }

    private static long whole(CBORParser from) throws IOException, Unread {
        if (from.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new Unread(Cause.MALFORMED);
        }
        return from.getLongValue(); // throws where it is no long
    }

    private static int whole(CBORParser from, int highest) throws IOException, Unread {
        long value = whole(from);
        if (value < 0 || value > highest) {
            throw new Unread(Cause.MALFORMED);
        }
        return (int) value;
    }

    private static String text(CBORParser from, int longest) throws IOException, Unread {
        if (from.nextToken() != JsonToken.VALUE_STRING) {
            throw new Unread(Cause.MALFORMED);
        }
        String text = from.getText();
        if (text.length() > longest || text.getBytes(StandardCharsets.UTF_8).length > longest) {
            throw new Unread(Cause.MALFORMED);
        }
        return text;
    }

    /** Into a stream that grows with what is there: an array of the length claimed would be the sender's to choose. */
    private static byte[] bytes(CBORParser from) throws IOException, Unread {
        if (from.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new Unread(Cause.MALFORMED);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        from.readBinaryValue(bytes);
        return bytes.toByteArray();
    }

    /** Fields that a later version added are passed over. */
    private static void rest(CBORParser from) throws IOException, Unread {
        JsonToken token = from.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new Unread(Cause.MALFORMED);
            }
            from.skipChildren();
            token = from.nextToken();
        }
    }
}
