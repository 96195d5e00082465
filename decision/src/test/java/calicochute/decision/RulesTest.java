package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.settings;
import static calicochute.decision.Fixture.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.ClientGone;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Limits;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rules on repeats, final answers, list changes and cold starts. */
class RulesTest {
    private static final Backend A = backend("a", "z1", 1);
    private static final Backend SAME_CELL = backend("b", "z1", 1);
    private static final Backend SAME_ZONE = backend("c", "z1", 2);
    private static final Backend OTHER_ZONE = backend("d", "z2", 3);

    /** What follows when the only attempt, on A, has ended: a send to the other backend, a refusal or a failure. */
    @ParameterizedTest
    @CsvSource({
        "REPEATABLE, ALL,  ERROR,          d, 0,       send",
        "REPEATABLE, ALL,  TIMED_OUT,      d, 0,       send",
        "REPEATABLE, ALL,  RESET,          d, 0,       send",
        "ONCE,       ALL,  ERROR,          d, 0,       fail",
        "ONCE,       ALL,  TIMED_OUT,      d, 0,       fail",
        "ONCE,       ALL,  RESET,          d, 0,       fail",
        "ONCE,       ALL,  CANCELLED,      d, 0,       fail",
        "ONCE,       ALL,  FULL,           d, 0,       send",
        "ONCE,       ALL,  CONNECT_FAILED, d, 0,       send",
        "ONCE,       ALL,  MOOT,           d, 0,       send",
        "KEYED,      ALL,  ERROR,          d, 0,       send",
        "KEYED,      ALL,  ERROR,          d, 2000000, refuse",
        "KEYED,      ZONE, ERROR,          c, 0,       send",
        "KEYED,      ZONE, ERROR,          c, 1999999, send",
        "KEYED,      ZONE, ERROR,          c, 2000000, fail",
        "KEYED,      ZONE, ERROR,          d, 0,       fail",
        "KEYED,      ZONE, FULL,           d, 0,       send",
        "KEYED,      CELL, RESET,          b, 0,       send",
        "KEYED,      CELL, RESET,          c, 0,       fail",
        "KEYED,      CELL, RESET,          b, 2000000, fail",
        "KEYED,      CELL, MOOT,           c, 2000000, send",
    })
    void requestNeverTakesEffectTwice(
            Effect effect, KeyScope scope, Outcome outcome, String other, long delay, String action) {
        Fixture fixture = Fixture.of(effect, scope).list(A);
        fixture.arrive(1, 4 * SECOND);
        Backend second = List.of(SAME_CELL, SAME_ZONE, OTHER_ZONE).stream()
                .filter(backend -> backend.id().equals(other))
                .findFirst()
                .orElseThrow();
        fixture.list(ListKind.CHANGES, second, with(A, BackendState.DRAINING, 0));
        fixture.now += delay;
        fixture.outcome(0, outcome, delay);
        String expected = action + " 1" + (action.equals("send") ? " " + other : "");
        assertEquals(expected, fixture.lastAction());
    }

    @Test
    void onlyOneAttemptIsPendingAtATime() {
        for (boolean allowed : new boolean[] {true, false}) {
            Limits limits = new Limits(false, allowed, false, false, false, 4, 1000, 1, 0, 0);
            Fixture fixture = new Fixture(settings(List.of(requestClass(Effect.REPEATABLE, KeyScope.ALL)), limits));
            fixture.list(A, SAME_CELL);
            fixture.arrive(1, 4 * SECOND);
            fixture.now += 100_000;
            fixture.outcome(0, Outcome.OK, 100_000);
            fixture.arrive(2, 4 * SECOND);
            fixture.advanceTo(fixture.now + 3 * SECOND);
            assertEquals(2, fixture.sent.size());
        }
    }

    @Test
    void attemptsStayWithinTheLimit() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(A, SAME_CELL, SAME_ZONE, OTHER_ZONE);
        fixture.arrive(1, 4 * SECOND);
        for (int i = 0; i < 4; i++) {
            fixture.now += 1000;
            fixture.outcome(i, Outcome.FULL, 1000);
        }
        assertEquals(4, fixture.sent.size());
        assertEquals("refuse 1", fixture.lastAction());
    }

    @Test
    void timeOutAtTheDeadlineIsAnsweredAtOnce() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(A);
        fixture.arrive(1, 2 * SECOND);
        fixture.now += 2 * SECOND;
        fixture.outcome(0, Outcome.TIMED_OUT, 2 * SECOND);
        assertEquals("fail 1", fixture.lastAction());
    }

    @Test
    void heldRequestIsSentToANewBackendOrAnsweredAtItsDeadline() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list();
        fixture.arrive(1, 2 * SECOND);
        fixture.arrive(2, SECOND / 10);
        assertTrue(fixture.sent.isEmpty());
        fixture.advanceTo(fixture.now + SECOND / 10);
        assertEquals("refuse 2", fixture.lastAction());
        fixture.list(A);
        fixture.advanceTo(fixture.now + SECOND);
        assertEquals("send 1 a", fixture.lastAction());
    }

    @Test
    void nothingIsSentAfterTheClientIsGone() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(A, OTHER_ZONE);
        fixture.arrive(1, 2 * SECOND);
        fixture.on(new ClientGone(1));
        fixture.outcome(0, Outcome.CANCELLED, 1000);
        fixture.advanceTo(fixture.now + 3 * SECOND);
        assertEquals(1, fixture.sent.size());
        fixture.on(new ClientGone(1));
        assertEquals("cancel 1 0", fixture.lastAction());
    }

    @Test
    void drainingAndGoneBackendsGetNoRequests() {
        Fixture fixture = Fixture.of(Effect.REPEATABLE, KeyScope.ALL).list(A, SAME_CELL, SAME_ZONE);
        fixture.list(ListKind.CHANGES, with(A, BackendState.DRAINING, 0), with(SAME_CELL, BackendState.GONE, 0));
        for (int i = 0; i < 50; i++) {
            fixture.arrive(i, SECOND);
            assertEquals("c", fixture.lastBackend());
        }
        fixture.list(ListKind.FULL, OTHER_ZONE);
        fixture.arrive(99, SECOND);
        assertEquals("d", fixture.lastBackend());
    }

    /** Many instances hear of a cold backend at the same moment: together they stay within its budget. */
    @Test
    void allInstancesTogetherStayWithinTheColdStartBudget() {
        List<Long> sends = sendsToColdBackend(1);
        double warmPerSecond = (INSTANCES * 240 - sends.size()) / 12.0 / 3;
        double share = 0.2 + 0.8 * 6 / 20;
        assertFalse(sends.isEmpty());
        for (long from : sends) {
            long within = sends.stream()
                    .filter(t -> t >= from && t < from + 2 * SECOND)
                    .count();
            assertTrue(within <= 3 * share * warmPerSecond * 2, () -> within + " sends in one window");
        }
    }

    /**
     * The load of a warm backend would crash one of a quarter of its size. A larger backend gets the budget of the mean
     * size, because lists that lower sizes by load show all idle backends as large. An invalid size counts as 1.
     */
    @ParameterizedTest
    @CsvSource({"0.25, 0.25", "0.5, 0.5", "8, 1", "0, 1", "-3, 1", "NaN, 1"})
    void smallColdBackendGetsAProportionalShare(double weight, double share) {
        double all = sendsToColdBackend(1).size();
        double sends = sendsToColdBackend(weight).size();
        assertEquals(share, sends / all, 0.08, () -> sends + " sends, " + all + " to one of the size of the others");
    }

    private static final int INSTANCES = 40;

    /**
     * Times of all instances' sends to a backend of this size that starts at the sixth of twelve seconds, beside three
     * warm ones of size 1.
     */
    private static List<Long> sendsToColdBackend(double weight) {
        int instances = INSTANCES;
        long started = 1000 * SECOND + 6 * SECOND;
        List<Long> sends = new ArrayList<>();
        for (int instance = 0; instance < instances; instance++) {
            Fixture fixture = new Fixture(new Balancer.Settings(
                    instance,
                    instance,
                    instances,
                    0,
                    true,
                    false,
                    true,
                    "z",
                    5000,
                    1,
                    List.of(),
                    List.of(requestClass(Effect.REPEATABLE, KeyScope.ALL)),
                    List.of(),
                    Fixture.LIMITS,
                    Fixture.RULES,
                    new Balancer.Goal(1, 0, 0, 0, 0, 0, 0)));
            fixture.list(backend("w1", "z", 0), backend("w2", "z", 0), backend("w3", "z", 0));
            for (int i = 0; i < 240; i++) {
                if (i == 120) {
                    fixture.list(
                            ListKind.CHANGES,
                            new Balancer.Backend("cold", "z", 0, weight, BackendState.READY, started, "k"));
                }
                fixture.arrive(i, SECOND);
                if (fixture.lastBackend().equals("cold")) {
                    sends.add(fixture.now);
                }
                fixture.now += 20_000;
                fixture.outcome(0, Outcome.OK, 20_000);
                fixture.now += 30_000;
            }
        }
        return sends;
    }

    @Test
    void subscribesAtTheStartAndAgainAfterFailures() {
        Fixture fixture =
                new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS, true, 0, 4));
        fixture.list(ListKind.RESTORED, A);
        for (int i = 0; i < 3; i++) {
            fixture.advanceTo(fixture.now + 6 * SECOND);
            assertEquals(
                    i + 1,
                    fixture.actions.stream().filter("subscribe true"::equals).count());
            fixture.list(ListKind.UNAVAILABLE);
        }
        fixture.list(ListKind.CHANGES, OTHER_ZONE);
        fixture.advanceTo(fixture.now + 20 * SECOND);
        assertEquals(
                3, fixture.actions.stream().filter("subscribe true"::equals).count());
    }

    /**
     * An instance must have the list 6 s after the list service can be reached again: no delay takes more than half of
     * that.
     */
    @Test
    void delaysAreSpreadAndShortHoweverOftenTheListServiceFailed() {
        Set<Long> delays = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Fixture fixture = new Fixture(
                    settings(seed, List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS, true, 0, 4));
            for (int i = 0; i < 20; i++) {
                fixture.list(ListKind.UNAVAILABLE);
                long delay = fixture.timers.get(fixture.timers.size() - 1).at() - fixture.now;
                assertTrue(delay <= 3 * SECOND + 1 && (i < 3 || delay >= SECOND), "delay " + i + ": " + delay);
                delays.add(delay);
            }
        }
        assertTrue(delays.size() > 390, delays.size() + " of 400");
    }
}
