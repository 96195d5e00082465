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

/** Many balancers in one virtual time, on the same events: how much of what they do falls on one server in one tick. */
class LockstepTest {
    private static final int BALANCERS = 60;
    private static final int SERVERS = 10;
    private static final long TICK = 5_000;
    private final List<Fixture> all = new ArrayList<>();
    private long nextRequest = 1;

    /** Balancers that have learnt the same: forty answers of each server, all alike. */
    private void learnt(boolean seedsDiffer) {
        for (int me = 0; me < BALANCERS; me++) {
            Fixture f = new Fixture(Fixture.settings(
                            seedsDiffer ? 1000 + me : 42,
                            List.of(requestClass(Effect.REPEATABLE, KeyScope.ALL)),
                            Fixture.LIMITS,
                            true,
                            me,
                            BALANCERS))
                    .list(fleet(SERVERS));
            for (int i = 0; i < 40 * SERVERS; i++) {
                f.one(nextRequest++, Outcome.OK, 100_000);
            }
            all.add(f);
        }
    }

    /** One session at each, in the same tick; the greatest share that one server gets. */
    private double greatestShare(long left) {
        Map<String, Integer> got = new HashMap<>();
        for (Fixture f : all) {
            f.arrive(nextRequest++, left);
            got.merge(f.lastBackend(), 1, Integer::sum);
        }
        return got.values().stream().mapToInt(n -> n).max().orElseThrow() / (double) BALANCERS;
    }

    /**
     * One server is fast in all their eyes: together they put on it no more than softmax gives it, which is not all.
     */
    @Test
    void aFastServerIsNotTakenByAllAtOnce() {
        learnt(true);
        for (Fixture f : all) {
            f.choice.known().servers.values().forEach(s -> s.speed = s.id.equals("b3") ? 1.04 : 1);
        }
        double share = greatestShare(4 * SECOND);
        double weight = Math.exp(0.04 / 1.04 / 0.07);
        double promised = weight / (weight + SERVERS - 1);
        assertTrue(
                share < promised + 3 * Math.sqrt(promised / BALANCERS), share + " where " + promised + " is promised");
    }

    /** With one seed for all, still: the subset's order and what each has met differ, but the draw does not. */
    @Test
    void oneSeedForAllIsNoOneServerForAll() {
        learnt(false);
        for (Fixture f : all) {
            f.choice.known().servers.values().forEach(s -> s.speed = 1);
        }
        assertTrue(greatestShare(4 * SECOND) < 0.5);
    }

    /** Little time and no server better than another: the walk's ties are broken in each balancer's own order. */
    @Test
    void tiesOfTheWalkDoNotFallOnOneServer() {
        learnt(true);
        for (Fixture f : all) {
            f.choice.known().servers.values().forEach(s -> s.speed = 1);
        }
        assertTrue(greatestShare(120_000) < 0.5);
    }

    /**
     * A server comes back cold and all hear of it at once: the first calls are spread over time and stay within the
     * budget.
     */
    @Test
    void aReturningServerIsNotMetByAllInOneTick() {
        learnt(true);
        Backend[] listed = fleet(SERVERS);
        long from = all.stream().mapToLong(f -> f.now).max().orElseThrow() + SECOND;
        listed[0] = with(listed[0], BackendState.READY, from);
        Map<Long, Integer> perTick = new HashMap<>();
        for (Fixture f : all) {
            f.now = from;
            f.list(listed);
        }
        int sent = 0;
        for (long at = from; at < from + SECOND; at += 10 * TICK) {
            for (Fixture f : all) {
                f.now = at;
                f.arrive(nextRequest++, 4 * SECOND);
                if (f.lastBackend().equals("b0")) {
                    perTick.merge(at, 1, Integer::sum);
                    sent++;
                }
                Fixture.Sent last = f.sent.get(f.sent.size() - 1);
                f.on(new AttemptEnded(last.request(), 0, last.backend(), true, Outcome.OK, TICK, null));
            }
        }
        int most = perTick.values().stream().mapToInt(n -> n).max().orElse(0);
        assertTrue(sent > 0 && most <= BALANCERS / 4, most + " of " + BALANCERS + " in one tick, " + sent + " in all");
    }

    /** Discovery fails for all at once: their next calls are spread over the second that the first wait may last. */
    @Test
    void callsForListsDoNotComeTogether() {
        learnt(true);
        Map<Long, Integer> perTenth = new HashMap<>();
        for (Fixture f : all) {
            f.timers.clear();
            f.list(Balancer.ListKind.UNAVAILABLE);
            f.timers.forEach(t -> perTenth.merge((t.at() - f.now) / 100_000, 1, Integer::sum));
        }
        assertTrue(perTenth.values().stream().allMatch(n -> n <= BALANCERS / 4), perTenth::toString);
    }
}
