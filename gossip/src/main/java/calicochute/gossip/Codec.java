package calicochute.gossip;

import calicochute.gossip.Part.Ack;
import calicochute.gossip.Part.AckFor;
import calicochute.gossip.Part.AskPing;
import calicochute.gossip.Part.Digest;
import calicochute.gossip.Part.Direct;
import calicochute.gossip.Part.Ping;
import calicochute.gossip.Part.Pull;
import calicochute.gossip.Part.Rumour;
import calicochute.gossip.Part.Spread;
import calicochute.gossip.Part.View;
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
 * Writes headers and parts. A datagram is a sequence of CBOR arrays (RFC 8742): the header [first number, version,
 * cluster, sender, start, incarnation], then parts [kind, fields...]; the last four bytes are their CRC-32C, since one
 * changed byte in a start would shut a member out until it restarts. A part is written once and goes into any number of
 * datagrams.
 */
final class Codec {
    static final int OURS = 0xCA1C;
    static final int VERSION = 1;
    static final int CHECKSUM = 4; // bytes
    static final int PING = 0,
            ACK = 1,
            ASK_PING = 2,
            ACK_FOR = 3,
            RUMOUR = 4,
            DIRECT = 5,
            SPREAD = 6,
            DIGEST = 7,
            PULL = 8,
            VIEW = 9;

    private interface Fields {
        void write(CBORGenerator to) throws IOException;
    }

    private final CBORFactory factory = new CBORFactory();
    private final String me;
    private final long start;
    private final int cluster;

    Codec(String cluster, String me, long start) {
        this.cluster = clusterHash(cluster);
        this.me = me;
        this.start = start;
    }

    /** The bytes with their checksum. */
    static byte[] sealed(ByteArrayOutputStream bytes) {
        byte[] content = bytes.toByteArray();
        return ByteBuffer.allocate(content.length + CHECKSUM)
                .put(content)
                .putInt(checksum(content, content.length))
                .array();
    }

    static int checksum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    static int clusterHash(String cluster) {
        byte[] name = cluster.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(name, 0, name.length, 0);
    }

    byte[] header(int incarnation) {
        return array(6, to -> {
            to.writeNumber(OURS);
            to.writeNumber(VERSION);
            to.writeNumber(cluster);
            to.writeString(me);
            to.writeNumber(start);
            to.writeNumber(incarnation);
        });
    }

    byte[] part(Part part) {
        if (part instanceof Ping ping) {
            return numbered(PING, ping.number(), null);
        }
        if (part instanceof Ack ack) {
            return numbered(ACK, ack.number(), null);
        }
        if (part instanceof AskPing ask) {
            return numbered(ASK_PING, ask.number(), ask.target());
        }
        if (part instanceof AckFor ack) {
            return numbered(ACK_FOR, ack.number(), ack.target());
        }
        if (part instanceof Rumour rumour) {
            return array(5, to -> {
                to.writeNumber(RUMOUR);
                to.writeString(rumour.id());
                to.writeNumber(rumour.start());
                to.writeNumber(rumour.incarnation());
                to.writeNumber(rumour.state().ordinal());
            });
        }
        if (part instanceof Direct direct) {
            return array(3, to -> {
                to.writeNumber(DIRECT);
                to.writeNumber(direct.channel());
                to.writeBinary(direct.body());
            });
        }
        if (part instanceof Spread spread) {
            return array(8, to -> write(spread, to));
        }
        if (part instanceof Digest digest) {
            return array(5, to -> {
                to.writeNumber(DIGEST);
                to.writeNumber(digest.low());
                to.writeNumber(digest.high());
                to.writeNumber(digest.members());
                to.writeBinary(digest.marks());
            });
        }
        if (part instanceof View view) {
            return array(5, to -> {
                to.writeNumber(VIEW);
                to.writeNumber(view.list());
                to.writeNumber(view.salt());
                to.writeNumber(view.answer() ? 1 : 0);
                to.writeBinary(view.marks());
            });
        }
        Pull pull = (Pull) part;
        return array(2, to -> {
            to.writeNumber(PULL);
            to.writeBinary(pull.hashes());
        });
    }

    private static void write(Spread spread, CBORGenerator to) throws IOException {
        to.writeNumber(SPREAD);
        to.writeString(spread.author() == null ? "" : spread.author());
        to.writeNumber(spread.author() == null ? 0 : spread.authorStart());
        to.writeNumber(spread.channel());
        to.writeString(spread.key());
        to.writeNumber(spread.version());
        to.writeNumber(spread.until());
        to.writeBinary(spread.body());
    }

    private byte[] numbered(int kind, int number, String target) {
        return array(target == null ? 2 : 3, to -> {
            to.writeNumber(kind);
            to.writeNumber(number);
            if (target != null) {
                to.writeString(target);
            }
        });
    }

    private byte[] array(int fields, Fields write) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (CBORGenerator to = factory.createGenerator(bytes)) {
            to.writeStartArray(null, fields);
            write.write(to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // into memory: can't be
        }
        return bytes.toByteArray();
    }
}
