package calicochute.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.discovery.WatchSchedule.Action;
import calicochute.discovery.WatchSchedule.Call;
import calicochute.discovery.WatchSchedule.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WatchScheduleTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long NEVER = WatchSchedule.NEVER;
    /** Time for a new connection, its response, and other balancers that call at the same time. */
    private static final long CALL_TIME_MICROS = 1_500_000;
    /** Longest wait in discovery's queue: a call that ends earlier has been made for nothing. */
    private static final long QUEUE_WAIT_MICROS = 3 * SECOND_MICROS;

    /** What happens to a call: when its connection is established and when it fails, in microseconds from its start. */
    private enum CallFate {
        REFUSED(NEVER, 0),
        RESET(1000, 50_000),
        TRUNCATED_OR_INVALID(1000, SECOND_MICROS),
        REJECTED(1000, QUEUE_WAIT_MICROS),
        NO_CONNECTION(NEVER, NEVER),
        CONNECTED_LATE(1_100_000, NEVER),
        SILENT(1000, NEVER);

        final long connectedAfter;
        final long failsAfter;

        CallFate(long connectedAfter, long failsAfter) {
            this.connectedAfter = connectedAfter;
            this.failsAfter = failsAfter;
        }
    }

    /** A schedule and the fates of its calls, one after another, until one more call starts. */
    private static final class Simulation {
        final WatchSchedule schedule;
        final List<Call> startedCalls = new ArrayList<>();
        final List<Call> pendingCalls = new ArrayList<>();
        long now;
        boolean connectionOpen;
        /** Number of calls that may be pending at a time: three only after a move, until one is answered. */
        int maxPending = 2;

        Simulation(long seed, long maxPauseMicros) {
            schedule = new WatchSchedule(seed, maxPauseMicros);
        }

        /** Establishes the watch: its first call is answered. */
        Simulation established() {
            schedule.start(now, 0);
            runDueActions();
            schedule.answered(pendingCalls.remove(0), false, now += 300);
            startedCalls.clear();
            connectionOpen = true;
            return this;
        }

        Simulation moved() {
            runDueActions();
            schedule.move(now);
            pendingCalls.clear();
            startedCalls.clear();
            maxPending = 3;
            return this;
        }

        void runDueActions() {
            for (Action action = schedule.nextAction(now, connectionOpen);
                    action != null;
                    action = schedule.nextAction(now, connectionOpen)) {
                if (action.kind() == Kind.START) {
                    connectionOpen = false;
                    startedCalls.add(action.call());
                    pendingCalls.add(action.call());
                    assertTrue(pendingCalls.size() <= maxPending, maxPending + " calls at most");
                } else {
                    Call call = action.call();
                    assertTrue(pendingCalls.remove(call));
                    assertTrue(
                            !call.isConnected()
                                    || call.waitMs != WatchSchedule.INITIAL_WAIT_MS
                                    || now >= call.startedAt + call.waitMs * 1000 + QUEUE_WAIT_MICROS,
                            "abandoned before its turn in the queue");
                }
            }
        }

        List<Call> run(CallFate... fates) {
            runDueActions();
            while (startedCalls.size() <= fates.length) {
                long eventAt = schedule.nextActionAt();
                for (Call call : pendingCalls) {
                    CallFate fate = fates[startedCalls.indexOf(call)];
                    eventAt = Math.min(
                            eventAt,
                            call.isConnected() || fate.connectedAfter == NEVER
                                    ? NEVER
                                    : call.startedAt + fate.connectedAfter);
                    eventAt = Math.min(eventAt, fate.failsAfter == NEVER ? NEVER : call.startedAt + fate.failsAfter);
                }
                assertTrue(eventAt >= now && eventAt < NEVER, "another action is due");
                now = eventAt;
                for (Call call : List.copyOf(pendingCalls)) {
                    CallFate fate = fates[startedCalls.indexOf(call)];
                    if (fate.connectedAfter != NEVER && now >= call.startedAt + fate.connectedAfter) {
                        call.connected();
                    }
                    if (fate.failsAfter != NEVER && now >= call.startedAt + fate.failsAfter) {
                        pendingCalls.remove(call);
                        schedule.failed(call, now);
                        assertTrue(
                                !pendingCalls.isEmpty()
                                        || schedule.nextActionAt() >= now + WatchSchedule.MIN_PAUSE_MICROS,
                                "the next call follows after a pause");
                    }
                }
                runDueActions();
            }
            return startedCalls;
        }
    }

    /**
     * Whatever happened to earlier calls, discovery may become available just after a call has started, and the next
     * one has to start in time: every sequence of five fates, for a watch that was established, one that moves and one
     * that starts.
     */
    @Test
    void nextCallStartsInTimeAfterAnySequence() {
        assertTrue(WatchSchedule.MAX_RETRY_MICROS + CALL_TIME_MICROS <= WatchSchedule.UPDATE_DEADLINE_MICROS);
        CallFate[] all = CallFate.values();
        int sequences = all.length * all.length * all.length * all.length * all.length;
        for (int sequence = 0; sequence < sequences; sequence++) {
            CallFate[] fates = new CallFate[5];
            for (int i = 0, rest = sequence; i < 5; i++, rest /= all.length) {
                fates[i] = all[rest % all.length];
            }
            for (int seed = sequence * 3; seed < sequence * 3 + 3; seed++) {
                checkIntervals(
                        fates,
                        new Simulation(seed, 5 * SECOND_MICROS).established().run(fates));
                Simulation move =
                        new Simulation(seed, 5 * SECOND_MICROS).established().moved();
                long moved = move.now;
                List<Call> calls = move.run(fates);
                checkIntervals(fates, calls);
                assertTrue(
                        calls.get(1).startedAt + 1_200_000 <= moved + 4 * SECOND_MICROS,
                        "after a move, first call " + fates[0]);
                assertTrue(
                        calls.get(2).startedAt + 400_000 <= moved + 4 * SECOND_MICROS,
                        "after a move, first calls " + fates[0] + ", " + fates[1]);
                assertTrue(move.pendingCalls.size() <= 2, "no third call stays pending");
                Simulation fresh = new Simulation(seed, WatchSchedule.MAX_RETRY_MICROS);
                fresh.schedule.start(0, WatchSchedule.START_SPREAD_MICROS);
                checkIntervals(fates, fresh.run(fates));
            }
        }
    }

    private static void checkIntervals(CallFate[] fates, List<Call> calls) {
        for (int i = 1; i < calls.size(); i++) {
            long interval = calls.get(i).startedAt - calls.get(i - 1).startedAt;
            int index = i;
            assertTrue(
                    interval <= WatchSchedule.MAX_RETRY_MICROS && interval >= WatchSchedule.MIN_PAUSE_MICROS,
                    () -> "after " + index + " of " + List.of(fates) + ": " + interval);
        }
    }

    /**
     * An established watch stops responding: this is detected and the next call starts early enough; so does the third
     * if the second is not answered either.
     */
    @Test
    void silenceIsDetectedInTimeTwiceInARow() {
        for (int seed = 0; seed < 5000; seed++) {
            for (CallFate second : new CallFate[] {CallFate.SILENT, CallFate.CONNECTED_LATE, CallFate.NO_CONNECTION}) {
                List<Call> calls =
                        new Simulation(seed, 5 * SECOND_MICROS).established().run(CallFate.SILENT, second);
                Call first = calls.get(0);
                assertTrue(calls.get(1).startedAt + CALL_TIME_MICROS
                        <= first.startedAt + WatchSchedule.UPDATE_DEADLINE_MICROS);
                assertTrue(
                        calls.get(2).startedAt + CALL_TIME_MICROS / 2
                                <= first.startedAt + WatchSchedule.UPDATE_DEADLINE_MICROS,
                        second.toString());
                assertTrue(
                        calls.get(1).startedAt
                                >= first.startedAt + first.waitMs * 1000 + WatchSchedule.RESPONSE_GRACE_MICROS,
                        "a call counts as unanswered only after its wait");
            }
        }
    }

    /**
     * After one unanswered call a second one starts while the first stays pending; only a second unanswered call, or a
     * failure, is reported.
     */
    @Test
    void unavailabilityIsReported() {
        Simulation one = new Simulation(7, 5 * SECOND_MICROS).established();
        one.run(CallFate.SILENT);
        assertEquals(2, one.pendingCalls.size(), "the unanswered call may still have its turn");
        assertTrue(!one.schedule.isUnavailable());
        one.schedule.answered(one.pendingCalls.get(0), true, one.now);
        assertTrue(!one.schedule.isUnavailable());
        Simulation two = new Simulation(7, 5 * SECOND_MICROS).established();
        two.run(CallFate.SILENT, CallFate.SILENT);
        assertTrue(two.schedule.isUnavailable());
        two.schedule.answered(two.pendingCalls.get(1), true, two.now);
        assertTrue(!two.schedule.isUnavailable());
        Simulation refused = new Simulation(7, 5 * SECOND_MICROS).established();
        refused.run(CallFate.REFUSED);
        assertTrue(refused.schedule.isUnavailable());
        refused.schedule.move(refused.now);
        assertTrue(!refused.schedule.isUnavailable());
        Simulation moved = new Simulation(7, 5 * SECOND_MICROS).established().moved();
        moved.run(CallFate.SILENT, CallFate.SILENT);
        assertTrue(!moved.schedule.isUnavailable(), "all three may be waiting in the queue");
        moved.run(CallFate.SILENT, CallFate.SILENT, CallFate.SILENT);
        assertTrue(moved.schedule.isUnavailable());
    }

    /**
     * While a response is being parsed, however long that takes, it is neither abandoned nor requested again; if it is
     * invalid, the next call follows after a pause.
     */
    @Test
    void longParsingStartsNoOtherCall() {
        for (boolean first : new boolean[] {true, false}) {
            Simulation simulation = new Simulation(7, 5 * SECOND_MICROS);
            if (first) {
                simulation.schedule.start(0, WatchSchedule.START_SPREAD_MICROS);
                simulation.now = simulation.schedule.nextActionAt();
                simulation.runDueActions();
            } else {
                simulation.established().run(CallFate.SILENT);
            }
            int calls = simulation.startedCalls.size();
            Call parsedCall = simulation.pendingCalls.get(0);
            simulation.pendingCalls.forEach(Call::connected);
            parsedCall.responseReceived();
            assertEquals(NEVER, simulation.schedule.nextActionAt());
            simulation.now += 60 * SECOND_MICROS;
            simulation.runDueActions();
            assertEquals(calls, simulation.startedCalls.size());
            assertTrue(simulation.pendingCalls.contains(parsedCall));
            simulation.schedule.failed(parsedCall, simulation.now);
            assertEquals(simulation.now + WatchSchedule.MIN_PAUSE_MICROS, simulation.schedule.nextActionAt());
        }
    }

    /** New settings apply to the pause that has begun and to later ones. */
    @Test
    void pausesFollowSettings() {
        CallFate[] refused = new CallFate[10];
        Arrays.fill(refused, CallFate.REFUSED);
        for (int seed = 0; seed < 100; seed++) {
            Simulation simulation = new Simulation(seed, 5 * SECOND_MICROS).established();
            simulation.run(refused);
            simulation.pendingCalls.clear();
            simulation.schedule.failed(simulation.startedCalls.get(10), simulation.now);
            assertTrue(simulation.schedule.nextActionAt() >= simulation.now + 2 * SECOND_MICROS);
            simulation.schedule.setMaxPause(500_000, simulation.now);
            assertTrue(simulation.schedule.nextActionAt() <= simulation.now + 500_000
                    && simulation.schedule.nextActionAt() >= simulation.now + WatchSchedule.MIN_PAUSE_MICROS);
            simulation.now = simulation.schedule.nextActionAt();
            simulation.startedCalls.clear();
            List<Call> calls = List.copyOf(simulation.run(refused));
            for (int i = 1; i <= 10; i++) {
                assertTrue(calls.get(i).startedAt - calls.get(i - 1).startedAt <= 500_000);
            }
            simulation.schedule.setMaxPause(5 * SECOND_MICROS, simulation.now);
            simulation.pendingCalls.clear();
            simulation.schedule.failed(calls.get(10), simulation.now);
            assertTrue(
                    simulation.schedule.nextActionAt() >= simulation.now + 2 * SECOND_MICROS,
                    "a longer limit applies to the next pause");
        }
    }

    /** Pauses grow with failures up to the limit, and no two balancers have the same ones. */
    @Test
    void pausesGrowDuringOutage() {
        CallFate[] refused = new CallFate[50];
        Arrays.fill(refused, CallFate.REFUSED);
        for (long limit : new long[] {0, 50_000, 500_000, 5 * SECOND_MICROS}) {
            long maxPause = Math.max(WatchSchedule.MIN_PAUSE_MICROS, Math.min(limit, WatchSchedule.MAX_RETRY_MICROS));
            Set<Long> startTimes = new HashSet<>();
            long sum = 0;
            for (int seed = 0; seed < 200; seed++) {
                List<Call> calls = new Simulation(seed, limit).established().run(refused);
                for (int i = 1; i <= 50; i++) {
                    long pause = calls.get(i).startedAt - calls.get(i - 1).startedAt;
                    assertTrue(pause >= WatchSchedule.MIN_PAUSE_MICROS && pause <= maxPause, "" + pause);
                    sum += i > 3 ? pause : 0;
                }
                startTimes.add(calls.get(50).startedAt);
            }
            assertTrue(sum / 200 / 47 >= maxPause * 0.7, "mean near the limit: " + sum / 200 / 47);
            assertTrue(limit < SECOND_MICROS || startTimes.size() > 190);
        }
    }

    /**
     * A hundred balancers and a discovery service that handles 25 calls a second one after another: after an outage of
     * any length and kind all receive the update in time, with about one call each, and the calls are spread.
     */
    @Test
    void endOfOutageCausesNoStorm() {
        for (FleetSimulation.State outage : new FleetSimulation.State[] {
            FleetSimulation.State.REFUSED, FleetSimulation.State.SILENT, FleetSimulation.State.NO_CONNECTION
        }) {
            for (long millis : new long[] {50, 500, 1000, 2000, 3000, 5000, 8000, 20_000}) {
                for (int seed = 0; seed < 5; seed++) {
                    FleetSimulation fleet = new FleetSimulation(100, seed * 1000, 5 * SECOND_MICROS, 25);
                    fleet.start();
                    fleet.advanceTo(20 * SECOND_MICROS + seed * 50_000);
                    fleet.startOutage(outage);
                    long outageEnd = 20 * SECOND_MICROS + seed * 50_000 + millis * 1000;
                    fleet.advanceTo(outageEnd);
                    fleet.endOutage();
                    int before = fleet.startTimes.size();
                    fleet.advanceTo(outageEnd + WatchSchedule.UPDATE_DEADLINE_MICROS);
                    String description = outage + " for " + millis + " ms, seed " + seed + ": ";
                    assertTrue(
                            fleet.lastUpdatedAt() <= outageEnd + WatchSchedule.UPDATE_DEADLINE_MICROS - 300_000,
                            description + (fleet.lastUpdatedAt() - outageEnd));
                    assertTrue(
                            fleet.startTimes.size() - before <= 140,
                            description + (fleet.startTimes.size() - before) + " calls");
                    assertTrue(
                            fleet.maxCallsPerSecond(outageEnd) <= 90,
                            description + fleet.maxCallsPerSecond(outageEnd) + " in one second");
                }
            }
        }
    }

    /** All balancers move at once, and the update has to be known 4 s later. */
    @Test
    void moveCausesNoStorm() {
        for (int seed = 0; seed < 20; seed++) {
            FleetSimulation fleet = new FleetSimulation(100, seed * 1000, 5 * SECOND_MICROS, 30);
            fleet.start();
            fleet.advanceTo(20 * SECOND_MICROS);
            fleet.endOutage();
            int before = fleet.startTimes.size();
            fleet.move();
            fleet.advanceTo(24 * SECOND_MICROS);
            assertTrue(fleet.lastUpdatedAt() <= 24 * SECOND_MICROS - 300_000, "" + fleet.lastUpdatedAt());
            assertTrue(fleet.startTimes.size() - before <= 150, fleet.startTimes.size() - before + " calls");
            assertTrue(
                    fleet.maxCallsPerSecond(20 * SECOND_MICROS) <= 95,
                    fleet.maxCallsPerSecond(20 * SECOND_MICROS) + " in one second");
            // If the queue alone takes longer than that, second and third calls come behind all first ones: no
            // first call waits for them.
            FleetSimulation slowFleet = new FleetSimulation(100, seed * 1000, 5 * SECOND_MICROS, 25);
            slowFleet.start();
            slowFleet.advanceTo(20 * SECOND_MICROS);
            slowFleet.endOutage();
            int before25 = slowFleet.startTimes.size();
            slowFleet.move();
            slowFleet.advanceTo(25 * SECOND_MICROS);
            assertTrue(slowFleet.lastUpdatedAt() <= 24 * SECOND_MICROS + 100_000, "" + slowFleet.lastUpdatedAt());
            assertTrue(
                    slowFleet.startTimes.size() - before25 <= 190, slowFleet.startTimes.size() - before25 + " calls");
            assertTrue(
                    slowFleet.maxCallsPerSecond(20 * SECOND_MICROS) <= 95,
                    slowFleet.maxCallsPerSecond(20 * SECOND_MICROS) + " in one second");
        }
    }

    /**
     * A response that reports no change and did not wait is followed after a pause; any other immediately, because
     * after a delay discovery would treat the call as a new watch.
     */
    @Test
    void immediateResponsesCauseNoLoop() {
        for (long duration : new long[] {0, 50_000, 150_000, 3 * SECOND_MICROS}) {
            for (boolean unchanged : new boolean[] {true, false}) {
                Simulation simulation = new Simulation(1, SECOND_MICROS).established();
                simulation.runDueActions();
                long answered = simulation.now += duration;
                simulation.schedule.answered(simulation.pendingCalls.remove(0), unchanged, answered);
                boolean immediate = unchanged && duration < WatchSchedule.MIN_PAUSE_MICROS;
                assertEquals(
                        answered + (immediate ? WatchSchedule.MIN_PAUSE_MICROS : 0),
                        simulation.schedule.nextActionAt());
            }
        }
        assertTrue(WatchSchedule.MIN_PAUSE_MICROS < 200_000, "the next call comes within 200 ms of the last answer");
    }

    /** If discovery closes the connection after its response, calls wait as long as on an open one. */
    @Test
    void connectionPerCallCausesNoStorm() {
        Simulation simulation = new Simulation(1, SECOND_MICROS).established();
        simulation.connectionOpen = false;
        simulation.runDueActions();
        assertTrue(!simulation.startedCalls.get(0).isConnected());
        assertTrue(simulation.startedCalls.get(0).waitMs >= WatchSchedule.MIN_WAIT_MS);
    }

    /** Balancers that received the same update at the same time do not call again at the same time. */
    @Test
    void waitsAreSpread() {
        Set<Long> waits = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            long wait = new Simulation(seed, SECOND_MICROS).established().run().get(0).waitMs;
            assertTrue(wait >= WatchSchedule.MIN_WAIT_MS && wait <= WatchSchedule.MAX_WAIT_MS);
            waits.add(wait);
        }
        assertTrue(waits.size() > 60, waits.size() + " of 100");
        Simulation simulation = new Simulation(1, SECOND_MICROS).established();
        simulation.runDueActions();
        simulation.schedule.answered(simulation.pendingCalls.remove(0), true, simulation.now += SECOND_MICROS);
        simulation.runDueActions();
        assertNotEquals(simulation.startedCalls.get(0).waitMs, simulation.startedCalls.get(1).waitMs);
    }
}
