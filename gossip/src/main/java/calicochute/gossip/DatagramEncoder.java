package calicochute.gossip;

import calicochute.gossip.Message.Ack;
import calicochute.gossip.Message.Digest;
import calicochute.gossip.Message.DirectMessage;
import calicochute.gossip.Message.EntryMessage;
import calicochute.gossip.Message.IndirectAck;
import calicochute.gossip.Message.MembershipDigest;
import calicochute.gossip.Message.MembershipUpdate;
import calicochute.gossip.Message.Ping;
import calicochute.gossip.Message.PingRequest;
import calicochute.gossip.Message.Pull;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Encodes headers and messages. A datagram is a sequence of CBOR arrays (RFC 8742): the header [magic number, version,
 * cluster hash, sender, start, incarnation], then messages [kind, fields...]. The last four bytes are the CRC-32C of
 * all before them, since one changed byte in a start would exclude a member until it restarts. A message is encoded
 * once and may be sent in any number of datagrams.
 */
final class DatagramEncoder {
    static final int MAGIC = 0xCA1C;
    static final int VERSION = 1;
    static final int CHECKSUM_BYTES = 4;

    /** Message kinds. */
    static final int PING = 0;

    static final int ACK = 1;
    static final int PING_REQUEST = 2;
    static final int INDIRECT_ACK = 3;
    static final int MEMBERSHIP_UPDATE = 4;
    static final int DIRECT_MESSAGE = 5;
    static final int ENTRY = 6;
    static final int DIGEST = 7;
    static final int PULL = 8;
    static final int MEMBERSHIP_DIGEST = 9;

    private interface FieldWriter {
        void write(CBORGenerator generator) throws IOException;
    }

    private final CBORFactory factory = new CBORFactory();
    private final String localId;
    private final long localStart;
    private final int clusterHash;

    DatagramEncoder(String cluster, String localId, long localStart) {
        this.clusterHash = clusterHash(cluster);
        this.localId = localId;
        this.localStart = localStart;
    }

    /** Completes a datagram by the checksum of its content. */
    static byte[] withChecksum(ByteArrayOutputStream bytes) {
        byte[] content = bytes.toByteArray();
        return ByteBuffer.allocate(content.length + CHECKSUM_BYTES)
                .put(content)
                .putInt(checksum(content, content.length))
                .array();
    }

    static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    static int clusterHash(String cluster) {
        byte[] name = cluster.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(name, 0, name.length, 0);
    }

    byte[] header(int incarnation) {
        return encodeArray(6, generator -> {
            generator.writeNumber(MAGIC);
            generator.writeNumber(VERSION);
            generator.writeNumber(clusterHash);
            generator.writeString(localId);
            generator.writeNumber(localStart);
            generator.writeNumber(incarnation);
        });
    }

    byte[] encode(Message message) {
        if (message instanceof Ping ping) {
            return encodeNumbered(PING, ping.sequence(), null);
        }
        if (message instanceof Ack ack) {
            return encodeNumbered(ACK, ack.sequence(), null);
        }
        if (message instanceof PingRequest request) {
            return encodeNumbered(PING_REQUEST, request.sequence(), request.target());
        }
        if (message instanceof IndirectAck ack) {
            return encodeNumbered(INDIRECT_ACK, ack.sequence(), ack.target());
        }
        if (message instanceof MembershipUpdate update) {
            return encodeArray(5, generator -> {
                generator.writeNumber(MEMBERSHIP_UPDATE);
                generator.writeString(update.id());
                generator.writeNumber(update.start());
                generator.writeNumber(update.incarnation());
                generator.writeNumber(update.state().ordinal());
            });
        }
        if (message instanceof DirectMessage direct) {
            return encodeArray(3, generator -> {
                generator.writeNumber(DIRECT_MESSAGE);
                generator.writeNumber(direct.channel());
                generator.writeBinary(direct.body());
            });
        }
        if (message instanceof EntryMessage entry) {
            return encodeArray(8, generator -> writeEntry(entry, generator));
        }
        if (message instanceof Digest digest) {
            return encodeArray(5, generator -> {
                generator.writeNumber(DIGEST);
                generator.writeNumber(digest.lowHash());
                generator.writeNumber(digest.highHash());
                generator.writeNumber(digest.membershipHash());
                generator.writeBinary(digest.summaries());
            });
        }
        if (message instanceof MembershipDigest digest) {
            return encodeArray(5, generator -> {
                generator.writeNumber(MEMBERSHIP_DIGEST);
                generator.writeNumber(digest.listHash());
                generator.writeNumber(digest.salt());
                generator.writeNumber(digest.replyRequested() ? 1 : 0);
                generator.writeBinary(digest.fingerprints());
            });
        }
        Pull pull = (Pull) message;
        return encodeArray(2, generator -> {
            generator.writeNumber(PULL);
            generator.writeBinary(pull.hashes());
        });
    }

    private static void writeEntry(EntryMessage entry, CBORGenerator generator) throws IOException {
        generator.writeNumber(ENTRY);
        generator.writeString(entry.author() == null ? "" : entry.author());
        generator.writeNumber(entry.author() == null ? 0 : entry.authorStart());
        generator.writeNumber(entry.channel());
        generator.writeString(entry.key());
        generator.writeNumber(entry.version());
        generator.writeNumber(entry.expiresAt());
        generator.writeBinary(entry.body());
    }

    private byte[] encodeNumbered(int kind, int sequence, String target) {
        return encodeArray(target == null ? 2 : 3, generator -> {
            generator.writeNumber(kind);
            generator.writeNumber(sequence);
            if (target != null) {
                generator.writeString(target);
            }
        });
    }

    private byte[] encodeArray(int fieldCount, FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (CBORGenerator generator = factory.createGenerator(bytes)) {
            generator.writeStartArray(null, fieldCount);
            fields.write(generator);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen when writing to memory
        }
        return bytes.toByteArray();
    }
}
