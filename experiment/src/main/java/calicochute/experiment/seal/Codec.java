package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.Accept;
import calicochute.experiment.seal.Message.Accepted;
import calicochute.experiment.seal.Message.DecidedNotice;
import calicochute.experiment.seal.Message.DecidedValue;
import calicochute.experiment.seal.Message.EpochCommit;
import calicochute.experiment.seal.Message.EpochProposal;
import calicochute.experiment.seal.Message.Prepare;
import calicochute.experiment.seal.Message.Promise;
import calicochute.experiment.seal.Message.Rejected;
import calicochute.experiment.seal.Message.StatusReply;
import calicochute.experiment.seal.Message.StatusRequest;
import calicochute.experiment.seal.Message.ValueRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Serializes messages and the persisted state. All numbers are big-endian. A header holds the version, the kind and
 * hashes of the experiment's name, its definition and the list of peers.
 */
final class Codec {
    /** Largest size of a value in bytes. */
    static final int MAX_VALUE_BYTES = 900;
    /** Largest size of a serialized message in bytes. */
    static final int MAX_MESSAGE_BYTES = 1_100;
    /** Version of the serialized form. */
    private static final byte VERSION = 1;
    /** Kind of the persisted state; messages have the kinds 1 to 12. */
    private static final int STATE_KIND = 100;
    /** Size of the header in bytes. */
    private static final int HEADER_BYTES = 26;
    /** Largest valid number. */
    private static final long MAX_NUMBER = 1L << 62;

    private final long nameHash;
    private final long definition;
    private final long peerListHash;
    private final int peerCount;

    Codec(String name, long definition, List<String> peers) {
        this.nameHash = hash(name);
        this.definition = definition;
        this.peerListHash = hash(String.join("\n", peers));
        this.peerCount = peers.size();
    }

    private static long hash(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    byte[] write(Message message) {
        ByteBuffer output = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        if (message instanceof StatusRequest typed) {
            header(output, 1).putLong(typed.incarnation());
        } else if (message instanceof StatusReply typed) {
            header(output, 2)
                    .putLong(typed.toIncarnation())
                    .putLong(typed.incarnation())
                    .put(flagByte(typed.canVote()));
            put(put(output, typed.newestEpoch()).putLong(typed.highWaterMark()), typed.decidedSlot());
        } else if (message instanceof EpochProposal typed) {
            put(put(header(output, 3), typed.epoch()).putLong(typed.toIncarnation()), typed.baseSlot());
        } else if (message instanceof EpochCommit typed) {
            put(header(output, 4), typed.epoch()).put(flagByte(typed.canVote()));
        } else if (message instanceof Prepare typed) {
            put(put(header(output, 5), typed.slotId()), typed.ballot());
        } else if (message instanceof Promise typed) {
            put(
                    put(put(put(header(output, 6), typed.slotId()), typed.ballot()), typed.acceptedBallot()),
                    typed.acceptedValue());
        } else if (message instanceof Accept typed) {
            put(put(put(header(output, 7), typed.slotId()), typed.ballot()), typed.value());
        } else if (message instanceof Accepted typed) {
            put(put(header(output, 8), typed.slotId()), typed.ballot());
        } else if (message instanceof Rejected typed) {
            put(put(put(header(output, 9), typed.slotId()), typed.ballot()), typed.promisedBallot());
        } else if (message instanceof DecidedNotice typed) {
            put(put(header(output, 10), typed.slotId()), typed.ballot());
        } else if (message instanceof ValueRequest typed) {
            put(header(output, 11), typed.decidedSlot());
        } else if (message instanceof DecidedValue typed) {
            put(put(header(output, 12), typed.slotId()), typed.value());
        }
        return toBytes(output);
    }

    Message read(byte[] bytes) throws MalformedException {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            throw new MalformedException(RejectReason.TRAILING_BYTES);
        }
        ByteBuffer input = ByteBuffer.wrap(bytes);
        int kind = header(input);
        Message message = switch (kind) {
            case 1 -> new StatusRequest(readNumber(input));
            case 2 ->
                new StatusReply(
                        readNumber(input),
                        readNumber(input),
                        readFlag(input),
                        readEpoch(input),
                        readNumber(input),
                        readSlotId(input));
            case 3 -> new EpochProposal(readEpoch(input), readNumber(input), readSlotId(input));
            case 4 -> new EpochCommit(readEpoch(input), readFlag(input));
            case 5 -> new Prepare(readSlotId(input), readBallot(input));
            case 6 -> new Promise(readSlotId(input), readBallot(input), readBallot(input), readValue(input));
            case 7 -> new Accept(readSlotId(input), readBallot(input), readValue(input));
            case 8 -> new Accepted(readSlotId(input), readBallot(input));
            case 9 -> new Rejected(readSlotId(input), readBallot(input), readBallot(input));
            case 10 -> new DecidedNotice(readSlotId(input), readBallot(input));
            case 11 -> new ValueRequest(readSlotId(input));
            case 12 -> new DecidedValue(readSlotId(input), readValue(input));
            default -> throw new MalformedException(RejectReason.UNKNOWN_KIND);
        };
        if (input.hasRemaining()) {
            throw new MalformedException(RejectReason.TRAILING_BYTES);
        }
        return message;
    }

    /** Serializes the persisted state, with a checksum at the end. */
    byte[] write(AcceptorState state) {
        ByteBuffer output = header(ByteBuffer.allocate(2 * MAX_MESSAGE_BYTES), STATE_KIND);
        put(
                put(put(output, state.newestEpoch()).put(flagByte(state.canVote())), state.decidedSlot()),
                state.decidedValue());
        put(put(put(output, state.promisedBallot()), state.acceptedBallot()), state.acceptedValue());
        return toBytes(output.putInt(checksum(output.array(), output.position())));
    }

    /** Parses and validates a persisted state. */
    AcceptorState readState(byte[] bytes) throws MalformedException {
        if (bytes.length < HEADER_BYTES + 4) {
            throw new MalformedException(RejectReason.TRUNCATED);
        }
        ByteBuffer input = ByteBuffer.wrap(bytes);
        if (input.getInt(bytes.length - 4) != checksum(bytes, bytes.length - 4)) {
            throw new MalformedException(RejectReason.CHECKSUM);
        }
        input.limit(bytes.length - 4);
        if (header(input) != STATE_KIND) {
            throw new MalformedException(RejectReason.UNKNOWN_KIND);
        }
        AcceptorState state = new AcceptorState(
                readEpoch(input),
                readFlag(input),
                readSlotId(input),
                readValue(input),
                readBallot(input),
                readBallot(input),
                readValue(input));
        if (input.hasRemaining()) {
            throw new MalformedException(RejectReason.TRAILING_BYTES);
        }
        if (!state.isConsistent()) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        return state;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private ByteBuffer header(ByteBuffer output, int kind) {
        return output.put(VERSION)
                .put((byte) kind)
                .putLong(nameHash)
                .putLong(definition)
                .putLong(peerListHash);
    }

    private int header(ByteBuffer input) throws MalformedException {
        if (input.remaining() < HEADER_BYTES) {
            throw new MalformedException(RejectReason.TRUNCATED);
        }
        if (input.get() != VERSION) {
            throw new MalformedException(RejectReason.VERSION);
        }
        int kind = input.get();
        if (input.getLong() != nameHash) {
            throw new MalformedException(RejectReason.EXPERIMENT);
        }
        if (input.getLong() != definition) {
            throw new MalformedException(RejectReason.DEFINITION);
        }
        if (input.getLong() != peerListHash) {
            throw new MalformedException(RejectReason.PEERS);
        }
        return kind;
    }

    private static byte flagByte(boolean flag) {
        return (byte) (flag ? 1 : 0);
    }

    private static ByteBuffer put(ByteBuffer output, Epoch epoch) {
        return output.putLong(epoch.number())
                .putShort((short) epoch.creatorIndex())
                .putLong(epoch.incarnation());
    }

    private static ByteBuffer put(ByteBuffer output, SlotId slotId) {
        return put(output, slotId.epoch()).putLong(slotId.slot());
    }

    private static ByteBuffer put(ByteBuffer output, Ballot ballot) {
        return output.putInt(ballot.round())
                .putShort((short) ballot.proposerIndex())
                .putLong(ballot.incarnation());
    }

    private static ByteBuffer put(ByteBuffer output, byte[] value) {
        return output.putShort((short) value.length).put(value);
    }

    private static byte[] toBytes(ByteBuffer output) {
        byte[] bytes = new byte[output.position()];
        output.flip().get(bytes);
        return bytes;
    }

    private static void requireBytes(ByteBuffer input, int bytes) throws MalformedException {
        if (input.remaining() < bytes) {
            throw new MalformedException(RejectReason.TRUNCATED);
        }
    }

    private static long readNumber(ByteBuffer input) throws MalformedException {
        requireBytes(input, 8);
        long number = input.getLong();
        if (number < 0 || number > MAX_NUMBER) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        return number;
    }

    private static boolean readFlag(ByteBuffer input) throws MalformedException {
        requireBytes(input, 1);
        byte flag = input.get();
        if (flag < 0 || flag > 1) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        return flag == 1;
    }

    private int readPeerIndex(ByteBuffer input) throws MalformedException {
        requireBytes(input, 2);
        int index = input.getShort();
        if (index < 0 || index >= peerCount) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        return index;
    }

    private Epoch readEpoch(ByteBuffer input) throws MalformedException {
        return new Epoch(readNumber(input), readPeerIndex(input), readNumber(input));
    }

    private SlotId readSlotId(ByteBuffer input) throws MalformedException {
        return new SlotId(readEpoch(input), readNumber(input));
    }

    private Ballot readBallot(ByteBuffer input) throws MalformedException {
        requireBytes(input, Ballot.BYTES);
        int round = input.getInt();
        if (round < 0 || round > Ballot.MAX_ROUNDS) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        return new Ballot(round, readPeerIndex(input), readNumber(input));
    }

    private static byte[] readValue(ByteBuffer input) throws MalformedException {
        requireBytes(input, 2);
        int length = input.getShort();
        if (length < 0 || length > MAX_VALUE_BYTES) {
            throw new MalformedException(RejectReason.OUT_OF_RANGE);
        }
        requireBytes(input, length);
        byte[] value = new byte[length];
        input.get(value);
        return value;
    }
}
