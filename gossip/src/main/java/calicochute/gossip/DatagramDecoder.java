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
 * Decodes datagrams. A datagram is accepted as a whole or rejected as a whole. Memory is limited to a small multiple of
 * the datagram's size, whatever lengths its content claims.
 */
final class DatagramDecoder {
    /** A datagram could not be decoded. */
    static final class DecodeException extends Exception {
        private static final long serialVersionUID = 1;
        final DropCause cause;

        DecodeException(DropCause cause) {
            super(cause.name(), null, false, false);
            this.cause = cause;
        }
    }

    static final int MAX_INCARNATION = 1 << 30;
    /** First byte of a CBOR integer of 16 bits. */
    private static final int CBOR_UINT16 = 0x19;

    private static final MemberState[] STATES = MemberState.values();
    private final CBORFactory factory;
    private final int clusterHash;

    DatagramDecoder(String cluster) {
        this.clusterHash = DatagramEncoder.clusterHash(cluster);
        StreamReadConstraints constraints = StreamReadConstraints.builder()
                .maxNestingDepth(8)
                .maxStringLength(Limits.MAX_DATAGRAM_BYTES)
                .maxNameLength(Limits.MAX_DATAGRAM_BYTES)
                .maxNumberLength(64)
                .build();
        factory = CBORFactory.builder().streamReadConstraints(constraints).build();
    }

    DecodedDatagram decode(byte[] datagram) throws DecodeException {
        if (datagram.length > Limits.MAX_DATAGRAM_BYTES) {
            throw new DecodeException(DropCause.TOO_LONG);
        }
        int length = datagram.length - DatagramEncoder.CHECKSUM_BYTES;
        if (length < 4
                || datagram[1] != CBOR_UINT16
                || datagram[2] != (byte) (DatagramEncoder.MAGIC >>> 8)
                || datagram[3] != (byte) DatagramEncoder.MAGIC) {
            throw new DecodeException(DropCause.NOT_OURS);
        }
        if (ByteBuffer.wrap(datagram).getInt(length) != DatagramEncoder.checksum(datagram, length)) {
            throw new DecodeException(DropCause.CHECKSUM);
        }
        try (CBORParser parser = factory.createParser(datagram, 0, length)) {
            return readDatagram(parser);
        } catch (IOException | RuntimeException e) { // Jackson's parser throws both on malformed CBOR
            throw new DecodeException(DropCause.MALFORMED);
        }
    }

    private DecodedDatagram readDatagram(CBORParser parser) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.START_ARRAY
                || parser.nextToken() != JsonToken.VALUE_NUMBER_INT
                || parser.getLongValue() != DatagramEncoder.MAGIC) {
            throw new DecodeException(DropCause.NOT_OURS);
        }
        if (readLong(parser) != DatagramEncoder.VERSION) {
            throw new DecodeException(DropCause.VERSION);
        }
        if (readLong(parser) != clusterHash) {
            throw new DecodeException(DropCause.CLUSTER);
        }
        String sender = readText(parser, ClusterConfig.MAX_ID_BYTES);
        long senderStart = readLong(parser);
        int incarnation = readInt(parser, MAX_INCARNATION);
        skipRemainingFields(parser);
        if (sender.isEmpty() || senderStart <= 0) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        List<Message> messages = new ArrayList<>();
        int unknownMessages = 0;
        while (parser.nextToken() != null) {
            if (parser.currentToken() != JsonToken.START_ARRAY) {
                throw new DecodeException(DropCause.MALFORMED);
            }
            Message message = readMessage(parser);
            skipRemainingFields(parser);
            if (message == null) {
                unknownMessages++;
            } else {
                messages.add(message);
            }
        }
        return new DecodedDatagram(sender, senderStart, incarnation, messages, unknownMessages);
    }

    /** The message, or null if its kind is unknown. */
    private static Message readMessage(CBORParser parser) throws IOException, DecodeException {
        int kind = readInt(parser, 255);
        return switch (kind) {
            case DatagramEncoder.PING -> new Message.Ping(readInt(parser, Integer.MAX_VALUE));
            case DatagramEncoder.ACK -> new Message.Ack(readInt(parser, Integer.MAX_VALUE));
            case DatagramEncoder.PING_REQUEST ->
                new Message.PingRequest(
                        readInt(parser, Integer.MAX_VALUE), readText(parser, ClusterConfig.MAX_ID_BYTES));
            case DatagramEncoder.INDIRECT_ACK ->
                new Message.IndirectAck(
                        readInt(parser, Integer.MAX_VALUE), readText(parser, ClusterConfig.MAX_ID_BYTES));
            case DatagramEncoder.MEMBERSHIP_UPDATE -> readMembershipUpdate(parser);
            case DatagramEncoder.DIRECT_MESSAGE -> new Message.DirectMessage(readInt(parser, 255), readBytes(parser));
            case DatagramEncoder.ENTRY -> readEntry(parser);
            case DatagramEncoder.DIGEST ->
                new Message.Digest(readLong(parser), readLong(parser), (int) readLong(parser), readBytes(parser));
            case DatagramEncoder.PULL -> new Message.Pull(readBytes(parser));
            case DatagramEncoder.MEMBERSHIP_DIGEST ->
                new Message.MembershipDigest(
                        (int) readLong(parser), readInt(parser, 255), readInt(parser, 1) == 1, readBytes(parser));
            default -> null;
        };
    }

    private static Message readMembershipUpdate(CBORParser parser) throws IOException, DecodeException {
        String id = readText(parser, ClusterConfig.MAX_ID_BYTES);
        long start = readLong(parser);
        int incarnation = readInt(parser, MAX_INCARNATION);
        MemberState state = STATES[readInt(parser, STATES.length - 1)];
        if (start <= 0) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        return new Message.MembershipUpdate(id, start, incarnation, state);
    }

    private static Message readEntry(CBORParser parser) throws IOException, DecodeException {
        String author = readText(parser, ClusterConfig.MAX_ID_BYTES);
        long authorStart = readLong(parser);
        int channel = readInt(parser, 255);
        String key = readText(parser, Limits.MAX_KEY_BYTES);
        long version = readLong(parser);
        long expiresAt = readLong(parser);
        byte[] body = readBytes(parser);
        if (authorStart < 0 || !author.isEmpty() && authorStart == 0) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        return new Message.EntryMessage(
                author.isEmpty() ? null : author, authorStart, channel, key, version, expiresAt, body);
    }

    private static long readLong(CBORParser parser) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        return parser.getLongValue(); // throws if the value does not fit into a long
    }

    private static int readInt(CBORParser parser, int max) throws IOException, DecodeException {
        long value = readLong(parser);
        if (value < 0 || value > max) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        return (int) value;
    }

    private static String readText(CBORParser parser, int maxBytes) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.VALUE_STRING) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        String text = parser.getText();
        if (text.length() > maxBytes || text.getBytes(StandardCharsets.UTF_8).length > maxBytes) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        return text;
    }

    /**
     * Reads bytes into a stream that grows with the data present. Allocating an array of the claimed length would let
     * the sender decide how much memory is used.
     */
    private static byte[] readBytes(CBORParser parser) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new DecodeException(DropCause.MALFORMED);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        parser.readBinaryValue(bytes);
        return bytes.toByteArray();
    }

    /** Skips fields that a later version may have added. */
    private static void skipRemainingFields(CBORParser parser) throws IOException, DecodeException {
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new DecodeException(DropCause.MALFORMED);
            }
            parser.skipChildren();
            token = parser.nextToken();
        }
    }
}
