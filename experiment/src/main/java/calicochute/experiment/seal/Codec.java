package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Messages and kept state as bytes. All numbers big endian; a header tells version, kind, experiment, definition and
 * list of peers.
 */
final class Codec {
    static final int MOST_VALUE = 900;
    static final int MOST_BYTES = 1_100;
    private static final byte VERSION = 1;
    private static final int STATE = 100;
    private static final int HEADER = 26;
    private static final long MOST = 1L << 62;
    private final long name;
    private final long definition;
    private final long peersHash;
    private final int peers;

    Codec(String name, long definition, List<String> peers) {
        this.name = hash(name);
        this.definition = definition;
        this.peersHash = hash(String.join("\n", peers));
        this.peers = peers.size();
    }

    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    byte[] write(Message message) {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        if (message instanceof Ask m) {
            header(out, 1).putLong(m.life());
        } else if (message instanceof Answer m) {
            header(out, 2).putLong(m.toLife()).putLong(m.life()).put(bit(m.voter()));
            put(put(out, m.seen()).putLong(m.mark()), m.place());
        } else if (message instanceof Form m) {
            put(put(header(out, 3), m.epoch()).putLong(m.toLife()), m.base());
        } else if (message instanceof Commit m) {
            put(header(out, 4), m.epoch()).put(bit(m.voter()));
        } else if (message instanceof Prepare m) {
            put(put(header(out, 5), m.place()), m.ballot());
        } else if (message instanceof Promise m) {
            put(put(put(put(header(out, 6), m.place()), m.ballot()), m.accepted()), m.value());
        } else if (message instanceof Accept m) {
            put(put(put(header(out, 7), m.place()), m.ballot()), m.value());
        } else if (message instanceof Accepted m) {
            put(put(header(out, 8), m.place()), m.ballot());
        } else if (message instanceof Refused m) {
            put(put(put(header(out, 9), m.place()), m.ballot()), m.promised());
        } else if (message instanceof Known m) {
            put(put(header(out, 10), m.place()), m.ballot());
        } else if (message instanceof Want m) {
            put(header(out, 11), m.place());
        } else if (message instanceof Value m) {
            put(put(header(out, 12), m.place()), m.value());
        }
        return taken(out);
    }

    Message read(byte[] bytes) throws Malformed {
        if (bytes.length > MOST_BYTES) {
            throw new Malformed(Refusal.TRAILING);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int kind = header(in);
        Message message = switch (kind) {
            case 1 -> new Ask(number(in));
            case 2 -> new Answer(number(in), number(in), flag(in), epoch(in), number(in), place(in));
            case 3 -> new Form(epoch(in), number(in), place(in));
            case 4 -> new Commit(epoch(in), flag(in));
            case 5 -> new Prepare(place(in), ballot(in));
            case 6 -> new Promise(place(in), ballot(in), ballot(in), value(in));
            case 7 -> new Accept(place(in), ballot(in), value(in));
            case 8 -> new Accepted(place(in), ballot(in));
            case 9 -> new Refused(place(in), ballot(in), ballot(in));
            case 10 -> new Known(place(in), ballot(in));
            case 11 -> new Want(place(in));
            case 12 -> new Value(place(in), value(in));
            default -> throw new Malformed(Refusal.KIND);
        };
        if (in.hasRemaining()) {
            throw new Malformed(Refusal.TRAILING);
        }
        return message;
    }

    byte[] write(Memory m) {
        ByteBuffer out = header(ByteBuffer.allocate(2 * MOST_BYTES), STATE);
        put(put(put(out, m.seen()).put(bit(m.voter())), m.place()), m.value());
        put(put(put(out, m.promised()), m.accepted()), m.acceptedValue());
        return taken(out.putInt(checksum(out.array(), out.position())));
    }

    Memory memory(byte[] bytes) throws Malformed {
        if (bytes.length < HEADER + 4) {
            throw new Malformed(Refusal.SHORT);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.getInt(bytes.length - 4) != checksum(bytes, bytes.length - 4)) {
            throw new Malformed(Refusal.CHECKSUM);
        }
        in.limit(bytes.length - 4);
        if (header(in) != STATE) {
            throw new Malformed(Refusal.KIND);
        }
        Memory memory = new Memory(epoch(in), flag(in), place(in), value(in), ballot(in), ballot(in), value(in));
        if (in.hasRemaining()) {
            throw new Malformed(Refusal.TRAILING);
        }
        if (!memory.sound()) {
            throw new Malformed(Refusal.BOUNDS);
        }
        return memory;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private ByteBuffer header(ByteBuffer out, int kind) {
        return out.put(VERSION)
                .put((byte) kind)
                .putLong(name)
                .putLong(definition)
                .putLong(peersHash);
    }

    private int header(ByteBuffer in) throws Malformed {
        if (in.remaining() < HEADER) {
            throw new Malformed(Refusal.SHORT);
        }
        if (in.get() != VERSION) {
            throw new Malformed(Refusal.VERSION);
        }
        int kind = in.get();
        if (in.getLong() != name) {
            throw new Malformed(Refusal.EXPERIMENT);
        }
        if (in.getLong() != definition) {
            throw new Malformed(Refusal.DEFINITION);
        }
        if (in.getLong() != peersHash) {
            throw new Malformed(Refusal.PEERS);
        }
        return kind;
    }

    private static byte bit(boolean flag) {
        return (byte) (flag ? 1 : 0);
    }

    private static ByteBuffer put(ByteBuffer out, Epoch e) {
        return out.putLong(e.number()).putShort((short) e.index()).putLong(e.life());
    }

    private static ByteBuffer put(ByteBuffer out, Place p) {
        return put(out, p.epoch()).putLong(p.slot());
    }

    private static ByteBuffer put(ByteBuffer out, Ballot b) {
        return out.putInt(b.round()).putShort((short) b.index()).putLong(b.life());
    }

    private static ByteBuffer put(ByteBuffer out, byte[] value) {
        return out.putShort((short) value.length).put(value);
    }

    private static byte[] taken(ByteBuffer out) {
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    private static void need(ByteBuffer in, int bytes) throws Malformed {
        if (in.remaining() < bytes) {
            throw new Malformed(Refusal.SHORT);
        }
    }

    private static long number(ByteBuffer in) throws Malformed {
        need(in, 8);
        long number = in.getLong();
        if (number < 0 || number > MOST) {
            throw new Malformed(Refusal.BOUNDS);
        }
        return number;
    }

    private static boolean flag(ByteBuffer in) throws Malformed {
        need(in, 1);
        byte flag = in.get();
        if (flag < 0 || flag > 1) {
            throw new Malformed(Refusal.BOUNDS);
        }
        return flag == 1;
    }

    private int index(ByteBuffer in) throws Malformed {
        need(in, 2);
        int index = in.getShort();
        if (index < 0 || index >= peers) {
            throw new Malformed(Refusal.BOUNDS);
        }
        return index;
    }

    private Epoch epoch(ByteBuffer in) throws Malformed {
        return new Epoch(number(in), index(in), number(in));
    }

    private Place place(ByteBuffer in) throws Malformed {
        return new Place(epoch(in), number(in));
    }

    private Ballot ballot(ByteBuffer in) throws Malformed {
        need(in, Ballot.BYTES);
        int round = in.getInt();
        if (round < 0 || round > Ballot.MOST_ROUNDS) {
            throw new Malformed(Refusal.BOUNDS);
        }
        return new Ballot(round, index(in), number(in));
    }

    private static byte[] value(ByteBuffer in) throws Malformed {
        need(in, 2);
        int length = in.getShort();
        if (length < 0 || length > MOST_VALUE) {
            throw new Malformed(Refusal.BOUNDS);
        }
        need(in, length);
        byte[] value = new byte[length];
        in.get(value);
        return value;
    }
}
