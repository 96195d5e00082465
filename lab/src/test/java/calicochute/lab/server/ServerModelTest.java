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
    private static final long SECOND = 1_000_000;

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
                new MachineSpec("m", 0, 0, "z", 0, kind, 1, SECOND, SECOND),
                new RandomStreams(1).of("n", 0),
                3,
                3 * SECOND,
                SECOND,
                0);
    }

    private static ServerModel warmModel() {
        return model(kind(8, 4, 0, null));
    }

    /** Advances the model until no event is left, and returns the time at which each job ended. */
    private static Map<Long, Long> runToEnd(ServerModel model, long from) {
        Map<Long, Long> ends = new TreeMap<>();
        for (long at = model.nextEventTime(from); at != Long.MAX_VALUE; at = model.nextEventTime(at)) {
            for (long id : model.advance(at)) {
                ends.put(id, at);
                model.release(at, id);
            }
        }
        return ends;
    }

    @Test
    void aSingleJobTakesItsWorkAndSeveralShareTheCores() {
        ServerModel model = warmModel();
        model.submit(0, 1, SECOND, SECOND, 0, false);
        assertEquals(Map.of(1L, SECOND), runToEnd(model, 0));
        // Four equal jobs on two cores: each gets half a core.
        for (long id = 2; id <= 5; id++) {
            model.submit(SECOND, id, SECOND, SECOND, 0, false);
        }
        runToEnd(model, SECOND).values().forEach(end -> assertEquals(3 * SECOND, end, 2));
    }

    /** Two cores never do more than two seconds of work per second, and are never idle while a job waits. */
    @Property(tries = 200)
    void busyCoresDoAllTheWorkAndNoMore(
            @ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 900) Integer> workMillis) {
        ServerModel model = warmModel();
        long total = 0;
        long longest = 0;
        for (int i = 0; i < workMillis.size(); i++) {
            long work = workMillis.get(i) * 1000L;
            assertEquals(Admission.ACCEPTED, model.submit(0, i + 1, work, work, 0, false));
            total += work;
            longest = Math.max(longest, work);
        }
        Map<Long, Long> ends = runToEnd(model, 0);
        assertEquals(workMillis.size(), ends.size());
        long last = ends.values().stream().mapToLong(e -> e).max().orElse(0);
        assertTrue(
                last >= Math.max(longest, total / 2) && last <= total / 2 + longest + workMillis.size() * 2L,
                () -> workMillis + " ended at " + last);
        // Of two jobs that start together, the one with less work does not end later.
        for (int i = 0; i < workMillis.size() && workMillis.size() <= 16; i++) {
            for (int j = 0; j < workMillis.size(); j++) {
                if (workMillis.get(i) < workMillis.get(j)) {
                    assertTrue(ends.get(i + 1L) <= ends.get(j + 1L));
                }
            }
        }
    }

    @Test
    void rejectsJobsBeyondSlotsAndQueue() {
        ServerModel model = model(kind(1, 1.5, 0, null));
        List<Admission> admissions = new ArrayList<>();
        for (long id = 1; id <= 7; id++) {
            admissions.add(model.submit(0, id, SECOND, SECOND, 0, false));
        }
        assertEquals(5, admissions.stream().filter(a -> a == Admission.ACCEPTED).count());
        assertEquals(List.of(Admission.REJECTED, Admission.REJECTED), admissions.subList(5, 7));
        assertTrue(model.cancelQueued(0, 5));
        assertFalse(model.cancelQueued(0, 1), "a job that has begun is not cancelled");
        assertEquals(Admission.ACCEPTED, model.submit(0, 8, SECOND, SECOND, 0, false));
        model.setDraining(true);
        assertEquals(Admission.REJECTED, model.submit(0, 9, SECOND, SECOND, 0, false));
    }

    /** A job that waits for the next tier keeps its slot but uses no core. */
    @Test
    void aJobThatWaitsForAnotherTierKeepsItsSlot() {
        ServerModel model = model(kind(1, 5, 0, null));
        model.submit(0, 1, SECOND, 2 * SECOND, 0, false);
        model.submit(0, 2, SECOND, 2 * SECOND, 0, false);
        model.submit(0, 3, SECOND, SECOND, 0, false);
        assertEquals(List.of(1L, 2L), model.advance(SECOND));
        assertEquals(1, model.queueLength());
        assertEquals(Long.MAX_VALUE, model.nextEventTime(SECOND), "no job is running");
        model.release(SECOND, 2);
        assertEquals(2 * SECOND, model.nextEventTime(SECOND));
        model.resume(3 * SECOND / 2, 1, SECOND / 2);
        assertEquals(2, model.advance(2 * SECOND).size());
    }

    @Test
    void crowdingSlowdownPauseAndHang() {
        ServerModel crowded = model(kind(8, 4, 0.5, null));
        for (long id = 1; id <= 8; id++) {
            crowded.submit(0, id, SECOND, SECOND, 0, false);
        }
        // Four jobs per core, two above the limit of the kind: efficiency is one half at first.
        assertTrue(runToEnd(crowded, 0).get(1L) > 4 * SECOND * 3 / 2);
        ServerModel slow = warmModel();
        slow.setSlowdown(0, 5);
        slow.submit(0, 1, SECOND, SECOND, 0, false);
        assertEquals(5 * SECOND, slow.nextEventTime(0));
        slow.setPaused(SECOND, true);
        assertEquals(Long.MAX_VALUE, slow.nextEventTime(SECOND));
        slow.setPaused(2 * SECOND, false);
        assertEquals(6 * SECOND, slow.nextEventTime(2 * SECOND), 2);
        slow.setHung(2 * SECOND, true);
        assertEquals(Admission.IGNORED, slow.submit(2 * SECOND, 2, SECOND, SECOND, 0, false));
        assertEquals(List.of(), slow.advance(60 * SECOND));
    }

    @Test
    void aColdMachineWarmsUpAndCollapsesUnderTooMuchWork() {
        ServerModel model = warmModel();
        model.start(0);
        assertEquals(0.5, model.capacityShare(0), 1e-9);
        assertEquals(0.75, model.capacityShare(5 * SECOND), 1e-9);
        assertEquals(1, model.capacityShare(10 * SECOND), 1e-9);
        // Capacity 1 (half of two cores), times 3, for 3 s: N = 9 requests of 1 s; the budget is 9 + 2 sqrt(9) + 2 =
        // 17.
        ServerModel pushed = warmModel();
        pushed.start(0);
        for (long id = 1; id <= 17; id++) {
            assertFalse(pushed.submit(0, id, SECOND, SECOND, 0, id > 3) == Admission.COLLAPSED);
        }
        assertEquals(Admission.COLLAPSED, pushed.submit(0, 18, SECOND, SECOND, 0, true));
        assertEquals(15 / 18.0, pushed.informedShare(), 1e-9);
        assertEquals(18 / 17.0, pushed.coldStartBudget().worstShare(), 1e-9);
        assertEquals(15 / 17.0, pushed.coldStartBudget().worstInformedShare(), 1e-9);
        pushed.start(60 * SECOND);
        pushed.submit(60 * SECOND, 23, SECOND, SECOND, 0, true);
        assertEquals(18 / 17.0, pushed.coldStartBudget().worstShare(), 1e-9, "the worst share is kept over starts");
        // A cold machine tolerates as much work over a longer time, and a warm machine tolerates it at once.
        ServerModel slowly = warmModel();
        slowly.start(0);
        for (long id = 1; id <= 25; id++) {
            assertFalse(slowly.submit(id * SECOND / 2, id, SECOND, SECOND, 0, true) == Admission.COLLAPSED);
        }
        ServerModel warm = warmModel();
        for (long id = 1; id <= 40; id++) {
            assertFalse(warm.submit(0, id, SECOND, SECOND, 0, true) == Admission.COLLAPSED);
        }
    }

    @Test
    void aLongQueueMakesAMachineSluggishUntilItHasBeenIdle() {
        Sluggish rule = new Sluggish(3.0, Time.of("2s"), 2.5, Time.of("3s"), 0.3, Time.of("20s"));
        SluggishState state = new SluggishState(rule);
        state.update(0, 4, 1);
        state.update(SECOND, 2, 1);
        state.update(3 * SECOND / 2, 4, 1);
        state.update(3 * SECOND, 4, 1);
        assertFalse(state.isSluggish(), "the time counts from the last moment below the limit");
        state.update(7 * SECOND / 2, 4, 1);
        assertEquals(2.5, state.slowdown());
        state.update(5 * SECOND, 0, 0.1);
        state.update(7 * SECOND, 0, 0.6);
        state.update(8 * SECOND, 0, 0.1);
        state.update(10 * SECOND, 0, 0.1);
        assertTrue(state.isSluggish());
        state.update(11 * SECOND, 0, 0.1);
        assertFalse(state.isSluggish());
        state.update(12 * SECOND, 9, 1);
        state.update(14 * SECOND, 9, 1);
        state.update(33 * SECOND, 9, 1);
        assertTrue(state.isSluggish());
        state.update(34 * SECOND, 9, 1);
        assertFalse(state.isSluggish(), "the maximum time is over");
    }
}
