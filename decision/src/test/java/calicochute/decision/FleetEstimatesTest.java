package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.backend;
import static calicochute.decision.Fixture.requestClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.Arrival;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.ExperimentArms;
import calicochute.decision.Balancer.FleetEstimate;
import calicochute.decision.Balancer.FleetEstimates;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.RequestClass;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The fleet's estimates, experiment arms, and requests that may not run twice. */
class FleetEstimatesTest {
    private static final RequestClass VIEW = requestClass(Effect.REPEATABLE, KeyScope.ALL);
    private static final RequestClass ORDER =
            new RequestClass("o", Effect.ONCE, KeyScope.ALL, 0, SECOND, 4 * SECOND, 5, 0, false);
    /** Class indices. */
    private static final int VIEWS = 0;

    private static final int ORDERS = 1;
    private final Fixture fixture = new Fixture(Fixture.settings(List.of(VIEW, ORDER), Fixture.LIMITS));
    private long nextRequest = 1;

    private String sendOne(int classIndex, int arm, Outcome outcome) {
        int sent = fixture.sent.size();
        fixture.on(new Arrival(nextRequest++, classIndex, -1, null, 4 * SECOND, false, arm));
        assertEquals(sent + 1, fixture.sent.size());
        fixture.now += 100_000;
        String backend = fixture.lastBackend();
        fixture.outcome(0, outcome, 100_000);
        return backend;
    }

    /** Advances the time with an event that changes nothing. */
    private void advanceBy(long micros) {
        fixture.now += micros;
        fixture.on(new Balancer.Timer(99, -1));
    }

    private void sendViews(int count) {
        for (int i = 0; i < count; i++) {
            sendOne(VIEWS, 0, Outcome.OK);
        }
    }

    @Test
    void requestsThatMayNotRunTwiceAreNoFirstCalls() {
        fixture.list(backend("old", "z", 0));
        sendViews(20);
        fixture.list(backend("old", "z", 0), backend("new", "z", 1));
        for (int i = 0; i < 20; i++) {
            assertEquals("old", sendOne(ORDERS, 0, Outcome.OK));
        }
        Set<String> called = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            called.add(sendOne(VIEWS, 0, Outcome.OK));
        }
        assertTrue(called.contains("new"), "requests that may run again are first calls");
    }

    @Test
    void requestsThatMayNotRunTwiceAvoidABadBackendForLonger() {
        fixture.list(backend("good", "z", 0), backend("bad", "z", 1));
        sendViews(40);
        TrackedBackend bad = fixture.balancer.state().backends.get("bad");
        bad.speed = 0;
        advanceBy(15 * SECOND);
        double repeatable = fixture.balancer.estimates().effective(bad, false);
        assertTrue(
                fixture.balancer.estimates().effective(bad, true) < repeatable / 2,
                "at most half the speed for requests that may not run twice");
        for (int i = 0; i < 20; i++) {
            assertEquals("good", sendOne(ORDERS, 0, Outcome.OK));
        }
    }

    @Test
    void requestsThatMayNotRunTwiceAreSentWhereAllBackendsAreUnknown() {
        fixture.list(backend("x", "z", 0), backend("y", "z", 1));
        sendOne(ORDERS, 0, Outcome.OK);
    }

    @Test
    void requestsStayInTheirArmUnlessItHasNoBackend() {
        fixture.list(backend("c0", "z", 0), backend("c1", "z", 1), backend("t0", "z", 2));
        fixture.on(new ExperimentArms(Map.of("c0", 1, "c1", 1, "t0", 2)));
        for (int i = 0; i < 30; i++) {
            assertEquals("t0", sendOne(i % 2, 2, Outcome.OK));
            assertTrue(Set.of("c0", "c1").contains(sendOne(i % 2, 1, Outcome.OK)));
        }
        fixture.list(
                backend("c0", "z", 0),
                backend("c1", "z", 1),
                Fixture.with(backend("t0", "z", 2), BackendState.DRAINING, 0));
        assertTrue(Set.of("c0", "c1").contains(sendOne(VIEWS, 2, Outcome.OK)), "an experiment refuses no request");
    }

    @Test
    void requestsLeaveAnArmThatPendingAttemptsCrowd() {
        fixture.list(backend("c0", "z", 0), backend("c1", "z", 1), backend("t0", "z", 2));
        fixture.on(new ExperimentArms(Map.of("c0", 1, "c1", 1, "t0", 2)));
        sendViews(40);
        Set<String> called = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            fixture.on(new Arrival(nextRequest++, VIEWS, -1, null, 4 * SECOND, false, 2));
            called.add(fixture.lastBackend());
        }
        assertTrue(called.contains("t0") && called.size() > 1, "sixty at once to one backend: " + called);
    }

    private void setFleetEstimate(double speed, double sampleWeight, boolean mayTry) {
        fixture.on(new FleetEstimates(
                List.of(new FleetEstimate("b", 0, speed, sampleWeight, mayTry)), fixture.now + 4 * SECOND));
    }

    @Test
    void fleetEstimateOutweighsFewOwnSamplesUntilItExpires() {
        fixture.list(backend("a", "z", 0), backend("b", "z", 1));
        sendViews(6);
        TrackedBackend backend = fixture.balancer.state().backends.get("b");
        double own = fixture.balancer.estimates().uncontended(backend, false);
        setFleetEstimate(0.05, 50, false);
        assertTrue(fixture.balancer.estimates().uncontended(backend, false) < 0.5 * own, "the fleet estimate counts");
        for (int i = 0; i < 20; i++) {
            assertEquals("a", sendOne(VIEWS, 0, Outcome.OK));
        }
        advanceBy(4 * SECOND);
        assertTrue(
                fixture.balancer.estimates().uncontended(backend, false) > 0.7 * own, "only own samples count again");
    }

    @Test
    void fleetEstimateDoesNotOutweighOwnFailures() {
        fixture.list(backend("a", "z", 0), backend("b", "z", 1));
        sendViews(40);
        TrackedBackend backend = fixture.balancer.state().backends.get("b");
        backend.speed = 0.01;
        backend.sampledAt = fixture.now;
        setFleetEstimate(1.5, 1000, false);
        for (int i = 0; i < 20; i++) {
            assertEquals("a", sendOne(VIEWS, 0, Outcome.OK));
        }
    }

    @Test
    void slowBackendIsTriedOnceByTheAssignedInstance() {
        fixture.list(backend("a", "z", 0), backend("b", "z", 1));
        sendViews(20);
        setFleetEstimate(0.05, 50, false);
        for (int i = 0; i < 10; i++) {
            assertEquals("a", sendOne(VIEWS, 0, Outcome.OK));
        }
        setFleetEstimate(0.05, 50, true);
        int tries = 0;
        for (int i = 0; i < 10; i++) {
            tries += sendOne(i % 2 == 0 ? VIEWS : ORDERS, 0, Outcome.OK).equals("b") ? 1 : 0;
        }
        assertEquals(1, tries);
    }

    @Test
    void fleetEstimateOfAnotherStartIsIgnored() {
        fixture.list(backend("a", "z", 0), backend("b", "z", 1));
        sendViews(20);
        double own = fixture.balancer
                .estimates()
                .uncontended(fixture.balancer.state().backends.get("b"), false);
        fixture.on(
                new FleetEstimates(List.of(new FleetEstimate("b", 77, 0.05, 1000, false)), fixture.now + 4 * SECOND));
        assertEquals(
                own,
                fixture.balancer
                        .estimates()
                        .uncontended(fixture.balancer.state().backends.get("b"), false));
    }
}
