package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.fleet;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests are admitted, which are refused first, and what counts as overload. */
class AdmissionTest {
    private long nextRequest = 1000;

    private String sendAndEnd(Fixture fixture, Outcome outcome, long elapsed) {
        return fixture.sendAndEnd(nextRequest++, outcome, elapsed);
    }

    @Test
    void overloadRefusesRequestsOfLessWorthFirst() {
        RequestClass valuable =
                new RequestClass("valuable", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 9, 0.5, false);
        RequestClass cheap = new RequestClass("cheap", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 1, 0.5, false);
        Fixture fixture = new Fixture(settings(List.of(valuable, cheap), Fixture.LIMITS)).list(fleet(4));
        int[] refused = new int[2];
        for (int i = 0; i < 3000; i++) {
            int actions = fixture.actions.size();
            fixture.arrive(nextRequest++, i % 2, 4 * SECOND);
            refused[i % 2] += fixture.actions.get(actions).startsWith("refuse") ? 1 : 0;
            fixture.now += 20_000;
            // The fleet answers one request every 40 ms, the oldest first: half of the load.
            if (i % 2 == 1) {
                fixture.answerOldest();
            }
        }
        assertFalse(refused[0] * 3 > refused[1], refused[0] + " valuable and " + refused[1] + " cheap refused");
        assertTrue(refused[1] > 600);
    }

    /** Backends that turn requests away produce no answers, so that overload would look like low load. */
    @Test
    void attemptsTurnedAwayLowerTheLimit() {
        Fixture fixture = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        fixture.list(fleet(4));
        int refusedUnsent = 0;
        for (int i = 0; i < 400; i++) {
            int sent = fixture.sent.size();
            fixture.arrive(nextRequest++, 4 * SECOND);
            refusedUnsent += fixture.sent.size() == sent ? 1 : 0;
            fixture.now += 20_000;
            if (i % 10 != 0 && fixture.sent.size() > sent) {
                fixture.outcome(0, Outcome.FULL, 300);
            }
        }
        assertTrue(refusedUnsent > 100, "only " + refusedUnsent + " refused");
    }

    /**
     * Connections that fail or hang are faults of their backends: if they counted as load, requests would be refused
     * while most backends are idle.
     */
    @Test
    void brokenConnectionsAreNotLoad() {
        Fixture fixture = new MechanismTest().steady(Effect.ONCE);
        for (int i = 0; i < 200; i++) {
            sendAndEnd(
                    fixture,
                    i % 4 == 0 ? Outcome.CONNECT_FAILED : i % 4 == 2 ? Outcome.TIMED_OUT : Outcome.OK,
                    i % 4 == 0 ? 1_000 : i % 4 == 2 ? SECOND : 100_000);
            for (int n = 1;
                    n < fixture.sent.size() && fixture.balancer.state().backends.get("b0").pending > 0;
                    n++) {
                fixture.outcome(n, Outcome.OK, 100_000);
            }
        }
        int sent = fixture.sent.size();
        for (int i = 0; i < 30; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
        }
        assertEquals(sent + 30, fixture.sent.size());
    }

    /**
     * If all backends hang or are overloaded, only time-outs show it. When each time-out was put down to a backend that
     * hangs, one of three balancers sent its whole load for three seconds to backends that did not answer.
     */
    @Test
    void timeOutsOfAllRequestsAreLoad() {
        Fixture fixture = new MechanismTest().steady(Effect.ONCE);
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            int actions = fixture.actions.size();
            fixture.arrive(nextRequest++, SECOND);
            refused += fixture.actions.get(actions).startsWith("refuse") ? 1 : 0;
            fixture.now += 50_000;
            // Twenty attempts are pending at a time, each until it times out after ten typical latencies.
            fixture.timeOutOldest(SECOND);
        }
        assertTrue(refused > 50, "only " + refused + " refused while none of 200 was answered");
    }

    /** Backends that turn requests away are no overload while another one serves these requests at once. */
    @Test
    void fullBackendIsNotLoadWhileAnotherIsFree() {
        Fixture fixture = Fixture.of(Effect.ONCE, KeyScope.ALL).list(fleet(4));
        for (int i = 0; i < 106; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
            fixture.now += 100_000;
            for (int full = 0; full < 2 && i >= 100; full++) {
                fixture.outcome(full, Outcome.FULL, 300);
            }
            fixture.outcome(i < 100 ? 0 : 2, Outcome.OK, 100_000);
        }
        int sent = fixture.sent.size();
        for (int i = 0; i < 30; i++) {
            fixture.arrive(nextRequest++, 4 * SECOND);
        }
        assertEquals(sent + 30, fixture.sent.size());
    }

    /** Without queueing an answer may take much of its objective; refusing requests would not make it faster. */
    @Test
    void steadyAnswersNearTheObjectiveAreNotOverload() {
        Fixture fixture = new Fixture(fromClients(true)).list(fleet(4));
        for (int i = 0; i < 2000; i++) {
            fixture.arrive(nextRequest++, 3 * SECOND);
            fixture.now += 40_000;
            // Fifteen requests are pending at any time, and each takes 0.6 of the objective.
            if (i >= 14) {
                fixture.answerOldest();
            }
        }
        assertTrue(fixture.actions.stream().noneMatch(s -> s.startsWith("refuse")));
    }

    /**
     * After an overload the limit is low, and few answers arrive that could raise it: it must not stay low on old
     * samples.
     */
    @Test
    void limitRisesWithinSecondsAfterAnOverload() {
        Fixture fixture = new Fixture(settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS));
        fixture.list(fleet(4));
        int[] sentBy = new int[4000];
        int answered = 0;
        int refusedLater = 0;
        for (int i = 0; i < sentBy.length; i++) {
            int actions = fixture.actions.size();
            fixture.arrive(nextRequest++, 4 * SECOND);
            sentBy[i] = fixture.sent.size();
            refusedLater += i >= 2000 && fixture.actions.get(actions).startsWith("refuse") ? 1 : 0;
            fixture.now += 5_000;
            // An answer takes at least 0.4 s. The fleet gives 200 answers a second, and 40 in the five seconds of
            // overload.
            if (i >= 80 && answered < sentBy[i - 80] && (i < 1000 || i >= 2000 || i % 5 == 0)) {
                fixture.answerOldest();
                answered++;
            }
        }
        assertTrue(refusedLater < 50, refusedLater + " refused after the overload");
    }

    /** The objective counts from the client's first try, so that a later try may be late from the start. */
    @Test
    void timeThatTheClientHasWaitedIsSubtractedFromTheObjective() {
        for (boolean marks : new boolean[] {true, false}) {
            Fixture fixture = new Fixture(fromClients(marks)).list(fleet(1));
            for (int i = 0; i < 20; i++) {
                fixture.arrive(nextRequest++, 3 * SECOND);
                assertEquals(SECOND, fixture.sent.get(fixture.sent.size() - 1).timeout());
                fixture.outcome(0, Outcome.OK, 200_000);
            }
            // A client waits four seconds in all, of which 0.5 s and then 0.9 s have passed.
            retry(fixture, 3_500_000);
            assertEquals(500_000, fixture.sent.get(fixture.sent.size() - 1).timeout());
            retry(fixture, 3_100_000);
            assertTrue(fixture.lastAction().startsWith("refuse"));
        }
    }

    /** Where retries are not marked, a different time left means nothing until the usual time left is known. */
    @Test
    void unmarkedTryCountsAsFirstUntilTheUsualTimeLeftIsKnown() {
        Fixture fixture = new Fixture(fromClients(false)).list(fleet(1));
        for (int i = 0; i < 20; i++) {
            fixture.arrive(nextRequest++, (i % 2 == 0 ? 3 : 2) * SECOND);
            assertEquals(SECOND, fixture.sent.get(fixture.sent.size() - 1).timeout());
            fixture.outcome(0, Outcome.OK, 200_000);
        }
    }

    /** Refused clients come back: if their retries were served in turn with first tries, all would be late. */
    @Test
    void nearTheLimitMarkedRetriesAreRefusedBeforeFirstTries() {
        Fixture fixture = new Fixture(fromClients(true)).list(fleet(4));
        int[] refused = new int[2];
        for (int i = 0; i < 4000; i++) {
            int actions = fixture.actions.size();
            fixture.on(new Balancer.Arrival(nextRequest++, 0, -1, null, 3 * SECOND, i % 2 == 1));
            refused[i % 2] += fixture.actions.get(actions).startsWith("refuse") ? 1 : 0;
            fixture.now += 45_000;
            if (i % 4 < 2) {
                fixture.answerOldest();
            }
        }
        assertTrue(
                refused[1] > 2 * refused[0] && refused[1] > 300,
                refused[0] + " first tries and " + refused[1] + " retries refused");
    }

    private static Settings fromClients(boolean marksRetries) {
        RequestClass requestClass =
                new RequestClass("c", Effect.REPEATABLE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 1, 0, false);
        Balancer.Limits limits = new Balancer.Limits(true, false, false, false, false, 4, 1000, 1, 0, 0);
        return new Settings(
                1,
                0,
                1,
                0,
                true,
                false,
                marksRetries,
                "z",
                5000,
                1,
                List.of(),
                List.of(requestClass),
                List.of(),
                limits,
                Fixture.RULES,
                new Balancer.Goal(1, 0, 0, 0, 0, 0, 0));
    }

    private void retry(Fixture fixture, long timeLeft) {
        fixture.on(new Balancer.Arrival(nextRequest++, 0, -1, null, timeLeft, true));
    }

    /** Requests must not be refused in one zone while another one is idle. */
    @Test
    void ownZoneIsPreferredOnlyFarFromTheLimit() {
        Settings base = settings(List.of(requestClass(Effect.ONCE, KeyScope.ALL)), Fixture.LIMITS);
        Settings priced = new Settings(
                base.seed(),
                0,
                1,
                0,
                true,
                false,
                true,
                "own",
                base.tick(),
                1,
                List.of(),
                base.classes(),
                List.of(),
                base.limits(),
                base.rules(),
                new Balancer.Goal(1, 0, 0, 0, 0.01, 0, 0));
        Fixture fixture = new Fixture(priced)
                .list(
                        backend("h1", "own", 0),
                        backend("h2", "own", 0),
                        backend("a1", "other", 0),
                        backend("a2", "other", 0));
        assertTrue(otherZoneShare(fixture, 2, 100_000) < 0.05);
        // Answers take 0.9 of the objective, so that the limit falls towards the number of open requests.
        otherZoneShare(fixture, 8, 900_000);
        double near = otherZoneShare(fixture, 8, 900_000);
        assertTrue(near > 0.3, "only " + near + " to the other zone");
    }

    /** The share of sends that go to the other zone, with {@code atATime} requests open at once. */
    private double otherZoneShare(Fixture fixture, int atATime, long elapsed) {
        int toOtherZone = 0;
        int before = fixture.sent.size();
        for (int i = 0; i < 100; i++) {
            int from = fixture.sent.size();
            for (int k = 0; k < atATime; k++) {
                fixture.arrive(nextRequest++, 20 * SECOND);
            }
            fixture.now += elapsed;
            for (Fixture.Sent sent : List.copyOf(fixture.sent.subList(from, fixture.sent.size()))) {
                toOtherZone += sent.backend().startsWith("a") ? 1 : 0;
                fixture.on(
                        new Balancer.AttemptEnded(sent.request(), 0, sent.backend(), true, Outcome.OK, elapsed, null));
            }
        }
        return (double) toOtherZone / (fixture.sent.size() - before);
    }
}
