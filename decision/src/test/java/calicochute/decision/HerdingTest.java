package calicochute.decision;

import static calicochute.decision.Fixture.SECOND;
import static calicochute.decision.Fixture.fleet;
import static calicochute.decision.Fixture.requestClass;
import static calicochute.decision.Fixture.with;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.decision.Balancer.AttemptEnded;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.KeyScope;
import calicochute.decision.Balancer.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against herding: many balancers that see the same events must not all act on one backend in the same tick. */
class HerdingTest {
    private static final int BALANCERS = 60;
    private static final int BACKENDS = 10;
    private static final long TICK_MICROS = 5_000;
    private final List<Fixture> fixtures = new ArrayList<>();
    private long nextRequest = 1;

    /** Starts balancers that have seen the same: forty equal answers of each backend. */
    private void startBalancers(boolean seedsDiffer) {
        for (int instance = 0; instance < BALANCERS; instance++) {
            Fixture fixture = new Fixture(Fixture.settings(
                            seedsDiffer ? 1000 + instance : 42,
                            List.of(requestClass(Effect.REPEATABLE, KeyScope.ALL)),
                            Fixture.LIMITS,
                            true,
                            instance,
                            BALANCERS))
                    .list(fleet(BACKENDS));
            for (int i = 0; i < 40 * BACKENDS; i++) {
                fixture.sendAndEnd(nextRequest++, Outcome.OK, 100_000);
            }
            fixtures.add(fixture);
        }
    }

    /** Sends one request from each balancer in the same tick; returns the greatest share that one backend gets. */
    private double greatestShare(long timeLeft) {
        Map<String, Integer> sends = new HashMap<>();
        for (Fixture fixture : fixtures) {
            fixture.arrive(nextRequest++, timeLeft);
            sends.merge(fixture.lastBackend(), 1, Integer::sum);
        }
        return sends.values().stream().mapToInt(n -> n).max().orElseThrow() / (double) BALANCERS;
    }

    /** One backend is fast for all balancers: together they send it no more than its softmax share. */
    @Test
    void fastBackendIsNotChosenByAllAtOnce() {
        startBalancers(true);
        for (Fixture fixture : fixtures) {
            fixture.balancer.state().backends.values().forEach(s -> s.speed = s.id.equals("b3") ? 1.04 : 1);
        }
        double share = greatestShare(4 * SECOND);
        double weight = Math.exp(0.04 / 1.04 / 0.07);
        double expected = weight / (weight + BACKENDS - 1);
        assertTrue(
                share < expected + 3 * Math.sqrt(expected / BALANCERS), share + " where " + expected + " is expected");
    }

    /** With the same seed at all balancers the random draws are equal, but the order of their subsets differs. */
    @Test
    void sameSeedDoesNotChooseTheSameBackend() {
        startBalancers(false);
        for (Fixture fixture : fixtures) {
            fixture.balancer.state().backends.values().forEach(s -> s.speed = 1);
        }
        assertTrue(greatestShare(4 * SECOND) < 0.5);
    }

    /** Little time left and equal backends: each balancer breaks the walk's ties in its own order. */
    @Test
    void walkTiesDoNotChooseTheSameBackend() {
        startBalancers(true);
        for (Fixture fixture : fixtures) {
            fixture.balancer.state().backends.values().forEach(s -> s.speed = 1);
        }
        assertTrue(greatestShare(120_000) < 0.5);
    }

    /**
     * A backend restarts cold and all balancers hear of it at once: their first calls are spread over time and stay
     * within the budget.
     */
    @Test
    void restartedBackendIsNotCalledByAllInOneTick() {
        startBalancers(true);
        Backend[] listed = fleet(BACKENDS);
        long from = fixtures.stream().mapToLong(fixture -> fixture.now).max().orElseThrow() + SECOND;
        listed[0] = with(listed[0], BackendState.READY, from);
        Map<Long, Integer> perTick = new HashMap<>();
        for (Fixture fixture : fixtures) {
            fixture.now = from;
            fixture.list(listed);
        }
        int sent = 0;
        for (long at = from; at < from + SECOND; at += 10 * TICK_MICROS) {
            for (Fixture fixture : fixtures) {
                fixture.now = at;
                fixture.arrive(nextRequest++, 4 * SECOND);
                if (fixture.lastBackend().equals("b0")) {
                    perTick.merge(at, 1, Integer::sum);
                    sent++;
                }
                Fixture.Sent last = fixture.sent.get(fixture.sent.size() - 1);
                fixture.on(new AttemptEnded(last.request(), 0, last.backend(), true, Outcome.OK, TICK_MICROS, null));
            }
        }
        int most = perTick.values().stream().mapToInt(n -> n).max().orElse(0);
        assertTrue(sent > 0 && most <= BALANCERS / 4, most + " of " + BALANCERS + " in one tick, " + sent + " in all");
    }

    /** The list service fails for all at once: their next calls are spread over the second of the first delay. */
    @Test
    void callsForTheListAreSpread() {
        startBalancers(true);
        Map<Long, Integer> perTenth = new HashMap<>();
        for (Fixture fixture : fixtures) {
            fixture.timers.clear();
            fixture.list(Balancer.ListKind.UNAVAILABLE);
            fixture.timers.forEach(timer -> perTenth.merge((timer.at() - fixture.now) / 100_000, 1, Integer::sum));
        }
        assertTrue(perTenth.values().stream().allMatch(n -> n <= BALANCERS / 4), perTenth::toString);
    }
}
