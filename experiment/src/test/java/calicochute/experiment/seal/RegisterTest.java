package calicochute.experiment.seal;

import static org.junit.jupiter.api.Assertions.*;

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

class RegisterTest {
    @Property(tries = 600, shrinking = ShrinkingMode.OFF, seed = "5")
    void agreesWhateverHappensAndGoesOnAfter(@ForAll @IntRange(min = 3, max = 9) int many, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(many, random.nextLong());
        boolean memory = random.nextBoolean();
        boolean forgets = !memory || random.nextBoolean();
        for (int step = 0; step < 60; step++) {
            int i = random.nextInt(many);
            switch (random.nextInt(9)) {
                case 0 -> fleet.loss = random.nextDouble(0.5);
                case 1 -> fleet.twice = random.nextDouble(0.5);
                case 2 -> fleet.delay = 1 + random.nextLong(3_000 * Fleet.MILLI);
                case 3 -> fleet.side[i] = random.nextInt(2);
                case 4 -> fleet.stopped[i] = !fleet.stopped[i];
                case 5 -> fleet.restart(i, memory && !(forgets && random.nextInt(3) == 0));
                case 6 -> fleet.turns = random.nextBoolean();
                case 7 -> Arrays.fill(fleet.side, 0);
                default -> fleet.delay = 20 * Fleet.MILLI;
            }
            fleet.ticks(random.nextInt(12));
        }
        assertTrue(fleet.heals(400), () -> "not healed: " + many + " " + seed);
        for (Register node : fleet.nodes) {
            assertEquals(Map.of(), node.refusals());
        }
    }

    @Test
    void smallerSideOfASplitDecidesNothing() {
        Fleet fleet = new Fleet(5, 1);
        assertTrue(fleet.heals(100));
        fleet.side[0] = fleet.side[1] = 1;
        fleet.ticks(10);
        long cut = Math.max(fleet.nodes[0].slot(), fleet.nodes[1].slot());
        long other = fleet.nodes[2].slot();
        fleet.ticks(300);
        assertEquals(cut, Math.max(fleet.nodes[0].slot(), fleet.nodes[1].slot()));
        assertTrue(fleet.nodes[2].slot() > other + 10);
        assertTrue(fleet.heals(50));
        assertEquals(List.of(), fleet.lost);
    }

    @Test
    void tenthsRestartedWithoutMemoryGoOnInTheSameEpoch() {
        Fleet fleet = new Fleet(30, 2);
        assertTrue(fleet.heals(200));
        Place first = fleet.newest();
        for (int tenth = 0; tenth < 10; tenth++) {
            for (int i = 0; i < 3; i++) {
                fleet.restart(3 * tenth + i, false);
            }
            fleet.ticks(100);
        }
        assertTrue(fleet.heals(100));
        assertEquals(first.epoch(), fleet.newest().epoch());
        assertEquals(List.of(), fleet.lost);
    }

    @Test
    void allRestartedWithoutMemoryBeginAnewAndOldValuesDoNotComeBack() {
        Fleet fleet = new Fleet(5, 3);
        assertTrue(fleet.heals(100));
        fleet.ticks(100);
        Place old = fleet.newest();
        for (int i = 0; i < 5; i++) {
            fleet.restart(i, false);
        }
        fleet.ticks(100);
        assertTrue(fleet.newest().epoch().compareTo(old.epoch()) > 0);
        assertTrue(fleet.heals(100));
        assertEquals(List.of(), fleet.lost, "nobody is left that remembers");
    }

    @Test
    void tooManyRestartedAtOnceGoOnFromWhatTheOthersKnowAndSaySo() {
        Fleet fleet = new Fleet(3, 4);
        assertTrue(fleet.heals(100));
        fleet.ticks(20);
        Place old = fleet.newest();
        fleet.restart(0, false);
        fleet.restart(1, false);
        assertTrue(fleet.heals(150));
        fleet.ticks(10);
        assertTrue(fleet.newest().epoch().compareTo(old.epoch()) > 0
                && fleet.newest().slot() > old.slot());
        assertEquals(
                1, fleet.lost.stream().map(b -> b.place().epoch()).distinct().count());
        assertTrue(fleet.lost.get(0).place().slot() >= old.slot());
    }

    @Test
    void allRestartedWithMemoryGoOnAtOnce() {
        Fleet fleet = new Fleet(4, 5);
        for (int i = 0; i < 4; i++) {
            fleet.restart(i, true);
        }
        assertTrue(fleet.heals(100));
        Place old = fleet.newest();
        for (int i = 0; i < 4; i++) {
            fleet.restart(i, true);
        }
        assertEquals(4, Arrays.stream(fleet.nodes).filter(Register::votes).count());
        assertTrue(fleet.heals(20));
        assertEquals(old.epoch(), fleet.newest().epoch());
    }

    @Test
    void promiseLeavesOnlyAfterTheStateIsKept() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        Epoch epoch = new Epoch(9, 0, 9);
        byte[] state = codec.write(
                Memory.BLANK.learn(new Place(epoch, 0), Memory.EMPTY).join());
        Register b = new Register("x", 1, peers, "b", 10, true, state, Timing.USUAL);
        assertTrue(b.votes());
        b.received(11, "a", codec.write(new Message.Prepare(new Place(epoch, 1), new Ballot(1, 0, 9))));
        List<Effect> effects = b.effects();
        assertEquals(1, effects.size());
        Effect.Persist persist = (Effect.Persist) effects.get(0);
        assertEquals(List.of(), b.effects());
        Register again = new Register("x", 1, peers, "b", 12, true, persist.state(), Timing.USUAL);
        again.received(13, "c", codec.write(new Message.Accept(new Place(epoch, 1), new Ballot(1, 0, 3), new byte[1])));
        assertInstanceOf(Message.Refused.class, sent(codec, again.effects()));
        b.persisted(persist.token());
        assertInstanceOf(Message.Promise.class, sent(codec, b.effects()));
        byte[] broken = persist.state().clone();
        broken[40] ^= 1;
        Register blank = new Register("x", 1, peers, "b", 14, true, broken, Timing.USUAL);
        assertFalse(blank.votes());
        assertEquals(Map.of(Refusal.CHECKSUM, 1L), blank.refusals());
    }

    @Test
    void whoForgotVotesOnlyAfterTheSlotPastAllMarks() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        Epoch epoch = new Epoch(9, 0, 9);
        Register b = new Register("x", 1, peers, "b", 20, false, null, Timing.USUAL);
        b.received(21, "a", codec.write(new Message.Answer(19, 5, true, epoch, 1, new Place(epoch, 1))));
        b.received(21, "a", codec.write(new Message.Answer(20, 5, true, epoch, 5, new Place(epoch, 4))));
        b.received(22, "c", codec.write(new Message.Value(new Place(epoch, 7), new byte[] {7})));
        assertFalse(b.votes(), "one voter is too few");
        Register d = new Register("x", 1, peers, "b", 20, false, null, Timing.USUAL);
        d.received(21, "a", codec.write(new Message.Answer(20, 5, true, epoch, 5, new Place(epoch, 4))));
        d.received(21, "c", codec.write(new Message.Answer(20, 6, true, epoch, 4, new Place(epoch, 4))));
        d.received(22, "c", codec.write(new Message.Value(new Place(epoch, 5), new byte[] {5})));
        assertFalse(d.votes(), "may have voted on slot 6 before");
        d.received(23, "c", codec.write(new Message.Value(new Place(epoch, 6), new byte[] {6})));
        assertTrue(d.votes());
    }

    private static Message sent(Codec codec, List<Effect> effects) {
        try {
            return codec.read(((Effect.Send) effects.get(0)).message());
        } catch (Malformed e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void badMessagesAreCountedAndNeverThrow() {
        List<String> peers = List.of("a", "b", "c");
        Codec codec = new Codec("x", 1, peers);
        Place place = new Place(new Epoch(9, 0, 9), 3);
        Ballot ballot = new Ballot(4, 2, 8);
        byte[] value = new byte[Codec.MOST_VALUE];
        List<byte[]> good = new ArrayList<>();
        for (Message m : List.of(
                new Message.Ask(5),
                new Message.Answer(10, 7, true, place.epoch(), 3, place),
                new Message.Form(place.epoch(), 10, place),
                new Message.Commit(place.epoch(), true),
                new Message.Prepare(place, ballot),
                new Message.Promise(place, ballot, ballot, value),
                new Message.Accept(place, ballot, value),
                new Message.Accepted(place, ballot),
                new Message.Refused(place, ballot, ballot),
                new Message.Known(place, ballot),
                new Message.Want(place),
                new Message.Value(place, value))) {
            good.add(codec.write(m));
        }
        SplittableRandom random = new SplittableRandom(6);
        Register b = new Register("x", 1, peers, "b", 10, false, null, Timing.USUAL);
        long now = 10;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = good.get(random.nextInt(good.size())).clone();
            if (random.nextInt(4) == 0) {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
            }
            for (int flips = random.nextInt(4); flips > 0 && bytes.length > 0; flips--) {
                int at = random.nextInt(4) == 0
                        ? random.nextInt(bytes.length)
                        : Math.min(bytes.length - 1, 26 + random.nextInt(40));
                bytes[at] ^= (byte) (1 << random.nextInt(8));
            }
            b.received(now += 100, random.nextInt(50) == 0 ? "z" : random.nextBoolean() ? "a" : "c", bytes);
            if (i % 50 == 0) {
                b.tick(now);
            }
            for (Effect effect : b.effects()) {
                if (effect instanceof Effect.Send s) {
                    assertTrue(s.message().length <= Codec.MOST_BYTES);
                }
            }
        }
        assertTrue(b.refusals()
                .keySet()
                .containsAll(List.of(
                        Refusal.SHORT,
                        Refusal.VERSION,
                        Refusal.KIND,
                        Refusal.EXPERIMENT,
                        Refusal.DEFINITION,
                        Refusal.PEERS,
                        Refusal.BOUNDS,
                        Refusal.TRAILING,
                        Refusal.SENDER)));
    }
}
