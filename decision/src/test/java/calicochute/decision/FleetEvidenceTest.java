package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.requestClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Advised;
import calicochute.decision.Balancer.Arms;
import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.OfFleet;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What the fleet knows, arms of experiments, and what may not run twice. */
class FleetEvidenceTest {
    private static final RequestClass VIEW = requestClass(Effect.REPEATABLE, KeyScope.ALL);
    private static final RequestClass ORDER =
            new RequestClass("o", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 5, 0, false);
    private static final int VIEWS = 0, ORDERS = 1;
    private final Fixture f = new Fixture(Fixture.settings(List.of(VIEW, ORDER), Fixture.LIMITS));
    private long next = 1;

    private String ask(int cls, int arm, Outcome outcome) {
        int sent = f.sent.size();
        f.on(new Arrival(next++, cls, -1, null, 4 * SECOND, false, arm));
        assertEquals(sent + 1, f.sent.size());
        f.now += 100_000;
        String to = f.lastBackend();
        f.outcome(0, outcome, 100_000);
        return to;
    }

    /** Time goes on without anything happening. */
    private void pass(long micros) {
        f.now += micros;
        f.on(new Balancer.Timer(99, -1));
    }

    private void learn(int rounds) {
        for (int i = 0; i < rounds; i++) {
            ask(VIEWS, 0, Outcome.OK);
        }
    }

    @Test
    void whatMayNotRunTwiceMakesNoFirstCalls() {
        f.list(backend("old", "z", 0));
        learn(20);
        f.list(backend("old", "z", 0), backend("new", "z", 1));
        for (int i = 0; i < 20; i++) {
            assertEquals("old", ask(ORDERS, 0, Outcome.OK));
        }
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            met.add(ask(VIEWS, 0, Outcome.OK));
        }
        assertTrue(met.contains("new"), "a class that may run again finds out");
    }

    @Test
    void whatMayNotRunTwiceWaitsLongerForABadServer() {
        f.list(backend("good", "z", 0), backend("bad", "z", 1));
        learn(40);
        Server bad = f.choice.known().servers.get("bad");
        bad.speed = 0;
        pass(15 * SECOND);
        double other = f.choice.estimates().effective(bad, false);
        assertTrue(f.choice.estimates().effective(bad, true) < other / 2, "it takes it for half as well at most");
        for (int i = 0; i < 20; i++) {
            assertEquals("good", ask(ORDERS, 0, Outcome.OK));
        }
    }

    @Test
    void whereAllAreUnknownWhatMayNotRunTwiceIsServedAllTheSame() {
        f.list(backend("x", "z", 0), backend("y", "z", 1));
        ask(ORDERS, 0, Outcome.OK);
    }

    @Test
    void anArmKeepsItsRequestsAndCrossesOverOnlyWhereItHasNone() {
        f.list(backend("c0", "z", 0), backend("c1", "z", 1), backend("t0", "z", 2));
        f.on(new Arms(Map.of("c0", 1, "c1", 1, "t0", 2)));
        for (int i = 0; i < 30; i++) {
            assertEquals("t0", ask(i % 2, 2, Outcome.OK));
            assertTrue(Set.of("c0", "c1").contains(ask(i % 2, 1, Outcome.OK)));
        }
        f.list(
                backend("c0", "z", 0),
                backend("c1", "z", 1),
                Fixture.with(backend("t0", "z", 2), BackendState.DRAINING, 0));
        assertTrue(Set.of("c0", "c1").contains(ask(VIEWS, 2, Outcome.OK)), "an experiment denies nothing");
    }

    @Test
    void anArmCrowdedByOwnDispatchesSpillsAndASlowOneDoesNot() {
        f.list(backend("c0", "z", 0), backend("c1", "z", 1), backend("t0", "z", 2));
        f.on(new Arms(Map.of("c0", 1, "c1", 1, "t0", 2)));
        learn(40);
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            f.on(new Arrival(next++, VIEWS, -1, null, 4 * SECOND, false, 2));
            met.add(f.lastBackend());
        }
        assertTrue(met.contains("t0") && met.size() > 1, "sixty at once to one server: " + met);
    }

    private void advise(double speed, double worth, boolean mayTry) {
        f.on(new Advised(List.of(new OfFleet("b", 0, speed, worth, mayTry)), f.now + 4 * SECOND));
    }

    @Test
    void theFleetOutweighsFewOwnSamplesAndLapses() {
        f.list(backend("a", "z", 0), backend("b", "z", 1));
        learn(6);
        Server b = f.choice.known().servers.get("b");
        double own = f.choice.estimates().alone(b, false);
        advise(0.05, 50, false);
        assertTrue(f.choice.estimates().alone(b, false) < 0.5 * own, "believed");
        for (int i = 0; i < 20; i++) {
            assertEquals("a", ask(VIEWS, 0, Outcome.OK));
        }
        pass(4 * SECOND);
        assertTrue(f.choice.estimates().alone(b, false) > 0.7 * own, "alone again");
    }

    @Test
    void aPathThatIsBrokenHereIsNotTalkedRound() {
        f.list(backend("a", "z", 0), backend("b", "z", 1));
        learn(40);
        Server b = f.choice.known().servers.get("b");
        b.speed = 0.01;
        b.sampledAt = f.now;
        advise(1.5, 1000, false);
        for (int i = 0; i < 20; i++) {
            assertEquals("a", ask(VIEWS, 0, Outcome.OK));
        }
    }

    @Test
    void aSickServerIsTriedOnceByWhoHasTheDuty() {
        f.list(backend("a", "z", 0), backend("b", "z", 1));
        learn(20);
        advise(0.05, 50, false);
        for (int i = 0; i < 10; i++) {
            assertEquals("a", ask(VIEWS, 0, Outcome.OK));
        }
        advise(0.05, 50, true);
        int tries = 0;
        for (int i = 0; i < 10; i++) {
            tries += ask(i % 2 == 0 ? VIEWS : ORDERS, 0, Outcome.OK).equals("b") ? 1 : 0;
        }
        assertEquals(1, tries);
    }

    @Test
    void whatIsToldOfAnotherStartIsNotBelieved() {
        f.list(backend("a", "z", 0), backend("b", "z", 1));
        learn(20);
        double own = f.choice.estimates().alone(f.choice.known().servers.get("b"), false);
        f.on(new Advised(List.of(new OfFleet("b", 77, 0.05, 1000, false)), f.now + 4 * SECOND));
        assertEquals(own, f.choice.estimates().alone(f.choice.known().servers.get("b"), false));
    }
}
