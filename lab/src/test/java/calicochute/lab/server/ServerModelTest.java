package calicochute.lab.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Range;
import calicochute.lab.scenario.Scenario.Kind;
import calicochute.lab.scenario.Scenario.Sluggish;
import calicochute.lab.scenario.Time;
import calicochute.lab.server.ServerModel.Admission;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ServerModelTest {
    private static final long S = 1_000_000;

    private static Kind kind(double slots, double queue, double crowding, Sluggish sluggish) {
        return new Kind(
                "k",
                1.0,
                2,
                Range.of(1, 1),
                slots,
                queue,
                crowding,
                2.0,
                0.5,
                Time.of("10s"),
                false,
                0.0,
                Time.of("0s"),
                100,
                Time.of("30s"),
                0.0,
                Time.of("1ms"),
                sluggish);
    }

    private static ServerModel model(Kind kind) {
        return new ServerModel(
                new MachineSpec("m", 0, 0, "z", 0, kind, 1, S, S), new RandomStreams(1).of("n", 0), 3, 3 * S, S, 0);
    }

    private static ServerModel warm() {
        return model(kind(8, 4, 0, null));
    }

    /** Plays the model alone until nothing happens any more; the end of each job. */
    private static Map<Long, Long> play(ServerModel model, long from) {
        Map<Long, Long> ends = new TreeMap<>();
        for (long at = model.next(from); at != Long.MAX_VALUE; at = model.next(at)) {
            for (long id : model.advance(at)) {
                ends.put(id, at);
                model.release(at, id);
            }
        }
        return ends;
    }

    @Test
    void aJobAloneTakesItsWorkAndManyShareTheCores() {
        ServerModel model = warm();
        model.offer(0, 1, S, S, 0, false);
        assertEquals(Map.of(1L, S), play(model, 0));
        // Two cores, four jobs alike: each gets half a core.
        for (long id = 2; id <= 5; id++) {
            model.offer(S, id, S, S, 0, false);
        }
        play(model, S).values().forEach(end -> assertEquals(3 * S, end, 2));
    }

    /** Work is conserved: two cores never do more than two seconds of work in a second, nor rest while work waits. */
    @Property(tries = 200)
    void busyCoresDoAllTheWorkAndNoMore(
            @ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 900) Integer> ms) {
        ServerModel model = warm();
        long total = 0;
        long longest = 0;
        for (int i = 0; i < ms.size(); i++) {
            long work = ms.get(i) * 1000L;
            assertEquals(Admission.TAKEN, model.offer(0, i + 1, work, work, 0, false));
            total += work;
            longest = Math.max(longest, work);
        }
        Map<Long, Long> ends = play(model, 0);
        assertEquals(ms.size(), ends.size());
        long last = ends.values().stream().mapToLong(e -> e).max().orElse(0);
        assertTrue(
                last >= Math.max(longest, total / 2) && last <= total / 2 + longest + ms.size() * 2L,
                () -> ms + " ended at " + last);
        // A job never ends before one with less work that came with it, if both had a slot from the start.
        for (int i = 0; i < ms.size() && ms.size() <= 16; i++) {
            for (int j = 0; j < ms.size(); j++) {
                if (ms.get(i) < ms.get(j)) {
                    assertTrue(ends.get(i + 1L) <= ends.get(j + 1L));
                }
            }
        }
    }

    @Test
    void beyondSlotsAndWaitingRoomItTurnsAway() {
        ServerModel model = model(kind(1, 1.5, 0, null));
        List<Admission> admissions = new ArrayList<>();
        for (long id = 1; id <= 7; id++) {
            admissions.add(model.offer(0, id, S, S, 0, false));
        }
        assertEquals(5, admissions.stream().filter(a -> a == Admission.TAKEN).count());
        assertEquals(List.of(Admission.TURNED_AWAY, Admission.TURNED_AWAY), admissions.subList(5, 7));
        assertTrue(model.withdraw(0, 5));
        assertFalse(model.withdraw(0, 1), "what has begun goes on");
        assertEquals(Admission.TAKEN, model.offer(0, 8, S, S, 0, false));
        model.drain(true);
        assertEquals(Admission.TURNED_AWAY, model.offer(0, 9, S, S, 0, false));
    }

    /** A job that calls on keeps its slot and leaves its core to others. */
    @Test
    void aJobThatWaitsForAnotherTierKeepsItsSlot() {
        ServerModel model = model(kind(1, 5, 0, null));
        model.offer(0, 1, S, 2 * S, 0, false);
        model.offer(0, 2, S, 2 * S, 0, false);
        model.offer(0, 3, S, S, 0, false);
        assertEquals(List.of(1L, 2L), model.advance(S));
        assertEquals(1, model.inQueue());
        assertEquals(Long.MAX_VALUE, model.next(S), "nobody has a core to use");
        model.release(S, 2);
        assertEquals(2 * S, model.next(S));
        model.resume(3 * S / 2, 1, S / 2);
        assertEquals(2, model.advance(2 * S).size());
    }

    @Test
    void crowdingSlowdownPauseAndHang() {
        ServerModel crowded = model(kind(8, 4, 0.5, null));
        for (long id = 1; id <= 8; id++) {
            crowded.offer(0, id, S, S, 0, false);
        }
        // Four a core, two beyond the mark: half the efficiency at first.
        assertTrue(play(crowded, 0).get(1L) > 4 * S * 3 / 2);
        ServerModel slow = warm();
        slow.slow(0, 5);
        slow.offer(0, 1, S, S, 0, false);
        assertEquals(5 * S, slow.next(0));
        slow.pause(S, true);
        assertEquals(Long.MAX_VALUE, slow.next(S));
        slow.pause(2 * S, false);
        assertEquals(6 * S, slow.next(2 * S), 2);
        slow.hang(2 * S, true);
        assertEquals(Admission.SWALLOWED, slow.offer(2 * S, 2, S, S, 0, false));
        assertEquals(List.of(), slow.advance(60 * S));
    }

    @Test
    void aColdMachineWarmsAndFallsUnderTooMuch() {
        ServerModel model = warm();
        model.start(0);
        assertEquals(0.5, model.capacityShare(0), 1e-9);
        assertEquals(0.75, model.capacityShare(5 * S), 1e-9);
        assertEquals(1, model.capacityShare(10 * S), 1e-9);
        // Half of two cores, three times, for 3 s: N is 9 requests of a second, 9 + 2 root 9 + 2 = 17 are the budget.
        ServerModel pushed = warm();
        pushed.start(0);
        for (long id = 1; id <= 17; id++) {
            assertFalse(pushed.offer(0, id, S, S, 0, id > 3) == Admission.FELL_OVER);
        }
        assertEquals(Admission.FELL_OVER, pushed.offer(0, 18, S, S, 0, true));
        assertEquals(15 / 18.0, pushed.informedShare(), 1e-9);
        assertEquals(18 / 17.0, pushed.budget().worst(), 1e-9);
        assertEquals(15 / 17.0, pushed.budget().worstInformed(), 1e-9);
        pushed.start(60 * S);
        pushed.offer(60 * S, 23, S, S, 0, true);
        assertEquals(18 / 17.0, pushed.budget().worst(), 1e-9, "the worst of all starts");
        // The same over a longer time does no harm, and neither does it to a warm machine.
        ServerModel slowly = warm();
        slowly.start(0);
        for (long id = 1; id <= 25; id++) {
            assertFalse(slowly.offer(id * S / 2, id, S, S, 0, true) == Admission.FELL_OVER);
        }
        ServerModel warm = warm();
        for (long id = 1; id <= 40; id++) {
            assertFalse(warm.offer(0, id, S, S, 0, true) == Admission.FELL_OVER);
        }
    }

    @Test
    void aLongQueueTurnsAMachineSluggishUntilItHasRested() {
        Sluggish rule = new Sluggish(3.0, Time.of("2s"), 2.5, Time.of("3s"), 0.3, Time.of("20s"));
        SluggishState state = new SluggishState(rule);
        state.look(0, 4, 1);
        state.look(S, 2, 1);
        state.look(3 * S / 2, 4, 1);
        state.look(3 * S, 4, 1);
        assertFalse(state.sluggish(), "a pause in the crowding counts from the start");
        state.look(7 * S / 2, 4, 1);
        assertEquals(2.5, state.slower());
        state.look(5 * S, 0, 0.1);
        state.look(7 * S, 0, 0.6);
        state.look(8 * S, 0, 0.1);
        state.look(10 * S, 0, 0.1);
        assertTrue(state.sluggish());
        state.look(11 * S, 0, 0.1);
        assertFalse(state.sluggish());
        state.look(12 * S, 9, 1);
        state.look(14 * S, 9, 1);
        state.look(33 * S, 9, 1);
        assertTrue(state.sluggish());
        state.look(34 * S, 9, 1);
        assertFalse(state.sluggish(), "for the longest time at most");
    }
}
