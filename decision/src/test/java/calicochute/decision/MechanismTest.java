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

/** The parts of the mechanism, against numbers worked out by hand. */
class MechanismTest {
    private static final RequestClass REPEATABLE = requestClass(Effect.REPEATABLE, KeyScope.ALL);
    private long nextRequest = 1;

    private String one(Fixture f, Outcome outcome, long elapsed) {
        return f.one(nextRequest++, outcome, elapsed);
    }

    private static double speed(Fixture f, String backend) {
        return f.choice.known().servers.get(backend).speed;
    }

    @Test
    void sampleWeighsByTheTimeSinceTheLast() {
        Fixture f = steady(Effect.REPEATABLE);
        double before = speed(f, "b0");
        f.now += 200_000;
        one(f, Outcome.OK, 50_000);
        // The typical latency moves a 32nd of the way from 100 to 50 ms, to 98.4375: this sample's speed is 1.96875.
        double alpha = 1 - Math.exp(-0.25 / 3);
        assertEquals(before + alpha * (1.96875 - before), speed(f, "b0"), 1e-6);
    }

    /** One backend with forty answers of 100 ms behind it, ten a second. */
    Fixture steady(Effect effect) {
        Fixture f = Fixture.of(effect, KeyScope.ALL).list(fleet(1));
        for (int i = 0; i < 40; i++) {
            one(f, Outcome.OK, 100_000);
        }
        return f;
    }

    /** DANGER: after a silence alpha is near 1, and one sample would be the whole verdict. */
    @Test
    void oneSampleNeverOutweighsThePast() {
        Fixture f = steady(Effect.ONCE);
        double before = speed(f, "b0");
        f.arrive(nextRequest++, 200 * SECOND);
        f.now += 100 * SECOND;
        f.outcome(0, Outcome.ERROR, 100 * SECOND);
        assertEquals(before / 2, speed(f, "b0"), 1e-9);
    }

    /** Where a caller sees few answers, ageing slows down so that about twelve of them count. */
    @Test
    void fewSamplesAgeSlowly() {
        Fixture f = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 60; i++) {
            one(f, Outcome.OK, 100_000);
            f.now += 1_900_000;
        }
        String backend = one(f, Outcome.OK, 10_000);
        // The sample's speed is bounded at 3. Its gap is some seconds; at the paper's rate it would weigh over 0.9.
        double moved = (speed(f, backend) - 1) / 2;
        assertTrue(moved > 0.05 && moved < 0.2, "moved by " + moved + " of the way");
    }

    @Test
    void failuresCountAsZeroAndCancelledOrMootAttemptsNotAtAll() {
        for (Outcome outcome : Outcome.values()) {
            Fixture f = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(1));
            one(f, Outcome.OK, 100_000);
            double before = speed(f, "b0");
            one(f, outcome, 100_000);
            switch (outcome) {
                case OK, CANCELLED, MOOT -> assertEquals(before, speed(f, "b0"), 1e-9, outcome::name);
                default -> assertTrue(speed(f, "b0") <= before * 0.75 + 1e-9, outcome::name);
            }
        }
    }

    @Test
    void everyBackendInUseGetsAFirstCall() {
        Fixture f = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(6));
        Set<String> called = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            called.add(one(f, Outcome.OK, 100_000));
        }
        assertEquals(6, called.size());
    }

    /** Two backends whose speeds differ, each request alone: frequencies follow exp(speed / best / tau). */
    @Test
    void softmaxFollowsTheComputedProbabilities() {
        checkSoftmax(4 * SECOND, 0.07);
        checkSoftmax(300_000, 0.04);
    }

    /** Where calls carry the class's whole deadline, the time left says nothing: the target band always. */
    @Test
    void headroomIsFixedBelowTheFirstTierWithoutDeadlines() {
        Settings s = settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS);
        for (long left : new long[] {140_000, 4 * SECOND}) {
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
                            s.classes(),
                            List.of(),
                            s.limits(),
                            s.rules(),
                            s.goal())),
                    left,
                    0.04);
        }
    }

    private void checkSoftmax(long left, double tau) {
        checkSoftmax(Fixture.of(Effect.ONCE, KeyScope.ALL), left, tau);
    }

    private void checkSoftmax(Fixture f, long left, double tau) {
        f.list(fleet(2));
        for (int i = 0; i < 60; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
            long elapsed = f.lastBackend().equals("b0") ? 80_000 : 120_000;
            f.now += elapsed;
            f.outcome(0, Outcome.OK, elapsed);
        }
        double expected = 0;
        int picked = 0;
        int draws = 4000;
        for (int i = 0; i < draws; i++) {
            double a = f.choice.estimates().effective(f.choice.known().servers.get("b0"), false);
            double b = f.choice.estimates().effective(f.choice.known().servers.get("b1"), false);
            double best = Math.max(a, b);
            double ea = Math.exp(a / best / tau);
            double eb = Math.exp(b / best / tau);
            expected += ea / (ea + eb);
            f.arrive(nextRequest++, left);
            picked += f.lastBackend().equals("b0") ? 1 : 0;
            f.outcome(0, Outcome.CANCELLED, 0);
        }
        assertEquals(expected / draws, (double) picked / draws, 0.025);
        assertTrue(expected / draws > 0.6);
    }

    @Test
    void walkStaysOnABackendInTimeAndMovesOnOtherwise() {
        Fixture f = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 40; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
            long elapsed = 100_000 + 20_000L * (f.lastBackend().charAt(1) - '0');
            f.now += elapsed;
            f.outcome(0, Outcome.OK, elapsed);
        }
        // Time left is under 0.3 x 5 x the best latency, so these are walked; the best backend answers in time.
        f.arrive(nextRequest++, 140_000);
        String first = f.lastBackend();
        f.outcome(0, Outcome.CANCELLED, 0);
        f.arrive(nextRequest++, 140_000);
        assertEquals(first, f.lastBackend());
        f.outcome(0, Outcome.ERROR, 10_000);
        f.arrive(nextRequest++, 140_000);
        assertNotEquals(first, f.lastBackend());
    }

    /** DANGER: a hung backend answers nothing, so nothing but age speaks against it before the time-outs. */
    @Test
    void ageOfAttemptsOutBoundsAHungBackend() {
        Fixture f = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        f.list(fleet(3));
        for (int i = 0; i < 30; i++) {
            one(f, Outcome.OK, 100_000);
        }
        f.arrive(nextRequest++, 4 * SECOND);
        String hung = f.lastBackend();
        f.now += 2 * SECOND;
        int again = 0;
        for (int i = 0; i < 200; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
            again += f.lastBackend().equals(hung) ? 1 : 0;
            f.outcome(0, Outcome.OK, 100_000);
        }
        assertTrue(again < 20, "sent " + again + " of 200 to the hung backend");
    }

    /** DANGER: a burst from one caller crowds the backend it ranks best before any sample ages. */
    @Test
    void ownAttemptsOutSpreadABurst() {
        Fixture f = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(6));
        for (int i = 0; i < 60; i++) {
            one(f, Outcome.OK, 100_000);
        }
        Map<String, Integer> burst = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            f.arrive(nextRequest++, 4 * SECOND);
            burst.merge(f.lastBackend(), 1, Integer::sum);
        }
        assertTrue(burst.values().stream().allMatch(n -> n <= 12), burst::toString);
    }

    /** DANGER: a copy of a late attempt is most often a copy of slow work, when nothing can bear more work. */
    @Test
    void aLateAttemptIsLeftAlone() {
        Fixture f = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(3));
        for (int i = 0; i < 30; i++) {
            one(f, Outcome.OK, 100_000);
        }
        f.arrive(nextRequest++, 4 * SECOND);
        int said = f.said.size();
        f.pass(f.now + 3 * SECOND);
        assertEquals(said, f.said.size());
    }

    /** DANGER: connections that a burst left idle keep a small table full for everyone else. */
    @Test
    void idleConnectionsAreClosedOnceAConnectFailed() {
        for (boolean failed : new boolean[] {false, true}) {
            Fixture f = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(1));
            long first = nextRequest;
            for (int i = 0; i < 3; i++) {
                f.arrive(nextRequest++, 4 * SECOND);
            }
            f.now += 100_000;
            for (long r = first; r < nextRequest; r++) {
                f.on(new Balancer.AttemptEnded(r, 0, "b0", true, Outcome.OK, 100_000, null));
            }
            one(f, failed ? Outcome.CONNECT_FAILED : Outcome.OK, 100_000);
            f.now += SECOND;
            f.arrive(nextRequest++, 4 * SECOND);
            assertEquals(failed, f.said.contains("close b0"));
        }
    }

    @Test
    void subsetsAreStableBalancedAndDeterministic() {
        int callers = 60;
        int size = 100;
        Map<String, Integer> load = new HashMap<>();
        for (int me = 0; me < callers; me++) {
            Settings s = settings(List.of(REPEATABLE), Fixture.LIMITS, false, me, callers);
            Set<String> used = subset(s, fleet(size));
            assertEquals(used, subset(s, fleet(size)));
            assertTrue(used.size() < 20);
            Set<String> kept = subset(s, fleet(size - 1));
            kept.retainAll(used);
            assertTrue(kept.size() >= used.size() - 2, "one backend less moved more than its place");
            used.forEach(b -> load.merge(b, 1, Integer::sum));
        }
        assertEquals(size, load.size());
        assertTrue(load.values().stream().allMatch(n -> n >= 4 && n <= 14), load::toString);
    }

    private Set<String> subset(Settings settings, Backend[] fleet) {
        Fixture f = new Fixture(settings).list(fleet);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(one(f, Outcome.OK, 100_000));
        }
        return used;
    }

    @Test
    void sameEventsGiveSameActions() {
        Fixture a = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(9));
        Fixture b = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(fleet(9));
        for (int i = 0; i < 200; i++) {
            nextRequest = i + 1;
            String first = one(a, Outcome.values()[i % 8], 50_000 + i);
            nextRequest = i + 1;
            assertEquals(first, one(b, Outcome.values()[i % 8], 50_000 + i));
        }
        assertEquals(a.said, b.said);
    }

    /** What a request began with holds to its end; estimates outlive new settings, by class name. */
    @Test
    void newSettingsLeaveOpenRequestsAndEstimatesAlone() {
        Fixture f = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        f.list(fleet(4));
        for (int i = 0; i < 30; i++) {
            one(f, Outcome.OK, 100_000);
        }
        double before = speed(f, "b0");
        f.arrive(nextRequest, 4 * SECOND);
        RequestClass changed = requestClass(Effect.ONCE, KeyScope.ALL);
        RequestClass added = new RequestClass("d", Effect.REPEATABLE, KeyScope.ALL, 1, SECOND, 4 * SECOND, 1, 0, false);
        Balancer.Limits fewer = new Balancer.Limits(true, true, false, false, false, 2, 1000, 1, 200_000, SECOND);
        f.on(new Balancer.Retuned(settings(List.of(REPEATABLE, changed, added), fewer)));
        assertEquals(before, speed(f, "b0"));
        int sent = f.sent.size();
        f.outcome(0, Outcome.ERROR, 1000);
        f.outcome(1, Outcome.ERROR, 1000);
        f.outcome(2, Outcome.ERROR, 1000);
        assertEquals(sent + 3, f.sent.size(), "four attempts, as when it arrived");
        f.arrive(nextRequest + 1, 2, 4 * SECOND);
        f.outcome(0, Outcome.ERROR, 1000);
        f.outcome(1, Outcome.ERROR, 1000);
        assertEquals(sent + 5, f.sent.size(), "two attempts, as it is now");
        assertEquals("refuse " + (nextRequest + 1), f.lastSaid());
        f.arrive(nextRequest + 2, 1, 4 * SECOND);
        f.outcome(0, Outcome.ERROR, 1000);
        assertEquals("fail " + (nextRequest + 2), f.lastSaid(), "its new effect forbids another attempt");
    }

    /**
     * A body in pieces: times count from its last byte, and once some of it is handed on there is no further attempt.
     */
    @Test
    void aBodyInPiecesIsTimedFromItsEndAndNotRepeated() {
        Fixture f = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        f.list(fleet(4));
        for (int i = 0; i < 30; i++) {
            one(f, Outcome.OK, 100_000);
        }
        f.arrive(nextRequest, 4 * SECOND);
        f.now += 10 * SECOND;
        f.on(new Balancer.BodyState(nextRequest, false, true));
        f.now += SECOND;
        int sent = f.sent.size();
        f.outcome(0, Outcome.ERROR, SECOND);
        assertEquals(sent + 1, f.sent.size(), "its deadline began with its last byte");
        f.on(new Balancer.BodyState(nextRequest, true, false));
        f.outcome(1, Outcome.ERROR, 1000);
        assertEquals(sent + 1, f.sent.size());
        assertEquals("refuse " + nextRequest, f.lastSaid());
    }

    /** The first piece of a long answer is its sample; the last one, long after, is not. */
    @Test
    void aLongAnswerIsSampledOnce() {
        Fixture f = steady(Effect.REPEATABLE);
        f.arrive(nextRequest, 4 * SECOND);
        String backend = f.lastBackend();
        f.now += 100_000;
        f.on(new Balancer.StreamStarted(nextRequest, 0, backend, 100_000));
        double before = speed(f, backend);
        f.now += 10 * SECOND;
        f.on(new Balancer.AttemptEnded(nextRequest, 0, backend, true, Outcome.OK, 10 * SECOND, null));
        assertEquals(before, speed(f, backend));
    }

    /**
     * DANGER: a newcomer's first call to each server is one to a hung one, again and again, and all clients are its
     * own.
     */
    @Test
    void whatOneModuleHasLearntHoldsForTheNext() {
        Fixture old = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        old.list(fleet(3));
        for (int i = 0; i < 60; i++) {
            String backend = oneOn(old);
            old.outcome(0, Outcome.OK, backend.equals("b1") ? 900_000 : 50_000);
        }
        Learnt learnt = Handover.of(old.choice);
        assertTrue(learnt.sane());
        assertTrue(
                learnt.servers().get("b1").speed() < learnt.servers().get("b0").speed() * 0.8);
        Fixture next = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS));
        next.now = old.now;
        Backend[] fleet = fleet(3);
        fleet[2] = Fixture.with(fleet[2], Balancer.BackendState.READY, next.now);
        next.list(fleet);
        Handover.recall(next.choice, learnt, next.now, 100_000);
        assertEquals(learnt.servers().get("b1").speed(), speed(next, "b1"));
        Fixture late = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(fleet(3));
        Handover.recall(late.choice, learnt, late.now, 100 * SECOND);
        assertEquals(
                late.choice.known().typical,
                late.choice.estimates().effective(late.choice.known().servers.get("b1"), false),
                0.01,
                "mostly forgotten since");
        assertTrue(!next.choice.known().servers.get("b2").polled, "started since: not the server that was known");
        int slow = 0;
        for (int i = 0; i < 50; i++) {
            slow += oneOn(next).equals("b1") ? 1 : 0;
            next.outcome(0, Outcome.OK, 50_000);
        }
        assertTrue(slow < 10, "sent " + slow + " of 50 to the slow one");
    }

    /**
     * What a mean warm server took is noted, not what it took for each unit of a size that may be told otherwise by
     * then.
     */
    @Test
    void whatWarmOnesTookOutlivesAnotherScaleOfSizes() {
        Fixture old = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(sized(2));
        for (int i = 0; i < 100; i++) {
            oneOn(old);
            old.outcome(0, Outcome.OK, 50_000);
        }
        Learnt learnt = Handover.of(old.choice);
        assertEquals(20.0 / 3, learnt.warmRate(), 0.5, "a third of twenty a second");
        Fixture next = new Fixture(settings(List.of(REPEATABLE), Fixture.LIMITS)).list(sized(10));
        Handover.recall(next.choice, learnt, next.now, 0);
        assertEquals(learnt.warmRate(), Handover.of(next.choice).warmRate(), 1e-9);
        assertEquals(learnt.warmRate() / 10, next.choice.known().warmRate, 1e-9);
    }

    private static Backend[] sized(double size) {
        return Arrays.stream(fleet(3))
                .map(b -> new Backend(b.id(), b.zone(), b.cell(), size, b.state(), 0, "k"))
                .toArray(Backend[]::new);
    }

    private String oneOn(Fixture f) {
        f.arrive(nextRequest++, 4 * SECOND);
        f.now += 50_000;
        return f.lastBackend();
    }
}
