package calicochute.experiment.seal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Agreement and progress of the register under network faults, partitions and restarts with or without state. */
class RegisterTest {
    @Property(tries = 600, shrinking = ShrinkingMode.OFF, seed = "5")
    void agreesUnderFaultsAndRecovers(@ForAll @IntRange(min = 3, max = 9) int peerCount, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedFleet fleet = new SimulatedFleet(peerCount, random.nextLong());
        boolean withState = random.nextBoolean();
        boolean losesState = !withState || random.nextBoolean();
        for (int step = 0; step < 60; step++) {
            int peer = random.nextInt(peerCount);
            switch (random.nextInt(9)) {
                case 0 -> fleet.lossProbability = random.nextDouble(0.5);
                case 1 -> fleet.duplicateProbability = random.nextDouble(0.5);
                case 2 -> fleet.maxDelayMicros = 1 + random.nextLong(3_000 * SimulatedFleet.MICROS_PER_MILLI);
                case 3 -> fleet.partition[peer] = random.nextInt(2);
                case 4 -> fleet.stopped[peer] = !fleet.stopped[peer];
                case 5 -> fleet.restart(peer, withState && !(losesState && random.nextInt(3) == 0));
                case 6 -> fleet.orderedRanks = random.nextBoolean();
                case 7 -> Arrays.fill(fleet.partition, 0);
                default -> fleet.maxDelayMicros = 20 * SimulatedFleet.MICROS_PER_MILLI;
            }
            fleet.ticks(random.nextInt(12));
        }
        assertTrue(fleet.recovers(400), () -> "no recovery with " + peerCount + " peers and seed " + seed);
        for (Register node : fleet.nodes) {
            assertEquals(Map.of(), node.rejections());
        }
    }

    @Test
    void minorityPartitionDecidesNothing() {
        SimulatedFleet fleet = new SimulatedFleet(5, 1);
        assertTrue(fleet.recovers(100));
        fleet.partition[0] = fleet.partition[1] = 1;
        fleet.ticks(10);
        long minoritySlot = Math.max(fleet.nodes[0].slotNumber(), fleet.nodes[1].slotNumber());
        long majoritySlot = fleet.nodes[2].slotNumber();
        fleet.ticks(300);
        assertEquals(minoritySlot, Math.max(fleet.nodes[0].slotNumber(), fleet.nodes[1].slotNumber()));
        assertTrue(fleet.nodes[2].slotNumber() > majoritySlot + 10);
        assertTrue(fleet.recovers(50));
        assertEquals(List.of(), fleet.stateLosses);
    }

    @Test
    void rollingRestartWithoutStateKeepsTheEpoch() {
        SimulatedFleet fleet = new SimulatedFleet(30, 2);
        assertTrue(fleet.recovers(200));
        SlotId first = fleet.newest();
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = 0; i < 3; i++) {
                fleet.restart(3 * tenth + i, false);
            }
            fleet.ticks(100);
        }
        assertTrue(fleet.recovers(100));
        assertEquals(first.epoch(), fleet.newest().epoch());
        assertEquals(List.of(), fleet.stateLosses);
    }

    @Test
    void fullRestartWithoutStateBeginsAnEmptyEpoch() {
        SimulatedFleet fleet = new SimulatedFleet(5, 3);
        assertTrue(fleet.recovers(100));
        fleet.ticks(100);
        SlotId old = fleet.newest();
        for (int i = 0; i < 5; i++) {
            fleet.restart(i, false);
        }
        fleet.ticks(100);
        assertTrue(fleet.newest().epoch().compareTo(old.epoch()) > 0);
        assertTrue(fleet.recovers(100));
        assertEquals(List.of(), fleet.stateLosses, "no peer is left that knows the old epoch");
    }

    @Test
    void majorityRestartWithoutStateContinuesFromNewestKnownSlot() {
        SimulatedFleet fleet = new SimulatedFleet(3, 4);
        assertTrue(fleet.recovers(100));
        fleet.ticks(20);
        SlotId old = fleet.newest();
        fleet.restart(0, false);
        fleet.restart(1, false);
        assertTrue(fleet.recovers(150));
        fleet.ticks(10);
        assertTrue(fleet.newest().epoch().compareTo(old.epoch()) > 0
                && fleet.newest().slot() > old.slot());
        assertEquals(
                1,
                fleet.stateLosses.stream()
                        .map(b -> b.baseSlot().epoch())
                        .distinct()
                        .count());
        assertTrue(fleet.stateLosses.get(0).baseSlot().slot() >= old.slot());
    }

    @Test
    void fullRestartWithStateKeepsTheEpoch() {
        SimulatedFleet fleet = new SimulatedFleet(4, 5);
        for (int i = 0; i < 4; i++) {
            fleet.restart(i, true);
        }
        assertTrue(fleet.recovers(100));
        SlotId old = fleet.newest();
        for (int i = 0; i < 4; i++) {
            fleet.restart(i, true);
        }
        assertEquals(4, Arrays.stream(fleet.nodes).filter(Register::canVote).count());
        assertTrue(fleet.recovers(20));
        assertEquals(old.epoch(), fleet.newest().epoch());
    }

    @Test
    void promiseIsSentOnlyAfterStateIsPersisted() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        Epoch epoch = new Epoch(9, 0, 9);
        byte[] state = codec.write(AcceptorState.INITIAL
                .learn(new SlotId(epoch, 0), AcceptorState.NO_VALUE)
                .startVoting());
        Register register = new Register("x", 1, peers, "b", 10, true, state, Timing.DEFAULT);
        assertTrue(register.canVote());
        register.received(11, "a", codec.write(new Message.Prepare(new SlotId(epoch, 1), new Ballot(1, 0, 9))));
        List<Effect> effects = register.effects();
        assertEquals(1, effects.size());
        Effect.Persist persist = (Effect.Persist) effects.get(0);
        assertEquals(List.of(), register.effects());
        Register restarted = new Register("x", 1, peers, "b", 12, true, persist.state(), Timing.DEFAULT);
        restarted.received(
                13, "c", codec.write(new Message.Accept(new SlotId(epoch, 1), new Ballot(1, 0, 3), new byte[1])));
        assertInstanceOf(Message.Rejected.class, sent(codec, restarted.effects()));
        register.persisted(persist.token());
        assertInstanceOf(Message.Promise.class, sent(codec, register.effects()));
        byte[] broken = persist.state().clone();
        broken[40] ^= 1;
        Register blank = new Register("x", 1, peers, "b", 14, true, broken, Timing.DEFAULT);
        assertFalse(blank.canVote());
        assertEquals(Map.of(RejectReason.CHECKSUM, 1L), blank.rejections());
    }

    @Test
    void peerWithoutStateVotesOnlyPastTheHighestMark() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        Epoch epoch = new Epoch(9, 0, 9);
        Register oneReply = new Register("x", 1, peers, "b", 20, false, null, Timing.DEFAULT);
        oneReply.received(21, "a", codec.write(new Message.StatusReply(19, 5, true, epoch, 1, new SlotId(epoch, 1))));
        oneReply.received(21, "a", codec.write(new Message.StatusReply(20, 5, true, epoch, 5, new SlotId(epoch, 4))));
        oneReply.received(22, "c", codec.write(new Message.DecidedValue(new SlotId(epoch, 7), new byte[] {7})));
        assertFalse(oneReply.canVote(), "one voter is no read quorum");
        Register twoReplies = new Register("x", 1, peers, "b", 20, false, null, Timing.DEFAULT);
        twoReplies.received(21, "a", codec.write(new Message.StatusReply(20, 5, true, epoch, 5, new SlotId(epoch, 4))));
        twoReplies.received(21, "c", codec.write(new Message.StatusReply(20, 6, true, epoch, 4, new SlotId(epoch, 4))));
        twoReplies.received(22, "c", codec.write(new Message.DecidedValue(new SlotId(epoch, 5), new byte[] {5})));
        assertFalse(twoReplies.canVote(), "it may have voted on slot 6 before");
        twoReplies.received(23, "c", codec.write(new Message.DecidedValue(new SlotId(epoch, 6), new byte[] {6})));
        assertTrue(twoReplies.canVote());
    }

    /** Parses the first message that was sent. */
    private static Message sent(Codec codec, List<Effect> effects) {
        try {
            return codec.read(((Effect.Send) effects.get(0)).message());
        } catch (MalformedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void invalidMessagesAreCountedAndNeverThrow() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        SlotId slotId = new SlotId(new Epoch(9, 0, 9), 3);
        Ballot ballot = new Ballot(4, 2, 8);
        byte[] value = new byte[Codec.MAX_VALUE_BYTES];
        List<byte[]> validMessages = new ArrayList<>();
        for (Message message : List.of(
                new Message.StatusRequest(5),
                new Message.StatusReply(10, 7, true, slotId.epoch(), 3, slotId),
                new Message.EpochProposal(slotId.epoch(), 10, slotId),
                new Message.EpochCommit(slotId.epoch(), true),
                new Message.Prepare(slotId, ballot),
                new Message.Promise(slotId, ballot, ballot, value),
                new Message.Accept(slotId, ballot, value),
                new Message.Accepted(slotId, ballot),
                new Message.Rejected(slotId, ballot, ballot),
                new Message.DecidedNotice(slotId, ballot),
                new Message.ValueRequest(slotId),
                new Message.DecidedValue(slotId, value))) {
            validMessages.add(codec.write(message));
        }
        SplittableRandom random = new SplittableRandom(6);
        Register register = new Register("x", 1, peers, "b", 10, false, null, Timing.DEFAULT);
        long now = 10;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes =
                    validMessages.get(random.nextInt(validMessages.size())).clone();
            if (random.nextInt(4) == 0) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
            }
            for (int flips = random.nextInt(4); flips > 0 && bytes.length > 0; flips--) {
                int position = random.nextInt(4) == 0
                        ? random.nextInt(bytes.length)
                        : Math.min(bytes.length - 1, 26 + random.nextInt(40));
                bytes[position] ^= (byte) (1 << random.nextInt(8));
            }
            register.received(now += 100, random.nextInt(50) == 0 ? "z" : random.nextBoolean() ? "a" : "c", bytes);
            if (i % 50 == 0) {
                register.tick(now);
            }
            for (Effect effect : register.effects()) {
                if (effect instanceof Effect.Send send) {
                    assertTrue(send.message().length <= Codec.MAX_MESSAGE_BYTES);
                }
            }
        }
        assertTrue(register.rejections()
                .keySet()
                .containsAll(List.of(
                        RejectReason.TRUNCATED,
                        RejectReason.VERSION,
                        RejectReason.UNKNOWN_KIND,
                        RejectReason.EXPERIMENT,
                        RejectReason.DEFINITION,
                        RejectReason.PEERS,
                        RejectReason.OUT_OF_RANGE,
                        RejectReason.TRAILING_BYTES,
                        RejectReason.UNKNOWN_SENDER)));
    }
}
