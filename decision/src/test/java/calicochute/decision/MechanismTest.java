package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.fleet;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The estimates, the selection, the subset and the handover, against values computed by hand. */
class MechanismTest {
    private static final RequestClass REPEATABLE = requestClass(Effect.REPEATABLE, KeyScope.ALL);
    private long nextRequest = 1;

    private String sendAndEnd(Fixture fixture, Outcome outcome, long elapsed) {
        return fixture.sendAndEnd(nextRequest++, outcome, elapsed);
    }

    private static double speed(Fixture fixture, String backend) {
        return fixture.balancer.state().backends.get(backend).speed;
    }

    @Test
    void weightOfASampleDependsOnTheTimeSinceTheLastOne() {
        Fixture fixture = steady(Effect.REPEATABLE);
        double before = speed(fixture, "b0");
        fixture.now += 200_000;
        sendAndEnd(fixture, Outcome.OK, 50_000);
        // The typical latency moves a 32nd of the way from 100 to 50 ms, to 98.4375: this sample's speed is 1.96875.
        double alpha = 1 - Math.exp(-0.25 / 3);
        assertEquals(before + alpha * (1.96875 - before), speed(fixture, "b0"), 1e-6);
    }

    /** An instance with one backend that has given forty answers of 100 ms, ten a second. */
    Fixture steady(Effect effect) {
        Fixture fixture = Fixture.of(effect, KeyScope.ALL).list(fleet(1));
        for (int i = 0; i < 40; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        return fixture;
    }

    /** After a pause alpha is near 1, so that one sample would decide alone. */
    @Test
    void oneSampleNeverOutweighsThePast() {
        Fixture fixture = steady(Effect.ONCE);
        double before = speed(fixture, "b0");
        fixture.arrive(nextRequest++, 200 * SECOND);
        fixture.now += 100 * SECOND;
        fixture.outcome(0, Outcome.ERROR, 100 * SECOND);
        assertEquals(before / 2, speed(fixture, "b0"), 1e-9);
    }

    /** Where an instance sees few answers, ageing slows down so that about twelve of them count. */
    @Test
    void fewSamplesAgeSlowly() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 60; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
            fixture.now += 1_900_000;
        }
        String backend = sendAndEnd(fixture, Outcome.OK, 10_000);
        // The sample's speed is bounded at 3. Its gap is some seconds; at the paper's rate it would weigh over 0.9.
        double moved = (speed(fixture, backend) - 1) / 2;
        assertTrue(moved > 0.05 && moved < 0.2, "moved by " + moved + " of the way");
    }

    @Test
    void failuresCountAsZeroAndCancelledOrMootAttemptsNotAtAll() {
        for (Outcome outcome : Outcome.values()) {
            Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(1));
            sendAndEnd(fixture, Outcome.OK, 100_000);
            double before = speed(fixture, "b0");
            sendAndEnd(fixture, outcome, 100_000);
            switch (outcome) {
                case OK, CANCELLED, MOOT -> assertEquals(before, speed(fixture, "b0"), 1e-9, outcome::name);
                default -> assertTrue(speed(fixture, "b0") <= before * 0.75 + 1e-9, outcome::name);
            }
        }
    }

    @Test
    void everyBackendOfTheSubsetGetsAFirstCall() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(6));
        Set<String> called = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            called.add(sendAndEnd(fixture, Outcome.OK, 100_000));
        }
        assertEquals(6, called.size());
    }

    /** Two backends whose speeds differ, one request at a time: frequencies follow exp(speed / best / temperature). */
    @Test
    void softmaxFollowsTheComputedProbabilities() {
        checkSoftmax(4 * SECOND, 0.07);
        checkSoftmax(300_000, 0.04);
    }

    /** Where requests carry the class's whole deadline, the time left says nothing: the headroom is the target. */
    @Test
    void headroomIsFixedInLaterTiersWithoutDeadlines() {
        Settings base = settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS);
        for (long timeLeft : new long[] {140_000, 4 * SECOND}) {
            checkSoftmax(
                    new Fixture(new Settings(
                            1,
                            0,
                            1,
                            1,
                            false,
                            false,
                            true,
                            "z",
                            5000,
                            1,
                            List.of(),
                            base.classes(),
                            List.of(),
                            base.limits(),
                            base.rules(),
                            base.goal())),
                    timeLeft,
                    0.04);
        }
    }

    private void checkSoftmax(long timeLeft, double temperature) {
        checkSoftmax(Fixture.of(Effect.ONCE, KeyScope.ALL), timeLeft, temperature);
    }

    private void checkSoftmax(Fixture fixture, long timeLeft, double temperature) {
        fixture.list(fleet(2));
        for (int i = 0; i < 60; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
            long elapsed = fixture.lastBackend().equals("b0") ? 80_000 : 120_000;
            fixture.now += elapsed;
            fixture.outcome(0, Outcome.OK, elapsed);
        }
        double expected = 0;
        int picked = 0;
        int draws = 4000;
        for (int i = 0; i < draws; i++) {
            double first = fixture.balancer
                    .estimates()
                    .effective(fixture.balancer.state().backends.get("b0"), false);
            double second = fixture.balancer
                    .estimates()
                    .effective(fixture.balancer.state().backends.get("b1"), false);
            double best = Math.max(first, second);
            double firstWeight = Math.exp(first / best / temperature);
            double secondWeight = Math.exp(second / best / temperature);
            expected += firstWeight / (firstWeight + secondWeight);
            fixture.arrive(nextRequest++, timeLeft);
            picked += fixture.lastBackend().equals("b0") ? 1 : 0;
            fixture.outcome(0, Outcome.CANCELLED, 0);
        }
        assertEquals(expected / draws, (double) picked / draws, 0.025);
        assertTrue(expected / draws > 0.6);
    }

    @Test
    void walkStaysOnABackendInTimeAndMovesOnOtherwise() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 40; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
            long elapsed = 100_000 + 20_000L * (fixture.lastBackend().charAt(1) - '0');
            fixture.now += elapsed;
            fixture.outcome(0, Outcome.OK, elapsed);
        }
        // The time left is under 0.3 x 5 x the best latency, which selects the walk; the best backend is in time.
        fixture.arrive(nextRequest++, 140_000);
        String first = fixture.lastBackend();
        fixture.outcome(0, Outcome.CANCELLED, 0);
        fixture.arrive(nextRequest++, 140_000);
        assertEquals(first, fixture.lastBackend());
        fixture.outcome(0, Outcome.ERROR, 10_000);
        fixture.arrive(nextRequest++, 140_000);
        assertNotEquals(first, fixture.lastBackend());
    }

    /** A backend that hangs does not answer, so that only the age of its attempts shows it before they time out. */
    @Test
    void ageOfPendingAttemptsBoundsTheSpeedOfAHungBackend() {
        Fixture fixture = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        fixture.list(fleet(3));
        for (int i = 0; i < 30; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        fixture.arrive(nextRequest++, 4 * SECOND);
        String hung = fixture.lastBackend();
        fixture.now += 2 * SECOND;
        int again = 0;
        for (int i = 0; i < 200; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
            again += fixture.lastBackend().equals(hung) ? 1 : 0;
            fixture.outcome(0, Outcome.OK, 100_000);
        }
        assertTrue(again < 20, "sent " + again + " of 200 to the hung backend");
    }

    /** A burst of one instance would crowd the backend that it ranks best before any sample arrives. */
    @Test
    void pendingAttemptsSpreadABurst() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(6));
        for (int i = 0; i < 60; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        Map<String, Integer> burst = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
            burst.merge(fixture.lastBackend(), 1, Integer::sum);
        }
        assertTrue(burst.values().stream().allMatch(n -> n <= 12), burst::toString);
    }

    /** A copy of a late attempt is mostly a copy of slow work under high load, which it would increase. */
    @Test
    void lateAttemptGetsNoSecondCopy() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(3));
        for (int i = 0; i < 30; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        fixture.arrive(nextRequest++, 4 * SECOND);
        int actions = fixture.actions.size();
        fixture.advanceTo(fixture.now + 3 * SECOND);
        assertEquals(actions, fixture.actions.size());
    }

    /** Idle connections left by a burst fill a backend's small connection table and lock other callers out. */
    @Test
    void idleConnectionsAreClosedOnceAConnectFailed() {
        for (boolean failed : new boolean[] {false, true}) {
            Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(1));
            long first = nextRequest;
            for (int i = 0; i < 3; i++) {
                fixture.arrive(nextRequest++, 4 * SECOND);
            }
            fixture.now += 100_000;
            for (long request = first; request < nextRequest; request++) {
                fixture.on(new Balancer.AttemptEnded(request, 0, "b0", true, Outcome.OK, 100_000, null));
            }
            sendAndEnd(fixture, failed ? Outcome.CONNECT_FAILED : Outcome.OK, 100_000);
            fixture.now += SECOND;
            fixture.arrive(nextRequest++, 4 * SECOND);
            assertEquals(failed, fixture.actions.contains("close b0"));
        }
    }

    @Test
    void subsetsAreStableBalancedAndDeterministic() {
        int callers = 60;
        int size = 100;
        Map<String, Integer> load = new HashMap<>();
        for (int instance = 0; instance < callers; instance++) {
            Settings settings = settings(List.of(REPEATABLE), Fixture.LIMITS, false, instance, callers);
            Set<String> used = subset(settings, fleet(size));
            assertEquals(used, subset(settings, fleet(size)));
            assertTrue(used.size() < 20);
            Set<String> kept = subset(settings, fleet(size - 1));
            kept.retainAll(used);
            assertTrue(kept.size() >= used.size() - 2, "one backend less changed more than its place");
            used.forEach(backend -> load.merge(backend, 1, Integer::sum));
        }
        assertEquals(size, load.size());
        assertTrue(load.values().stream().allMatch(n -> n >= 4 && n <= 14), load::toString);
    }

    private Set<String> subset(Settings settings, Backend[] fleet) {
        Fixture fixture = new Fixture(settings).list(fleet);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(sendAndEnd(fixture, Outcome.OK, 100_000));
        }
        return used;
    }

    @Test
    void sameEventsGiveSameActions() {
        Fixture first = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(9));
        Fixture second = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(9));
        for (int i = 0; i < 200; i++) {
            nextRequest = i + 1;
            String backend = sendAndEnd(first, Outcome.values()[i % 8], 50_000 + i);
            nextRequest = i + 1;
            assertEquals(backend, sendAndEnd(second, Outcome.values()[i % 8], 50_000 + i));
        }
        assertEquals(first.actions, second.actions);
    }

    /** A request keeps the settings under which it arrived; estimates are kept by class name. */
    @Test
    void newSettingsDoNotChangeOpenRequestsAndEstimates() {
        Fixture fixture = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        fixture.list(fleet(4));
        for (int i = 0; i < 30; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        double before = speed(fixture, "b0");
        fixture.arrive(nextRequest, 4 * SECOND);
        RequestClass changed = requestClass(Effect.ONCE, KeyScope.ALL);
        RequestClass added = new RequestClass("d", Effect.REPEATABLE, KeyScope.ALL, 1, SECOND, 4 * SECOND, 1, 0, false);
        Balancer.Limits fewer = new Balancer.Limits(true, true, false, false, false, 2, 1000, 1, 200_000, SECOND);
        fixture.on(new Balancer.SettingsChanged(settings(List.of(REPEATABLE, changed, added), fewer)));
        assertEquals(before, speed(fixture, "b0"));
        int sent = fixture.sent.size();
        fixture.outcome(0, Outcome.ERROR, 1000);
        fixture.outcome(1, Outcome.ERROR, 1000);
        fixture.outcome(2, Outcome.ERROR, 1000);
        assertEquals(sent + 3, fixture.sent.size(), "four attempts, by the settings at its arrival");
        fixture.arrive(nextRequest + 1, 2, 4 * SECOND);
        fixture.outcome(0, Outcome.ERROR, 1000);
        fixture.outcome(1, Outcome.ERROR, 1000);
        assertEquals(sent + 5, fixture.sent.size(), "two attempts, by the new settings");
        assertEquals("refuse " + (nextRequest + 1), fixture.lastAction());
        fixture.arrive(nextRequest + 2, 1, 4 * SECOND);
        fixture.outcome(0, Outcome.ERROR, 1000);
        assertEquals("fail " + (nextRequest + 2), fixture.lastAction(), "its new effect forbids another attempt");
    }

    /** Times of a body in pieces count from its last byte; once a part of it is forwarded, it is not sent again. */
    @Test
    void bodyInPiecesIsTimedFromItsEndAndNotSentAgain() {
        Fixture fixture = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        fixture.list(fleet(4));
        for (int i = 0; i < 30; i++) {
            sendAndEnd(fixture, Outcome.OK, 100_000);
        }
        fixture.arrive(nextRequest, 4 * SECOND);
        fixture.now += 10 * SECOND;
        fixture.on(Balancer.BodyState.complete(nextRequest, fixture.now));
        fixture.now += SECOND;
        int sent = fixture.sent.size();
        fixture.outcome(0, Outcome.ERROR, SECOND);
        assertEquals(sent + 1, fixture.sent.size(), "its deadline began with its last byte");
        fixture.on(Balancer.BodyState.partlySent(nextRequest));
        fixture.outcome(1, Outcome.ERROR, 1000);
        assertEquals(sent + 1, fixture.sent.size());
        assertEquals("refuse " + nextRequest, fixture.lastAction());
    }

    /** The start of a long answer is its sample; its end, long after, is not. */
    @Test
    void longAnswerIsSampledOnce() {
        Fixture fixture = steady(Effect.REPEATABLE);
        fixture.arrive(nextRequest, 4 * SECOND);
        String backend = fixture.lastBackend();
        fixture.now += 100_000;
        fixture.on(new Balancer.StreamStarted(nextRequest, 0, backend, 100_000));
        double before = speed(fixture, backend);
        fixture.now += 10 * SECOND;
        fixture.on(new Balancer.AttemptEnded(nextRequest, 0, backend, true, Outcome.OK, 10 * SECOND, null));
        assertEquals(before, speed(fixture, backend));
    }

    /**
     * A new process that has learnt nothing sends first calls to each backend, also to those that hang, and all clients
     * are connected to it.
     */
    @Test
    void learntStateIsRestoredInTheNextProcess() {
        Fixture old = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        old.list(fleet(3));
        for (int i = 0; i < 60; i++) {
            String backend = sendOne(old);
            old.outcome(0, Outcome.OK, backend.equals("b1") ? 900_000 : 50_000);
        }
        LearntState learnt = Handover.export(old.balancer);
        assertTrue(learnt.sane());
        assertTrue(
                learnt.servers().get("b1").speed() < learnt.servers().get("b0").speed() * 0.8);
        Fixture next = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        next.now = old.now;
        Backend[] fleet = fleet(3);
        fleet[2] = Fixture.with(fleet[2], Balancer.BackendState.READY, next.now);
        next.list(fleet);
        Handover.restore(next.balancer, learnt, next.now, 100_000);
        assertEquals(learnt.servers().get("b1").speed(), speed(next, "b1"));
        Fixture late = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(fleet(3));
        Handover.restore(late.balancer, learnt, late.now, 100 * SECOND);
        assertEquals(
                late.balancer.state().typicalSpeed,
                late.balancer
                        .estimates()
                        .effective(late.balancer.state().backends.get("b1"), false),
                0.01,
                "mostly back at the typical speed");
        assertTrue(
                !next.balancer.state().backends.get("b2").called,
                "restarted since: the estimate is of an earlier start");
        int slow = 0;
        for (int i = 0; i < 50; i++) {
            slow += sendOne(next).equals("b1") ? 1 : 0;
            next.outcome(0, Outcome.OK, 50_000);
        }
        assertTrue(slow < 10, "sent " + slow + " of 50 to the slow one");
    }

    /**
     * The exported rate is that of a warm backend of mean size, and not a rate for each unit of size, because the list
     * may give sizes on another scale later.
     */
    @Test
    void warmRateIsKeptWhenTheScaleOfSizesChanges() {
        Fixture old = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(fleetOfSize(2));
        for (int i = 0; i < 100; i++) {
            sendOne(old);
            old.outcome(0, Outcome.OK, 50_000);
        }
        LearntState learnt = Handover.export(old.balancer);
        assertEquals(20.0 / 3, learnt.warmRate(), 0.5, "a third of twenty a second");
        Fixture next = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(fleetOfSize(10));
        Handover.restore(next.balancer, learnt, next.now, 0);
        assertEquals(learnt.warmRate(), Handover.export(next.balancer).warmRate(), 1e-9);
        assertEquals(learnt.warmRate() / 10, next.balancer.state().warmAnswerRate, 1e-9);
    }

    private static Backend[] fleetOfSize(double size) {
        return Arrays.stream(fleet(3))
                .map(backend ->
                        new Backend(backend.id(), backend.zone(), backend.cell(), size, backend.state(), 0, "k"))
                .toArray(Backend[]::new);
    }

    private String sendOne(Fixture fixture) {
        fixture.arrive(nextRequest++, 4 * SECOND);
        fixture.now += 50_000;
        return fixture.lastBackend();
    }
}
